package app

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/standin/worker"
)

// Audit is what the workers' own records say of a run.
type Audit struct {
	Attempts int
	// Evictions counts batch runs that were stopped before their end.
	Evictions int
	// OverlappingAttempts counts runs of a task that began while another run of it lasted.
	OverlappingAttempts int
	// RepeatedUrgentAttempts counts runs of urgent requests beyond the first.
	RepeatedUrgentAttempts int
	// OverCapacityStarts counts starts at which a worker held more than it has.
	OverCapacityStarts int
}

// AuditAttempts checks the runs of all workers. capacity is that of each worker.
func AuditAttempts(runs []worker.AttemptInterval, capacity domain.Resources) Audit {
	a := Audit{Attempts: len(runs)}
	byTask := map[domain.RequestID][]worker.AttemptInterval{}
	byWorker := map[domain.WorkerID][]worker.AttemptInterval{}
	for _, r := range runs {
		byTask[r.ID] = append(byTask[r.ID], r)
		byWorker[r.Worker] = append(byWorker[r.Worker], r)
		if r.Kind == domain.KindBatch && r.Completion == worker.CompletionStopped {
			a.Evictions++
		}
	}
	for _, list := range byTask {
		a.countTaskFaults(list)
	}
	for _, list := range byWorker {
		a.OverCapacityStarts += countOverCapacityStarts(list, capacity)
	}
	return a
}

func (a *Audit) countTaskFaults(list []worker.AttemptInterval) {
	sortByStart(list)
	if list[0].Kind == domain.KindUrgent {
		a.RepeatedUrgentAttempts += len(list) - 1
	}
	for i := 1; i < len(list); i++ {
		if before := list[i-1].Stop; before == nil || list[i].Start.Before(*before) {
			a.OverlappingAttempts++
		}
	}
}

func sortByStart(list []worker.AttemptInterval) {
	slices.SortFunc(list, func(x, y worker.AttemptInterval) int { return x.Start.Compare(y.Start) })
}

// reservationChange is a reservation that begins or ends.
type reservationChange struct {
	at        time.Time
	delta     domain.Resources
	isRelease bool
}

// countOverCapacityStarts sweeps over the reservations of one worker. At equal times ends
// come first, as on the worker.
func countOverCapacityStarts(list []worker.AttemptInterval, capacity domain.Resources) int {
	var changes []reservationChange
	for _, r := range list {
		changes = append(changes, reservationChange{at: r.Start, delta: r.Reserved})
		if r.Stop != nil {
			changes = append(changes, reservationChange{at: *r.Stop, delta: domain.Resources{}.Sub(r.Reserved), isRelease: true})
		}
	}
	slices.SortStableFunc(changes, func(x, y reservationChange) int {
		return cmp.Or(x.at.Compare(y.at), -cmp.Compare(boolToInt(x.isRelease), boolToInt(y.isRelease)))
	})
	count := 0
	var held domain.Resources
	for _, c := range changes {
		held = held.Add(c.delta)
		if !held.Fits(capacity) {
			count++
		}
	}
	return count
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Write prints the audit.
func (a Audit) Write(w io.Writer) error {
	_, err := fmt.Fprintf(w,
		"workers' records: %d runs, %d evictions, %d overlapping runs, %d repeated urgent runs, %d starts over capacity\n",
		a.Attempts, a.Evictions, a.OverlappingAttempts, a.RepeatedUrgentAttempts, a.OverCapacityStarts)
	return err
}
