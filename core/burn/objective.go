package burn

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
)

// Objective is the service-level objective of one kind of task.
type Objective struct {
	Kind domain.Kind `json:"kind"`
	// Target is the required share of good events, in (0, 1).
	Target float64 `json:"target"`
	// Latency is the maximum time to the answer of an urgent request, or to the
	// start of another task, for the event to be good. Zero sets no maximum.
	Latency time.Duration `json:"latency_ns,omitempty"`
}

// Verdict says whether an event is good, bad or not counted.
type Verdict int

// Values of Verdict.
const (
	// Ignored events say nothing about the service.
	Ignored Verdict = iota
	Good
	Bad
)

// Classify returns whether an outcome is good, bad or ignored. took is the time to
// the answer of an urgent request, or to the start of another task.
// OutcomeSucceeded and, for a task that is not urgent, OutcomeRunning are good if
// took is at most Latency. OutcomeAccepted and OutcomeCancelled are ignored, as is
// OutcomeRunning for an urgent request. Every other state is bad.
func (o Objective) Classify(state domain.OutcomeState, took time.Duration) Verdict {
	switch state {
	case domain.OutcomeAccepted, domain.OutcomeCancelled:
		return Ignored
	case domain.OutcomeRunning:
		if o.Kind == domain.KindUrgent {
			return Ignored
		}
		return o.classifyLatency(took)
	case domain.OutcomeSucceeded:
		return o.classifyLatency(took)
	}
	return Bad
}

func (o Objective) classifyLatency(took time.Duration) Verdict {
	if o.Latency > 0 && took > o.Latency {
		return Bad
	}
	return Good
}

// budget is the share of events that may be bad.
func (o Objective) budget() float64 { return 1 - o.Target }
