package dispatcher

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/account"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/scheduler"
)

// accountGauges keeps the gauges of accounts by name, account and resource.
type accountGauges struct {
	noMetrics
	values map[string]float64
}

func (g accountGauges) AccountGauge(name, account, resource string, value float64) {
	g.values[name+" "+account+" "+resource] = value
}

// Guards against a log line for each account in each load report, and against gauges of an
// account that is gone, or of a former owner, that keep their last value.
func TestAccountsAreLoggedSeldomAndClearedAtTheEnd(t *testing.T) {
	var log bytes.Buffer
	gauges := accountGauges{values: map[string]float64{}}
	d := &Dispatcher{cfg: Config{Logger: slog.New(slog.NewTextHandler(&log, nil)), Metrics: gauges}}
	tr := &term{d: d, jobScheduler: scheduler.New(scheduler.Settings{}, 1, 0, 0)}
	tr.reportAccounts(time.Second)
	assert.Equal(t, log.Len()+len(gauges.values), 0)
	config := &platform.OperatorConfig{Version: 1, HasAccounts: true, Accounts: []account.Account{
		{Name: "a", Weight: 1, Limit: domain.Resources{CPUMilli: 4000}}, {Name: "b", Weight: 3},
	}}
	tr.jobScheduler.SetConfig(config)
	for now := time.Second; now <= 7*time.Second; now += time.Second {
		tr.reportAccounts(now)
	}
	assert.Equal(t, strings.Count(log.String(), "account use"), 4)
	assert.Assert(t, strings.Contains(log.String(), "account=a cpu_milli=0 cpu_milli_limit=4000"), log.String())
	assert.Equal(t, gauges.values["account_limit a cpu_milli"], 4000.0)
	assert.Equal(t, gauges.values["account_fair_share b all"], 0.75)
	tr.jobScheduler.SetConfig(&platform.OperatorConfig{Version: 2, HasAccounts: true, Accounts: config.Accounts[1:]})
	tr.reportAccounts(8 * time.Second)
	assert.Equal(t, gauges.values["account_limit a cpu_milli"], 0.0)
	assert.Equal(t, gauges.values["account_fair_share b all"], 1.0)
	tr.clearAccounts(nil)
	assert.Equal(t, gauges.values["account_fair_share b all"], 0.0)
}
