package app

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/internal/testport"
	"github.com/basilferry/basilferry/node/settings"
	"github.com/basilferry/basilferry/standin/worker"
)

// smallClusterSettings has two failure domains with two nodes and four workers each.
func smallClusterSettings(t *testing.T) settings.Settings {
	s := settings.Defaults()
	s.Cluster.Domains = []domain.FailureDomain{"larissa", "volos"}
	s.SLOs = settings.DefaultSLOs()
	addresses := testport.FreeAddresses(t, 8)
	for i := range 4 {
		s.Cluster.Nodes = append(s.Cluster.Nodes, settings.NodeAddress{
			ID:          domain.NodeID(fmt.Sprintf("n%d", i+1)),
			Domain:      s.Cluster.Domains[i/2],
			HTTPAddress: addresses[2*i],
			PeerAddress: addresses[2*i+1],
		})
	}
	e := settings.DefaultEmbedded()
	e.UrgentPerSecond, e.BatchTasks, e.Watches = 40, 4, 2
	e.Duration = settings.Duration(2 * time.Second)
	s.Embedded = &e
	return s
}

// Guards the whole path: an answer that is lost or wrong, a task that runs
// twice, and a node that cannot be stopped.
func TestEmbeddedClusterAnswersAllRequests(t *testing.T) {
	s := smallClusterSettings(t)
	e := NewEmbedded(s, io.Discard)
	assert.NilError(t, e.Start(t.Context()))
	report := e.RunLoad(t.Context())
	assert.NilError(t, e.Stop(context.Background()))

	assert.Equal(t, report.WrongAnswers, 0)
	for _, k := range report.Kinds {
		assert.Equal(t, len(k.Errors), 0, "%s %v", k.Kind, report.Examples)
		if k.Kind == domain.KindUrgent {
			assert.Equal(t, k.Outcomes[domain.OutcomeSucceeded], k.Sent, "outcomes %v", k.Outcomes)
		}
	}
	assert.Equal(t, report.BatchFinished[domain.OutcomeSucceeded], s.Embedded.BatchTasks)
	audit := AuditAttempts(e.History(), s.Embedded.Worker)
	assert.Equal(t, audit.OverlappingAttempts+audit.RepeatedUrgentAttempts+audit.OverCapacityStarts, 0)
}

// Guards against an audit that finds nothing.
func TestAuditCountsFaults(t *testing.T) {
	start := time.Unix(0, 0)
	stop := start.Add(time.Second)
	one := domain.Resources{CPUMilli: 1, MemoryMiB: 1}
	run := worker.AttemptInterval{Worker: "w1", Kind: domain.KindUrgent, Reserved: one, Start: start, Stop: &stop}
	twin := run
	twin.Start = start.Add(time.Millisecond)
	a := AuditAttempts([]worker.AttemptInterval{run, twin}, one)
	assert.DeepEqual(t, a, Audit{Attempts: 2, OverlappingAttempts: 1, RepeatedUrgentAttempts: 1, OverCapacityStarts: 1})

	// A start at the instant of another's end is no overlap.
	next := run
	next.Start, next.Kind = stop, domain.KindBatch
	run.Kind, run.Completion = domain.KindBatch, worker.CompletionStopped
	a = AuditAttempts([]worker.AttemptInterval{run, next}, one)
	assert.DeepEqual(t, a, Audit{Attempts: 2, Evictions: 1})
}
