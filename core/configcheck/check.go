package configcheck

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/basilferry/basilferry/core/account"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/platform"
)

// Severity says whether a configuration should be sent at all.
type Severity string

// An error is an entry that is not applied as written or that makes valid requests fail. A
// warning is an entry that is applied and is probably not intended.
const (
	SeverityError   Severity = "error"
	SeverityWarning Severity = "warning"
)

// Codes of findings. Scripts rely on them.
const (
	CodeUnreadable       = "unreadable"
	CodeOldVersion       = "old-version"
	CodeRouteHidden      = "route-hidden"
	CodeRouteNoMatch     = "route-never-matches"
	CodeRouteNoService   = "route-without-service"
	CodeRouteTimeout     = "route-timeout"
	CodeServiceNoRoute   = "service-without-route"
	CodeBodyLimit        = "body-limit"
	CodeNegativeLimit    = "negative-limit"
	CodeAccountEntry     = "account-entry"
	CodeAccountNoKeys    = "account-without-keys"
	CodeKeyInTwoAccounts = "key-in-two-accounts"
	CodeNoValidKey       = "no-valid-key"
)

// Finding is one problem of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	Code     string   `json:"code"`
	// Entry names the entry concerned, for example "route checkout".
	Entry   string `json:"entry"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// Check returns the findings of a configuration, errors first. If against is not nil, the
// configuration must be newer.
func Check(c, against *platform.OperatorConfig) []Finding {
	out := slices.Concat(checkVersion(c, against), checkRoutes(c), checkServices(c), checkLimits(c.Limits), checkAccounts(c))
	slices.SortStableFunc(out, func(a, b Finding) int { return cmp.Compare(a.Severity, b.Severity) })
	return out
}

func checkVersion(c, against *platform.OperatorConfig) []Finding {
	if against == nil || c.Version > against.Version {
		return nil
	}
	return []Finding{{
		SeverityError, CodeOldVersion, "version", fmt.Sprintf("version %d is not above %d; nodes ignore it", c.Version, against.Version),
		fmt.Sprintf("use a version above %d", against.Version),
	}}
}

func checkRoutes(c *platform.OperatorConfig) []Finding {
	var out []Finding
	type place struct{ host, prefix string }
	first := map[place]string{}
	for _, r := range c.Routes {
		add := func(severity Severity, code, message, remedy string) {
			out = append(out, Finding{severity, code, "route " + r.Queue.Route, message, remedy})
		}
		at := place{strings.ToLower(r.Host), r.PathPrefix}
		if holder, taken := first[at]; taken {
			add(SeverityError, CodeRouteHidden, fmt.Sprintf("route %s has the same host and prefix and comes first", holder), "remove one of them or change its prefix")
		} else {
			first[at] = r.Queue.Route
		}
		if r.Host == "" || !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
			add(SeverityError, CodeRouteNoMatch, "no request for a job matches its host and prefix", "give a host, and a prefix that begins and ends with a slash")
		}
		if _, ok := c.Services[r.Queue.Service]; !ok {
			add(SeverityError, CodeRouteNoService, fmt.Sprintf("the configuration has no service %q", r.Queue.Service), "add the service or name another one")
		}
		if r.Timeout > 0 && r.Timeout < r.Queue.Objective {
			add(SeverityWarning, CodeRouteTimeout, fmt.Sprintf("its time-out of %v is shorter than its objective of %v", r.Timeout, r.Queue.Objective),
				"raise the time-out or lower the objective")
		}
		if r.Queue.Stretch < 0 || r.Queue.MaxAttempts < 0 {
			add(SeverityError, CodeNegativeLimit, "its stretch or number of attempts is negative", "use a positive number, or 0 for none")
		}
	}
	return out
}

func checkServices(c *platform.OperatorConfig) []Finding {
	var out []Finding
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		used := slices.ContainsFunc(c.Routes, func(r platform.Route) bool { return r.Queue.Service == name })
		// A pool on standby has no route until its VMs are moved to a pool in use.
		if !used && !c.Services[name].Standby {
			out = append(out, Finding{SeverityWarning, CodeServiceNoRoute, "service " + name, "no route leads to it", "add a route or remove the service"})
		}
	}
	return out
}

func checkLimits(l platform.RequestLimits) []Finding {
	var out []Finding
	if l.MaxBodyBytes > 0 && l.MaxBodyBytes < job.MaxPayloadBytes {
		out = append(out, Finding{
			SeverityError, CodeBodyLimit, "limits",
			fmt.Sprintf("the body limit of %d bytes is below the %d bytes that a job's payload may have", l.MaxBodyBytes, job.MaxPayloadBytes),
			fmt.Sprintf("allow more than %d bytes, since a body also has the steps", job.MaxPayloadBytes),
		})
	}
	if l.MaxBodyBytes < 0 || l.MaxHeaderBytes < 0 {
		out = append(out, Finding{SeverityError, CodeNegativeLimit, "limits", "a size limit is negative", "use a positive number, or 0 for no limit"})
	}
	return out
}

func checkAccounts(c *platform.OperatorConfig) []Finding {
	var out []Finding
	for _, text := range c.AccountWarnings {
		out = append(out, Finding{SeverityError, CodeAccountEntry, "accounts", text, "correct the entry"})
	}
	directory, conflicts := account.NewDirectory(c.Accounts)
	for _, k := range conflicts {
		out = append(out, Finding{
			SeverityError, CodeKeyInTwoAccounts, "account " + k.Other,
			fmt.Sprintf("key %s also belongs to account %s, which comes first and gets it", k.Key.Short(), k.Holder), "remove it from one of them",
		})
	}
	keys := 0
	for _, a := range directory.Accounts() {
		keys += len(a.Keys)
		if len(a.Keys) == 0 {
			out = append(out, Finding{SeverityWarning, CodeAccountNoKeys, "account " + a.Name, "it has no key, so no request is accepted for it", "add a key or remove the account"})
		}
	}
	private := slices.ContainsFunc(c.Routes, func(r platform.Route) bool { return !r.Public })
	if c.HasAccounts && keys == 0 && private {
		out = append(out, Finding{
			SeverityWarning, CodeNoValidKey, "accounts", "accounts are enabled and no key is valid, so all requests on routes that are not public are refused",
			"add a key, or remove the list of accounts to disable them",
		})
	}
	return out
}
