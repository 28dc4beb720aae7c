package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/tailscale/hujson"

	"github.com/basilferry/basilferry/core/domain"
)

// Millis is a duration in whole or fractional milliseconds.
type Millis float64

// Duration returns the value as a time.Duration.
func (m Millis) Duration() time.Duration {
	return domain.MillisDuration(float64(m))
}

// Settings are the settings of an entry node on the platform. The file is JSON with
// comments. Unknown fields are ignored, because the platform may add fields.
type Settings struct {
	Node struct {
		Name   string               `json:"name"`
		Domain domain.FailureDomain `json:"failure_domain"`
		IP     string               `json:"ip"`
	} `json:"node"`
	Listen struct {
		// Requests is the address for client requests, Readiness the address for the
		// load balancer's readiness checks.
		Requests  string `json:"requests"`
		Readiness string `json:"readiness"`
		// MetricsPort is the port for metrics; 0 disables them.
		MetricsPort int `json:"metrics_port"`
	} `json:"listen"`
	Store struct {
		Address string `json:"address"`
		// RecordBytes is the largest size of a record, and CallBytes that of all records
		// of an append.
		RecordBytes int `json:"record_bytes"`
		CallBytes   int `json:"call_bytes"`
	} `json:"store"`
	// Advice configures the policy service. Its address is empty if there is none.
	Advice struct {
		Address string `json:"address"`
	} `json:"advice"`
	Machine struct {
		// CPUShare is the share of a CPU core that the node has, MemoryMB its memory
		// limit in MiB, and LinkMbps the bandwidth of its network link in Mbit/s.
		CPUShare float64 `json:"cpu_share"`
		MemoryMB int64   `json:"memory_mb"`
		LinkMbps float64 `json:"link_mbps"`
	} `json:"machine"`
	Workers struct {
		// LeaseMaxMS is the longest lease that a worker grants.
		LeaseMaxMS Millis `json:"lease_max_ms"`
		// LeaseMS is the lease that the owner requests.
		LeaseMS Millis `json:"lease_ms"`
	} `json:"workers"`
	Ownership struct {
		// SilenceMS is the owner timeout: the time without a record of the owner after
		// which another node may claim ownership.
		SilenceMS Millis `json:"silence_ms"`
		// RenewMS is the interval of the owner's renewals.
		RenewMS Millis `json:"renew_ms"`
		// OfflineMS is how long the owner continues to renew leases while it cannot
		// reach the store.
		OfflineMS Millis `json:"offline_ms"`
		// RestMS is how long a node does not claim ownership after it has resigned.
		RestMS Millis `json:"rest_ms"`
	} `json:"ownership"`
	Accounts struct {
		// StrictRevoke: no node may accept a key for longer than RevokeMS after the
		// configuration that removes it was stored.
		StrictRevoke bool   `json:"strict_revoke"`
		RevokeMS     Millis `json:"revoke_ms"`
	} `json:"accounts"`
	Jobs struct {
		// KeepS is how long the state of a finished job can be requested, in seconds.
		KeepS float64 `json:"keep_s"`
	} `json:"jobs"`
	Stop struct {
		// GraceS is the grace period between SIGTERM and SIGKILL, in seconds.
		GraceS float64 `json:"grace_s"`
	} `json:"stop"`
	Runtime struct {
		// GCPercent is the garbage collection target percentage, as in GOGC.
		GCPercent int `json:"gc_percent"`
		// MemoryLimitShare is the soft memory limit of the Go runtime as a share of
		// Machine.MemoryMB.
		MemoryLimitShare float64 `json:"memory_limit_share"`
	} `json:"runtime"`
	Log struct {
		// Level is debug, info, warn or error.
		Level string `json:"level"`
	} `json:"log"`
}

