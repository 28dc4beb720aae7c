package configlog

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/basilferry/basilferry/core/domain"
)

// ValidatePreset returns a *domain.Error of kind KindBadRequest that names the
// first wrong field, or nil.
func ValidatePreset(p domain.Preset) error {
	if !slices.Contains(PresetNames(), p.Name) {
		return invalidField("preset "+quote(p.Name)+" is unknown", "use "+strings.Join(PresetNames(), ", "))
	}
	switch p.IsolatedStarts {
	case domain.IsolatedAll, domain.IsolatedUrgent, domain.IsolatedNone:
	default:
		return invalidField("isolated_starts "+quote(string(p.IsolatedStarts))+" is unknown", "use all, urgent or none")
	}
	// During maintenance no task may start in a domain that is taken out, even if
	// the domain is isolated and cannot read the take-out.
	if p.Name == PresetMaintenance && p.IsolatedStarts != domain.IsolatedNone {
		return invalidField("preset maintenance lets an isolated domain start tasks", "set isolated_starts to none")
	}
	return validateNumbers(p)
}

func validateNumbers(p domain.Preset) error {
	checks := []struct {
		holds bool
		field string
		rule  string
	}{
		{p.BatchShare >= 0 && p.BatchShare <= 1, "batch_share", "a number between 0 and 1"},
		{p.UrgentSlots >= 0, "urgent_slots", "zero or more"},
		{p.UrgentPerWorker >= 0, "urgent_per_worker", "zero or more"},
		{p.ReservationQuantile > 0 && p.ReservationQuantile <= 1, "reservation_quantile", "a number above 0 and at most 1"},
		{p.ThrottleSlowdown >= 1 && isFinite(p.ThrottleSlowdown), "throttle_slowdown", "1 or more"},
		{p.EvictSlowdown >= p.ThrottleSlowdown && isFinite(p.EvictSlowdown), "evict_slowdown", "at least throttle_slowdown"},
		{p.RetryBudget >= 0 && p.RetryBudget <= 1, "retry_budget", "a number between 0 and 1"},
	}
	for _, r := range checks {
		if !r.holds {
			return invalidField("preset "+p.Name+": "+r.field+" is out of range", "set "+r.field+" to "+r.rule)
		}
	}
	return nil
}

// ValidateChange returns a *domain.Error of kind KindBadRequest that names
// what is wrong with the change, or nil. It does not check Base.
func ValidateChange(c Change) error {
	set := 0
	for _, has := range []bool{c.Preset != nil, c.TakeOut != nil, c.BringBack != nil, c.Quota != nil} {
		if has {
			set++
		}
	}
	if set != 1 {
		return invalidField(fmt.Sprintf("the change sets %d of preset, take_out, bring_back and quota", set), "set exactly one of them")
	}
	switch {
	case c.Preset != nil:
		return ValidatePreset(*c.Preset)
	case c.TakeOut != nil:
		return validateDomain(*c.TakeOut)
	case c.BringBack != nil:
		return validateDomain(*c.BringBack)
	}
	return validateQuota(*c.Quota)
}

func validateDomain(d domain.FailureDomain) error {
	if d == "" || strings.ContainsAny(string(d), "-/") {
		return invalidField("failure domain "+quote(string(d))+" is malformed", "use a name without '-' and '/'")
	}
	return nil
}

func validateQuota(q domain.Quota) error {
	if q.Team == "" {
		return invalidField("the quota names no team", "set team")
	}
	if !(q.Weight > 0) || !isFinite(q.Weight) {
		return invalidField("the weight of team "+quote(string(q.Team))+" is not above zero", "set weight to a number above 0")
	}
	if q.Limit.HasNegative() {
		return invalidField("the limit of team "+quote(string(q.Team))+" is negative", "set each limit to zero (none) or more")
	}
	return nil
}

func validateConfiguration(c domain.Configuration) error {
	if err := ValidatePreset(c.Preset); err != nil {
		return err
	}
	for _, t := range c.TakeOuts {
		if err := validateDomain(t.Domain); err != nil {
			return err
		}
	}
	for _, q := range c.Quotas {
		if err := validateQuota(q); err != nil {
			return err
		}
	}
	if !isStrictlyAscending(c.TakeOuts, compareTakeOuts) || !isStrictlyAscending(c.Quotas, compareQuotas) {
		return invalidField("take-outs or quotas are not sorted by name or contain duplicates", "list each domain and team once, sorted by name")
	}
	return nil
}

func isStrictlyAscending[T any](list []T, compare func(a, b T) int) bool {
	for i := 1; i < len(list); i++ {
		if compare(list[i-1], list[i]) >= 0 {
			return false
		}
	}
	return true
}

func isFinite(f float64) bool { return !math.IsInf(f, 0) && !math.IsNaN(f) }

func quote(text string) string { return fmt.Sprintf("%q", text) }

func invalidField(message, remedy string) *domain.Error {
	return &domain.Error{Kind: domain.KindBadRequest, Message: message, Remedy: remedy}
}

func invalidRecord(message string) *domain.Error {
	return invalidField(message, "write config records with the encoders of this release")
}

func versionConflict(base, inForce domain.Version) *domain.Error {
	return &domain.Error{
		Kind:    domain.KindVersionConflict,
		Message: fmt.Sprintf("the change is based on version %d but version %d is in force", base, inForce),
		Remedy:  "read the configuration again and send the change with its version as base",
	}
}
