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

// Advice is the policy service's answer: the workers among those asked about
// that may run the step, and how long the tickets are valid.
type Advice struct {
	Tickets []Ticket
	Valid   time.Duration
}

// MaxAdviceWorkers is how many workers one question can name.
const MaxAdviceWorkers = 100

// Advisor is the policy service. It answers one question of a node at a time
// and takes a while for each worker named; any error means no advice.
type Advisor interface {
	Advise(ctx context.Context, step string, workers []domain.WorkerID) (Advice, error)
}
