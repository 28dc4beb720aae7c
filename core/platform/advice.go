package platform

import (
	"context"
	"time"

	"github.com/basilferry/basilferry/core/domain"
)

// Ticket is the policy service's permission for one worker to run the tasks of
// a step.
type Ticket struct {
	Worker domain.WorkerID
	Ticket string
}

// Advice is the answer of the policy service: tickets for those of the named
// workers that may run the step, and how long the tickets are valid.
type Advice struct {
	Tickets []Ticket
	Valid   time.Duration
}

// MaxAdviceWorkers is the maximum number of workers in one request for advice.
const MaxAdviceWorkers = 100

// Advisor is the policy service. It answers one request of a node at a time, and
// the answer takes longer the more workers are named. Any error means that there
// is no advice.
type Advisor interface {
	Advise(ctx context.Context, step string, workers []domain.WorkerID) (Advice, error)
}
