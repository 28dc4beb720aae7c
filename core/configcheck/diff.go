package configcheck

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/basilferry/basilferry/core/platform"
)

// Change is one difference between two configurations.
type Change struct {
	// Action is "added", "removed" or "changed".
	Action string `json:"action"`
	// Entry names the entry concerned, for example "key lending 1f3a9c02".
	Entry string `json:"entry"`
	// Detail lists the fields with their values, those before and after for a change.
	Detail string `json:"detail,omitempty"`
}

// field is one value of an entry.
type field struct{ name, value string }

// entry is a part of a configuration that is compared as a whole.
type entry struct {
	name   string
	fields []field
}

// Diff returns the differences that a configuration has from another one: in the order of the
// new one, and what was removed last.
func Diff(from, to *platform.OperatorConfig) []Change {
	before, after := entries(from), entries(to)
	var out []Change
	for _, e := range after {
		i := slices.IndexFunc(before, func(b entry) bool { return b.name == e.name })
		if i < 0 {
			out = append(out, Change{Action: "added", Entry: e.name, Detail: e.describe(nil)})
			continue
		}
		if !slices.Equal(before[i].fields, e.fields) {
			out = append(out, Change{Action: "changed", Entry: e.name, Detail: e.describe(before[i].fields)})
		}
	}
	for _, e := range before {
		if !slices.ContainsFunc(after, func(a entry) bool { return a.name == e.name }) {
			out = append(out, Change{Action: "removed", Entry: e.name})
		}
	}
	return out
}

// describe lists all fields, or those that differ from former ones.
func (e entry) describe(former []field) string {
	var parts []string
	for i, f := range e.fields {
		switch {
		case former == nil:
			parts = append(parts, f.name+" "+f.value)
		case former[i] != f:
			parts = append(parts, fmt.Sprintf("%s %s -> %s", f.name, former[i].value, f.value))
		}
	}
	return strings.Join(parts, ", ")
}

// entries returns all entries. Entries of the same kind have the same fields in the same order.
func entries(c *platform.OperatorConfig) []entry {
	out := []entry{{"accounts", []field{{"enabled", fmt.Sprint(c.HasAccounts)}}}, limitsEntry(c.Limits)}
	for _, r := range c.Routes {
		out = append(out, routeEntry(r))
	}
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		s := c.Services[name]
		out = append(out, entry{"service " + name, []field{{"refuses excess", fmt.Sprint(s.RejectsOverload)}, {"standby", fmt.Sprint(s.Standby)}}})
	}
	for _, a := range c.Accounts {
		out = append(out, entry{"account " + a.Name, []field{
			{"weight", fmt.Sprintf("%g", a.Weight)}, {"cpu_milli", fmt.Sprint(a.Limit.CPUMilli)},
			{"memory_mib", fmt.Sprint(a.Limit.MemoryMiB)}, {"accelerators", fmt.Sprint(a.Limit.Accelerators)},
		}})
		for _, key := range a.Keys {
			out = append(out, entry{name: "key " + a.Name + " " + key.Short()})
		}
	}
	return out
}

func routeEntry(r platform.Route) entry {
	q := r.Queue
	return entry{"route " + q.Route, []field{
		{"host", r.Host}, {"prefix", r.PathPrefix}, {"service", q.Service}, {"public", fmt.Sprint(r.Public)},
		{"time-out", r.Timeout.String()}, {"objective", q.Objective.String()}, {"stretch", fmt.Sprintf("%g", q.Stretch)},
		{"priority", fmt.Sprint(q.Priority)}, {"attempts", fmt.Sprint(q.MaxAttempts)}, {"advice", fmt.Sprint(q.Advice)},
	}}
}

func limitsEntry(l platform.RequestLimits) entry {
	return entry{"limits", []field{
		{"header bytes", fmt.Sprint(l.MaxHeaderBytes)}, {"body bytes", fmt.Sprint(l.MaxBodyBytes)},
		{"header time-out", l.HeaderTimeout.String()}, {"idle time-out", l.IdleTimeout.String()},
	}}
}
