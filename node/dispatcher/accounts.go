package dispatcher

import (
	"log/slog"
	"time"

	"github.com/basilferry/basilferry/core/scheduler"
)

// accountLogInterval is the shortest time between two log reports of the accounts.
const accountLogInterval = 5 * time.Second

// accountGauges are the names of the gauges of an account.
const (
	accountUse       = "account_use"
	accountLimit     = "account_limit"
	accountShare     = "account_share"
	accountFairShare = "account_fair_share"
	accountWaiting   = "account_jobs_waiting"
)

// allResources labels the gauges that do not concern a single resource.
const allResources = "all"

// reportAccounts sets the gauges of the accounts and, once per accountLogInterval, logs a
// line for each. There are none of either without accounts.
func (t *term) reportAccounts(now time.Duration) {
	reports := t.jobScheduler.AccountReports()
	shown := make(map[string]bool, len(reports))
	for i := range reports {
		shown[reports[i].Name] = true
		t.setAccountGauges(&reports[i])
	}
	t.clearAccounts(shown)
	if len(reports) == 0 || (t.lastAccountLog > 0 && now-t.lastAccountLog < accountLogInterval) {
		return
	}
	t.lastAccountLog = now
	for i := range reports {
		t.logAccount(&reports[i])
	}
}

// logAccount logs the use of an account. Commands read the names of the fields.
func (t *term) logAccount(r *scheduler.AccountReport) {
	t.d.cfg.Logger.Info("account use",
		slog.String("account", r.Name),
		slog.Int64("cpu_milli", r.Use.CPUMilli), slog.Int64("cpu_milli_limit", r.Limit.CPUMilli),
		slog.Int64("memory_mib", r.Use.MemoryMiB), slog.Int64("memory_mib_limit", r.Limit.MemoryMiB),
		slog.Int64("accelerators", r.Use.Accelerators), slog.Int64("accelerators_limit", r.Limit.Accelerators),
		slog.Float64("share", r.Share), slog.Float64("fair_share", r.FairShare), slog.Int("jobs_waiting", r.WaitingJobs))
}

func (t *term) setAccountGauges(r *scheduler.AccountReport) {
	m := t.d.cfg.Metrics
	m.AccountGauge(accountUse, r.Name, "cpu_milli", float64(r.Use.CPUMilli))
	m.AccountGauge(accountUse, r.Name, "memory_mib", float64(r.Use.MemoryMiB))
	m.AccountGauge(accountUse, r.Name, "accelerators", float64(r.Use.Accelerators))
	m.AccountGauge(accountLimit, r.Name, "cpu_milli", float64(r.Limit.CPUMilli))
	m.AccountGauge(accountLimit, r.Name, "memory_mib", float64(r.Limit.MemoryMiB))
	m.AccountGauge(accountLimit, r.Name, "accelerators", float64(r.Limit.Accelerators))
	m.AccountGauge(accountShare, r.Name, allResources, r.Share)
	m.AccountGauge(accountFairShare, r.Name, allResources, r.FairShare)
	m.AccountGauge(accountWaiting, r.Name, allResources, float64(r.WaitingJobs))
}

// clearAccounts sets the gauges of the accounts that are no longer shown to 0, and
// remembers which are.
func (t *term) clearAccounts(shown map[string]bool) {
	for name := range t.reportedAccounts {
		if !shown[name] {
			t.setAccountGauges(&scheduler.AccountReport{Name: name})
		}
	}
	t.reportedAccounts = shown
}
