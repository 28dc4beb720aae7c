package scheduler

import (
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/ledger"
)

// Load is a summary of the work and the free capacity, for logs and metrics.
type Load struct {
	// Jobs is the number of open jobs.
	Jobs int
	// These count the waiting tasks that could start now and the attempts that may
	// be running, by type: serving, best-effort and regular.
	WaitingServing, WaitingBestEffort, WaitingRegular int
	RunningServing, RunningBestEffort, RunningRegular int
	// ServingOverTarget counts the serving tasks whose last tail latency sample
	// was over the target, and OverTargetAlone those of them that share their
	// worker with no best-effort task.
	ServingOverTarget, OverTargetAlone int
	// ServingWorkers counts the workers that run serving tasks, and MixedWorkers
	// those of them that run serving tasks of more than one image.
	ServingWorkers, MixedWorkers int
	// SpeedPercent is the mean speed limit of the running best-effort tasks, in
	// percent of full speed.
	SpeedPercent int
	// BestEffortCores is the number of cores that best-effort tasks use, and
	// BestEffortDemand the number that they would use at full speed.
	BestEffortCores, BestEffortDemand float64
	// FreeCores is the number of unreserved cores on workers that accept new
	// attempts.
	FreeCores float64
	// UsableWorkers counts the workers that accept new attempts, and Registered
	// the registered workers.
	UsableWorkers, Registered int
}

// Load returns the current load. nowUnixMS is the wall-clock time in Unix
// milliseconds.
func (s *Scheduler) Load(now fleet.Instant, nowUnixMS int64) Load {
	var l Load
	speedSum := 0
	images := map[string]bool{}
	for _, w := range s.fleet.All() {
		clear(images)
		if w.Registered {
			l.Registered++
		}
		if s.isUsable(w, now) {
			l.UsableWorkers++
			l.FreeCores += float64(w.FreeCapacity().CPUMilli) / milliPerCore
		}
		for _, r := range w.Attempts {
			switch {
			case r.Step == nil:
			case r.Step.Target > 0:
				l.RunningServing++
				images[r.Step.Image] = true
				if r.ProgressPercent >= readyPercent && r.Observed > r.Step.Target.Milliseconds() {
					l.ServingOverTarget++
					if !w.IsShared() {
						l.OverTargetAlone++
					}
				}
			case r.Step.Fills:
				l.RunningBestEffort++
				speedSum += r.SpeedPercent
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
		l.SpeedPercent = speedSum / l.RunningBestEffort
	}
	for _, e := range s.ledger.OpenJobs() {
		l.Jobs++
		s.addWaiting(&l, e, nowUnixMS)
	}
	return l
}

// milliPerCore is the number of millicores in a core.
const milliPerCore = 1000

// addWaiting adds the tasks of a job that could start now to the load.
func (s *Scheduler) addWaiting(l *Load, e *ledger.Entry, nowUnixMS int64) {
	for k := range e.Occurrences {
		if e.Job.DueUnixMS(k) > nowUnixMS {
			return
		}
		for i, step := range e.Job.Steps {
			waiting := e.WaitingCount(k, i)
			switch {
			case waiting == 0 || !e.DependenciesDone(k, i):
			case step.Target > 0:
				l.WaitingServing += waiting
			case step.Fills:
				l.WaitingBestEffort += waiting
			default:
				l.WaitingRegular += waiting
			}
		}
	}
}
