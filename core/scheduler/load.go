package scheduler

import (
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/ledger"
)

// Load is a summary of the work and the room, for logs and metrics.
type Load struct {
	// Jobs counts the jobs that are not over.
	Jobs int
	// Waiting and Running count tasks that could run, by sort.
	WaitingServing, WaitingFilling, WaitingOther int
	RunningServing, RunningFilling, RunningOther int
	// ServingOver counts the serving tasks whose tail was over its target at
	// the last look, and OverAlone those of them with no filling task beside.
	ServingOver, OverAlone int
	// ServingWorkers counts the workers that serve, and MixedWorkers those of
	// them that serve more than one image.
	ServingWorkers, MixedWorkers int
	// Pace is the mean pace of the running filling tasks in percent.
	Pace int
	// FillCores is the processor time that filling tasks use, in cores, and
	// FillDemand what they would use at full speed.
	FillCores, FillDemand float64
	// FreeCores is what is not occupied on workers that take new runs.
	FreeCores float64
	// Workers counts the workers that take new runs, of Listed.
	Workers, Listed int
}

// Load returns the summary.
func (m *Machine) Load(now fleet.Instant, wallMS int64) Load {
	var l Load
	paces := 0
	images := map[string]bool{}
	for _, w := range m.fleet.All() {
		clear(images)
		if w.Listed {
			l.Listed++
		}
		if m.usable(w, now) {
			l.Workers++
			l.FreeCores += float64(w.FreeCapacity().CPUMilli) / milli
		}
		for _, r := range w.Attempts {
			switch {
			case r.Step == nil:
			case r.Step.Target > 0:
				l.RunningServing++
				images[r.Step.Image] = true
				if r.Percent >= atWork && r.Observed > r.Step.Target.Milliseconds() {
					l.ServingOver++
					if !w.IsShared() {
						l.OverAlone++
					}
				}
			case r.Step.Fills:
				l.RunningFilling++
				paces += r.Pace
				l.FillCores += float64(r.Observed) / milli
				l.FillDemand += float64(r.Step.Need.CPUMilli) / milli
			default:
				l.RunningOther++
			}
		}
		if len(images) > 0 {
			l.ServingWorkers++
		}
		if len(images) > 1 {
			l.MixedWorkers++
		}
	}
	if l.RunningFilling > 0 {
		l.Pace = paces / l.RunningFilling
	}
	for _, e := range m.ledger.OpenJobs() {
		l.Jobs++
		m.addWaiting(&l, e, wallMS)
	}
	return l
}

// milli is the number of thousandths of a core in a core.
const milli = 1000

func (m *Machine) addWaiting(l *Load, e *ledger.Entry, wallMS int64) {
	for k := range e.Occurrences {
		if e.Job.DueUnixMS(k) > wallMS {
			return
		}
		for i, s := range e.Job.Steps {
			waiting := e.WaitingCount(k, i)
			switch {
			case waiting == 0 || !e.DependenciesDone(k, i):
			case s.Target > 0:
				l.WaitingServing += waiting
			case s.Fills:
				l.WaitingFilling += waiting
			default:
				l.WaitingOther += waiting
			}
		}
	}
}
