package burn

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
)

// Objective is the service-level objective of one kind of task.
type Objective struct {
	Kind domain.Kind `json:"kind"`
	// Target is the share of good events, in (0, 1).
	Target float64 `json:"target"`
	// Latency bounds a good urgent answer or batch start; zero counts the
	// outcome only.
	Latency time.Duration `json:"latency_ns,omitempty"`
}

// Verdict is what an event counts as.
type Verdict int

// Verdicts.
const (
	// Ignored events say nothing of the service.
	Ignored Verdict = iota
	Good
	Bad
)

// Classify returns what an outcome counts as. took is the time to the answer of an
// urgent request, or to the start of another task. A state that is not final
// counts as a start if it is OutcomeRunning and is ignored otherwise.
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
