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
	WaitingServing, WaitingBestEffort, WaitingRegular int
	RunningServing, RunningBestEffort, RunningRegular int
	// ServingOverTarget counts the serving tasks whose tail was over its target at
	// the last look, and OverAlone those of them with no filling task beside.
	ServingOverTarget, OverTargetAlone int
	// ServingWorkers counts the workers that serve, and MixedWorkers those of
	// them that serve more than one image.
	ServingWorkers, MixedWorkers int
	// Pace is the mean pace of the running filling tasks in percent.
	Pace int
	// BestEffortCores is the processor time that filling tasks use, in cores, and
	// BestEffortDemand what they would use at full speed.
	BestEffortCores, BestEffortDemand float64
	// FreeCores is what is not occupied on workers that take new runs.
	FreeCores float64
	// UsableWorkers counts the workers that take new runs, of Listed.
	UsableWorkers, Listed int
}

// Load returns the summary.
func (m *Scheduler) Load(now fleet.Instant, wallMS int64) Load {
	var l Load
	paces := 0
	images := map[string]bool{}
	for _, w := range m.fleet.All() {
		clear(images)
		if w.Listed {
			l.Listed++
		}
		if m.isUsable(w, now) {
			l.UsableWorkers++
			l.FreeCores += float64(w.FreeCapacity().CPUMilli) / milliPerCore
		}
		for _, r := range w.Attempts {
			switch {
			case r.Step == nil:
			case r.Step.Target > 0:
				l.RunningServing++
				images[r.Step.Image] = true
				if r.Percent >= readyPercent && r.Observed > r.Step.Target.Milliseconds() {
					l.ServingOverTarget++
					if !w.IsShared() {
						l.OverTargetAlone++
					}
				}
			case r.Step.Fills:
				l.RunningBestEffort++
				paces += r.Pace
				l.BestEffortCores += float64(r.Observed) / milliPerCore
				l.BestEffortDemand += float64(r.Step.Need.CPUMilli) / milliPerCore
			default:
				l.RunningRegular++
			}
		}
		if len(images) > 0 {
			l.ServingWorkers++
		}
		if len(images) > 1 {
			l.MixedWorkers++
		}
	}
	if l.RunningBestEffort > 0 {
		l.Pace = paces / l.RunningBestEffort
	}
	for _, e := range m.ledger.OpenJobs() {
		l.Jobs++
		m.addWaiting(&l, e, wallMS)
	}
	return l
}

// milliPerCore is the number of thousandths of a core in a core.
const milliPerCore = 1000

func (m *Scheduler) addWaiting(l *Load, e *ledger.Entry, wallMS int64) {
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
				l.WaitingBestEffort += waiting
			default:
				l.WaitingRegular += waiting
			}
		}
	}
}
