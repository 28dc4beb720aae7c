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
	Runs int
	// Evictions counts batch runs that were stopped before their end.
	Evictions int
	// Overlaps counts runs of a task that began while another run of it lasted.
	Overlaps int
	// Repeats counts runs of urgent requests beyond the first.
	Repeats int
	// OverCapacity counts starts at which a worker held more than it has.
	OverCapacity int
}

// AuditHistory checks the runs of all workers. capacity is that of each worker.
func AuditHistory(runs []worker.Interval, capacity domain.Resources) Audit {
	a := Audit{Runs: len(runs)}
	byTask := map[domain.RequestID][]worker.Interval{}
	byWorker := map[domain.WorkerID][]worker.Interval{}
	for _, r := range runs {
		byTask[r.ID] = append(byTask[r.ID], r)
		byWorker[r.Worker] = append(byWorker[r.Worker], r)
		if r.Kind == domain.KindBatch && r.End == worker.EndStopped {
			a.Evictions++
		}
	}
	for _, list := range byTask {
		a.task(list)
	}
	for _, list := range byWorker {
		a.OverCapacity += overCapacity(list, capacity)
	}
	return a
}

func (a *Audit) task(list []worker.Interval) {
	byStart(list)
	if list[0].Kind == domain.KindUrgent {
		a.Repeats += len(list) - 1
	}
	for i := 1; i < len(list); i++ {
		if before := list[i-1].Stop; before == nil || list[i].Start.Before(*before) {
			a.Overlaps++
		}
	}
}

func byStart(list []worker.Interval) {
	slices.SortFunc(list, func(x, y worker.Interval) int { return x.Start.Compare(y.Start) })
}

// change is a reservation that begins or ends.
type change struct {
	at  time.Time
	by  domain.Resources
	end bool
}

// overCapacity sweeps over the reservations of one worker. At equal times ends
// come first, as on the worker.
func overCapacity(list []worker.Interval, capacity domain.Resources) int {
	var changes []change
	for _, r := range list {
		changes = append(changes, change{at: r.Start, by: r.Reserved})
		if r.Stop != nil {
			changes = append(changes, change{at: *r.Stop, by: domain.Resources{}.Sub(r.Reserved), end: true})
		}
	}
	slices.SortStableFunc(changes, func(x, y change) int {
		return cmp.Or(x.at.Compare(y.at), -cmp.Compare(boolInt(x.end), boolInt(y.end)))
	})
	count := 0
	var held domain.Resources
	for _, c := range changes {
		held = held.Add(c.by)
		if !held.Fits(capacity) {
			count++
		}
	}
	return count
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Write prints the audit.
func (a Audit) Write(w io.Writer) error {
	_, err := fmt.Fprintf(w,
		"workers' records: %d runs, %d evictions, %d overlapping runs, %d repeated urgent runs, %d starts over capacity\n",
		a.Runs, a.Evictions, a.Overlaps, a.Repeats, a.OverCapacity)
	return err
}
