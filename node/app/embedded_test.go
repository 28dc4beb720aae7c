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

// smallClusterSettings returns settings with two failure domains, each with two
// nodes and four workers.
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

// Guards against lost or wrong answers, tasks that run twice and nodes that fail
// to stop, in a whole cluster under load.
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

// Guards against an audit that misses faults or reports a fault in a correct
// sequence of attempts.
func TestAuditCountsFaults(t *testing.T) {
	start := time.Unix(0, 0)
	stop := start.Add(time.Second)
	unit := domain.Resources{CPUMilli: 1, MemoryMiB: 1}
	attempt := worker.AttemptInterval{Worker: "w1", Kind: domain.KindUrgent, Reserved: unit, Start: start, Stop: &stop}
	overlapping := attempt
	overlapping.Start = start.Add(time.Millisecond)
	a := AuditAttempts([]worker.AttemptInterval{attempt, overlapping}, unit)
	assert.DeepEqual(t, a, Audit{Attempts: 2, OverlappingAttempts: 1, RepeatedUrgentAttempts: 1, OverCapacityStarts: 1})

	// An attempt that starts when another one finishes does not overlap with it.
	next := attempt
	next.Start, next.Kind = stop, domain.KindBatch
	attempt.Kind, attempt.Completion = domain.KindBatch, worker.CompletionStopped
	a = AuditAttempts([]worker.AttemptInterval{attempt, next}, unit)
	assert.DeepEqual(t, a, Audit{Attempts: 2, Evictions: 1})
}