// defaultSettings returns the values of the fields that a file may omit.
func defaultSettings() Settings {
	var s Settings
	s.Store.RecordBytes = 256 << 10
	s.Store.CallBytes = 2 << 20
	s.Workers.LeaseMaxMS = 6000
	s.Workers.LeaseMS = 6000
	s.Ownership.SilenceMS = 1600
	s.Ownership.RenewMS = 500
	s.Ownership.OfflineMS = 6500
	s.Ownership.RestMS = 6000
	s.Stop.GraceS = 6
	s.Jobs.KeepS = 120
	s.Runtime.GCPercent = 50
	s.Runtime.MemoryLimitShare = 0.6
	s.Machine.MemoryMB = 256
	s.Machine.CPUShare = 1
	s.Machine.LinkMbps = 1000
	s.Log.Level = "info"
	return s
}

// LoadSettings reads and validates a settings file. It returns an *Error of kind
// KindNotFound if the file cannot be read and of kind KindBadRequest if it is
// not valid.
func LoadSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &domain.Error{Kind: domain.KindNotFound, Message: "the settings file cannot be read: " + err.Error(), Remedy: "name a readable file"}
	}
	return parseSettings(data)
}

func parseSettings(data []byte) (Settings, error) {
	standard, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return Settings{}, settingsError("the file is not valid JSON: "+err.Error(), "write JSON; comments and trailing commas are allowed")
	}
	s := defaultSettings()
	if err := json.Unmarshal(standard, &s); err != nil {
		return Settings{}, settingsError("the file cannot be decoded: "+err.Error(), "correct the field")
	}
	return s, s.validate()
}

func (s *Settings) validate() error {
	for _, field := range []struct{ name, value string }{
		{"node.name", s.Node.Name}, {"node.failure_domain", string(s.Node.Domain)},
		{"listen.requests", s.Listen.Requests}, {"listen.readiness", s.Listen.Readiness}, {"store.address", s.Store.Address},
	} {
		if field.value == "" {
			return settingsError(field.name+" is empty", "set it")
		}
	}
	for _, field := range []struct {
		name  string
		value Millis
	}{
		{"workers.lease_max_ms", s.Workers.LeaseMaxMS}, {"workers.lease_ms", s.Workers.LeaseMS}, {"ownership.silence_ms", s.Ownership.SilenceMS},
		{"ownership.renew_ms", s.Ownership.RenewMS}, {"ownership.offline_ms", s.Ownership.OfflineMS}, {"stop.grace_s", Millis(s.Stop.GraceS * 1000)},
		{"store.record_bytes", Millis(s.Store.RecordBytes)}, {"store.call_bytes", Millis(s.Store.CallBytes)},
	} {
		if field.value <= 0 {
			return settingsError(fmt.Sprintf("%s is %g", field.name, field.value), "set a positive number")
		}
	}
	if s.Accounts.StrictRevoke && s.Accounts.RevokeMS <= 0 {
		return settingsError(fmt.Sprintf("accounts.revoke_ms is %g", s.Accounts.RevokeMS), "set a positive number, or strict_revoke to false")
	}
	if s.Ownership.RenewMS*2 > s.Ownership.SilenceMS {
		return settingsError("ownership.renew_ms is over half of ownership.silence_ms", "set renew_ms to at most half of silence_ms")
	}
	return nil
}

func settingsError(message, remedy string) *domain.Error {
	return &domain.Error{Kind: domain.KindBadRequest, Message: message, Remedy: remedy}
}

// Grace returns the grace period between SIGTERM and SIGKILL.
func (s *Settings) Grace() time.Duration { return domain.MillisDuration(s.Stop.GraceS * 1000) }

// revokeShare is the share of the revocation time after which a node that cannot read the
// configuration refuses keys. The rest is a margin for differences in clock rates.
const revokeShare = 0.9

// MaxConfigAge returns the age of a node's knowledge of the configuration from which on it
// refuses requests that need a key; 0 for no limit.
func (s *Settings) MaxConfigAge() time.Duration {
	if !s.Accounts.StrictRevoke {
		return 0
	}
	return domain.MillisDuration(revokeShare * float64(s.Accounts.RevokeMS))
}

// retentionMargin is the additional time for which the records of a finished job are
// kept, so that a delayed repeat of its submission does not start it again.
const retentionMargin = time.Minute

// Retention returns how long the records of a job are kept after it has finished.
func (s *Settings) Retention() time.Duration {
	return domain.MillisDuration(s.Jobs.KeepS*1000) + retentionMargin
}
