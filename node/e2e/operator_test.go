package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/basilferry/basilferry/core/configlog"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/httpapi"
)

// change makes a configuration change through a node and returns the HTTP
// status and the response.
func (n *entryNode) change(change configlog.Change) (int, httpapi.ChangeResponse, error) {
	var out httpapi.ChangeResponse
	body, err := json.Marshal(change)
	if err != nil {
		return 0, out, err
	}
	resp, err := controlClient.Post(n.baseURL()+"/v1/config?wait=5s", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, out, err
	}
	defer resp.Body.Close()
	return resp.StatusCode, out, json.NewDecoder(resp.Body).Decode(&out)
}

func (n *entryNode) configuration(t *testing.T) domain.Configuration {
	t.Helper()
	got, err := getJSON[domain.Configuration](n.baseURL() + "/v1/config")
	assert.NilError(t, err, string(n.ID))
	return got
}

// mustChange makes a change based on the version in force and checks that the
// response reports it as in force on every node.
func (n *entryNode) mustChange(t *testing.T, change configlog.Change) domain.Version {
	t.Helper()
	change.Base = n.configuration(t).Version
	change.Operator = "e2e"
	status, body, err := n.change(change)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK, "%+v", body)
	assert.Equal(t, len(body.Missing), 0, "%+v", body)
	return body.Decision.Version
}

// awaitVersion waits until the version is in force on every node and returns
// the configurations.
func (c *cluster) awaitVersion(v domain.Version) []domain.Configuration {
	c.t.Helper()
	var all []domain.Configuration
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		all = nil
		for _, n := range c.nodes {
			got := n.configuration(c.t)
			if got.Version != v {
				return poll.Continue("node %s has version %d in force, not %d", n.ID, got.Version, v)
			}
			all = append(all, got)
		}
		return poll.Success()
	}, poll.WithTimeout(progressTimeout), poll.WithDelay(pollDelay))
	return all
}

// changeResult is the response to the change of one of two operators. weight is
// the quota weight that the change sets.
type changeResult struct {
	status int
	body   httpapi.ChangeResponse
	err    error
	weight float64
}

// Guards against accepting two changes based on the same version, against nodes
// that disagree about the accepted change, and against an operator whose change
// is rejected and who does not receive the configuration in force.
func TestTwoOperators(t *testing.T) {
	skipIfKnownRed(t, "TestTwoOperators")
	c := startCluster(t, options{})
	const rounds = 6
	for round := range rounds {
		base := c.nodes[0].configuration(t).Version
		c.awaitVersion(base)
		winner, loser := c.raceChanges(base, round)
		assert.Equal(t, winner.status, http.StatusOK, "%+v", winner)
		assert.Equal(t, loser.status, http.StatusConflict, "%+v", loser)
		assert.Equal(t, loser.body.Kind, domain.KindVersionConflict)
		assert.Assert(t, loser.body.Configuration != nil)
		assert.Equal(t, loser.body.Configuration.Version, winner.body.Decision.Version)
		assert.Equal(t, quotaWeight(*loser.body.Configuration), winner.weight)
		for _, got := range c.awaitVersion(winner.body.Decision.Version) {
			assert.Equal(t, quotaWeight(got), winner.weight)
		}
		t.Logf("round %d: rejected with %q, remedy %q", round, loser.body.Message, loser.body.Remedy)
	}
}

// raceChanges makes two concurrent changes of one quota through nodes of two
// failure domains. It checks that exactly one change was accepted, and returns
// the responses to that one (winner) and to the other one (loser).
func (c *cluster) raceChanges(base domain.Version, round int) (winner, loser changeResult) {
	c.t.Helper()
	answers := make(chan changeResult, 2)
	for i, n := range []*entryNode{c.firstNodeIn(domains[0]), c.firstNodeIn(domains[1])} {
		go func() {
			a := changeResult{weight: float64(10*round + i + 1)}
			quota := domain.Quota{Team: "branch-1", Weight: a.weight}
			a.status, a.body, a.err = n.change(configlog.Change{
				Base: base, Operator: fmt.Sprintf("operator-%d", i), Quota: &quota,
			})
			answers <- a
		}()
	}
	winner, loser = <-answers, <-answers
	if loser.body.Decision.Accepted {
		winner, loser = loser, winner
	}
	assert.NilError(c.t, winner.err)
	assert.NilError(c.t, loser.err)
	assert.Assert(c.t, winner.body.Decision.Accepted && !loser.body.Decision.Accepted, "%+v %+v", winner, loser)
	return winner, loser
}

// quotaWeight returns the weight of the quota that raceChanges sets, or 0 if there
// is none.
func quotaWeight(cfg domain.Configuration) float64 {
	for _, q := range cfg.Quotas {
		if q.Team == "branch-1" {
			return q.Weight
		}
	}
	return 0
}
