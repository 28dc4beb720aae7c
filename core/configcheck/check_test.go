package configcheck

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/account"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/platform"
)

func sample() *platform.OperatorConfig {
	return &platform.OperatorConfig{
		Version: 7,
		Routes: []platform.Route{{
			Host: "h.example", PathPrefix: "/jobs/", Timeout: 3 * time.Second,
			Queue: job.Queue{Route: "r", Service: "s", Objective: time.Second, Stretch: 1.5, MaxAttempts: 4},
		}},
		Services: map[string]platform.ServiceConfig{"s": {Name: "s"}, "spare": {Name: "spare", Standby: true}},
		Limits:   platform.RequestLimits{MaxBodyBytes: 262144}, HasAccounts: true,
		Accounts: []account.Account{{Name: "a", Weight: 1, Keys: []account.Digest{account.DigestOf("key-a")}, Limit: domain.Resources{CPUMilli: 8000}}},
	}
}

// Guards against a contradiction that is overlooked, and against findings in a configuration
// without one.
func TestCheckFindsEachContradiction(t *testing.T) {
	type config = platform.OperatorConfig
	for name, c := range map[string]struct {
		change func(*config)
		want   string
	}{
		"sound":             {func(*config) {}, ""},
		"no accounts":       {func(c *config) { c.HasAccounts, c.Accounts = false, nil }, ""},
		"same version":      {func(c *config) { c.Version = 6 }, "error old-version version"},
		"hidden route":      {func(c *config) { c.Routes = append(c.Routes, c.Routes[0]); c.Routes[1].Host = "H.example" }, "error route-hidden route r"},
		"longer prefix":     {func(c *config) { c.Routes = append(c.Routes, c.Routes[0]); c.Routes[1].PathPrefix = "/jobs/x/" }, ""},
		"relative prefix":   {func(c *config) { c.Routes[0].PathPrefix = "jobs/" }, "error route-never-matches route r"},
		"no host":           {func(c *config) { c.Routes[0].Host = "" }, "error route-never-matches route r"},
		"unknown service":   {func(c *config) { delete(c.Services, "s") }, "error route-without-service route r"},
		"unused service":    {func(c *config) { c.Services["t"] = platform.ServiceConfig{} }, "warning service-without-route service t"},
		"short time-out":    {func(c *config) { c.Routes[0].Timeout = 900 * time.Millisecond }, "warning route-timeout route r"},
		"no time-out":       {func(c *config) { c.Routes[0].Timeout = 0 }, ""},
		"negative stretch":  {func(c *config) { c.Routes[0].Queue.Stretch = -1 }, "error negative-limit route r"},
		"small body limit":  {func(c *config) { c.Limits.MaxBodyBytes = 3999 }, "error body-limit limits"},
		"no body limit":     {func(c *config) { c.Limits.MaxBodyBytes = 0 }, ""},
		"negative limit":    {func(c *config) { c.Limits.MaxHeaderBytes = -1 }, "error negative-limit limits"},
		"odd account":       {func(c *config) { c.AccountWarnings = []string{"entry 1 is omitted"} }, "error account-entry accounts"},
		"account, no keys":  {func(c *config) { c.Accounts = append(c.Accounts, account.Account{Name: "b"}) }, "warning account-without-keys account b"},
		"no accounts left":  {func(c *config) { c.Accounts = nil }, "warning no-valid-key accounts"},
		"only public, none": {func(c *config) { c.Accounts, c.Routes[0].Public = nil, true }, ""},
		"key in two accounts": {
			func(c *config) { c.Accounts = append(c.Accounts, account.Account{Name: "b", Keys: c.Accounts[0].Keys}) },
			"error key-in-two-accounts account b",
		},
		"errors first": {
			func(c *config) { c.Routes[0].Timeout = 1; c.Limits.MaxBodyBytes = 1 },
			"error body-limit limits; warning route-timeout route r",
		},
	} {
		checked := sample()
		c.change(checked)
		var got []string
		for _, f := range Check(checked, &config{Version: 6}) {
			got = append(got, string(f.Severity)+" "+f.Code+" "+f.Entry)
			assert.Assert(t, f.Message != "" && f.Remedy != "", name)
		}
		assert.Equal(t, strings.Join(got, "; "), c.want, name)
	}
}

// Guards against a difference that is left out, and against a key in the list.
func TestDiffListsEachDifference(t *testing.T) {
	from, to := sample(), sample()
	assert.Equal(t, len(Diff(from, to)), 0)
	to.Routes[0].Queue.Objective = 2 * time.Second
	to.Routes[0].Public = true
	delete(to.Services, "spare")
	to.Limits.MaxBodyBytes = 1000
	to.Accounts[0].Limit.CPUMilli = 4000
	to.Accounts[0].Keys = []account.Digest{account.DigestOf("key-b")}
	to.Accounts = append(to.Accounts, account.Account{Name: "b", Weight: 2})
	assert.DeepEqual(t, Diff(from, to), []Change{
		{"changed", "limits", "body bytes 262144 -> 1000"},
		{"changed", "route r", "public false -> true, objective 1s -> 2s"},
		{"changed", "account a", "cpu_milli 8000 -> 4000"},
		{"added", "key a " + account.DigestOf("key-b").Short(), ""},
		{"added", "account b", "weight 2, cpu_milli 0, memory_mib 0, accelerators 0"},
		{"removed", "service spare", ""},
		{"removed", "key a " + account.DigestOf("key-a").Short(), ""},
	})
}
