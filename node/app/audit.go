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

// Audit counts the attempts that the workers recorded during a load run and the
// faults found in them.
type Audit struct {
	Attempts int
	// Evictions counts attempts of batch tasks that were stopped before they
	// finished.
	Evictions int
	// OverlappingAttempts counts attempts that started while another attempt of
	// the same task was running.
	OverlappingAttempts int
	// RepeatedUrgentAttempts counts the attempts of urgent requests beyond the
	// first one of each request.
	RepeatedUrgentAttempts int
	// OverCapacityStarts counts starts, and also releases, after which the
	// reservations on a worker exceeded its capacity.
	OverCapacityStarts int
}

// AuditAttempts checks the recorded attempts of all workers. All workers have the
// same capacity.
func AuditAttempts(intervals []worker.AttemptInterval, capacity domain.Resources) Audit {
	a := Audit{Attempts: len(intervals)}
	byTask := map[domain.RequestID][]worker.AttemptInterval{}
	byWorker := map[domain.WorkerID][]worker.AttemptInterval{}
	for _, r := range intervals {
		byTask[r.ID] = append(byTask[r.ID], r)
		byWorker[r.Worker] = append(byWorker[r.Worker], r)
		if r.Kind == domain.KindBatch && r.Completion == worker.CompletionStopped {
			a.Evictions++
		}
	}
	for _, group := range byTask {
		a.countTaskFaults(group)
	}
	for _, group := range byWorker {
		a.OverCapacityStarts += countOverCapacityStarts(group, capacity)
	}
	return a
}

// countTaskFaults adds the faults in the attempts of one task.
func (a *Audit) countTaskFaults(intervals []worker.AttemptInterval) {
	sortByStart(intervals)
	if intervals[0].Kind == domain.KindUrgent {
		a.RepeatedUrgentAttempts += len(intervals) - 1
	}
	for i := 1; i < len(intervals); i++ {
		if previousStop := intervals[i-1].Stop; previousStop == nil || intervals[i].Start.Before(*previousStop) {
			a.OverlappingAttempts++
		}
	}
}

func sortByStart(intervals []worker.AttemptInterval) {
	slices.SortFunc(intervals, func(x, y worker.AttemptInterval) int { return x.Start.Compare(y.Start) })
}

// reservationChange is the start or the release of a reservation.
type reservationChange struct {
	at        time.Time
	delta     domain.Resources
	isRelease bool
}

// countOverCapacityStarts adds up the reservations of one worker in time order and
// counts the starts and releases after which the sum exceeds the capacity. At equal
// times, releases come before starts, as on the worker.
func countOverCapacityStarts(intervals []worker.AttemptInterval, capacity domain.Resources) int {
	var changes []reservationChange
	for _, r := range intervals {
		changes = append(changes, reservationChange{at: r.Start, delta: r.Reserved})
		if r.Stop != nil {
			changes = append(changes, reservationChange{at: *r.Stop, delta: domain.Resources{}.Sub(r.Reserved), isRelease: true})
		}
	}
	slices.SortStableFunc(changes, func(x, y reservationChange) int {
		return cmp.Or(x.at.Compare(y.at), -cmp.Compare(boolToInt(x.isRelease), boolToInt(y.isRelease)))
	})
	count := 0
	var reserved domain.Resources
	for _, c := range changes {
		reserved = reserved.Add(c.delta)
		if !reserved.Fits(capacity) {
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
