package worker

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/cespare/xxhash/v2"
)

// Behaviour is the JSON form of a payload that sets how its task behaves. All
// fields are optional.
type Behaviour struct {
	// DurationMillis is the run time of the task alone on the worker. Zero means
	// DefaultUrgentDuration or DefaultBatchDuration, and a watch that never ends.
	DurationMillis int64 `json:"duration_ms"`
	// Used is the actual resource use. If absent, the task uses its declared
	// resources.
	Used *domain.Resources `json:"used"`
	// Fail makes the task fail after its run time.
	Fail bool `json:"fail"`
	// ProgressSteps is the number of equal steps of the task. A checkpoint
	// records the number of finished steps. Zero means DefaultProgressSteps.
	ProgressSteps int64 `json:"progress_steps"`
}

// Defaults of Behaviour.
const (
	DefaultUrgentDuration = 10 * time.Millisecond
	DefaultBatchDuration  = time.Second
	DefaultProgressSteps  = 100
)

// unlimitedWork is the run time of a watch without a duration.
const unlimitedWork = time.Duration(1<<62 - 1)

// taskBehaviour is a Behaviour with its defaults filled in.
type taskBehaviour struct {
	work  time.Duration
	used  domain.Resources
	fail  bool
	steps int64
}

// parseBehaviour decodes the payload as a Behaviour. A payload that cannot be
// decoded means the defaults.
func parseBehaviour(t domain.Task) taskBehaviour {
	var b Behaviour
	if json.Unmarshal(t.Payload, &b) != nil {
		b = Behaviour{}
	}
	behaviour := taskBehaviour{
		work:  time.Duration(b.DurationMillis) * time.Millisecond,
		used:  t.Resources,
		fail:  b.Fail,
		steps: b.ProgressSteps,
	}
	if b.Used != nil {
		behaviour.used = *b.Used
	}
	if behaviour.steps <= 0 {
		behaviour.steps = DefaultProgressSteps
	}
	if behaviour.work <= 0 {
		behaviour.work = defaultWork(t.Kind)
	}
	return behaviour
}

func defaultWork(k domain.Kind) time.Duration {
	switch k {
	case domain.KindUrgent:
		return DefaultUrgentDuration
	case domain.KindBatch:
		return DefaultBatchDuration
	}
	return unlimitedWork
}

// ExpectedAnswer returns the answer of a task that succeeds:
// "request <id> payload <xxhash64 of the payload, 16 hexadecimal digits>".
func ExpectedAnswer(task domain.Task) []byte {
	return fmt.Appendf(nil, "request %s payload %016x", task.ID, xxhash.Sum64(task.Payload))
}
