package scheduler

import (
	"strconv"
	"time"

	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/sharing"
)

// fullPace is the pace of a run in percent when it starts.
const fullPace = 100

// atWork is the percent of a long-running task that is at work; before, its
// tail latency tells nothing.
const atWork = 100

// pace lets the model of sharing learn from a worker's report and adjusts the
// filling runs.
func (m *Machine) pace(w *fleet.Worker, now fleet.Instant) {
	if !w.Serving() {
		return
	}
	serving := m.servingOn(w, now)
	runs, filling := m.fillingOn(w)
	m.sharing.Learn(serving, filling, now-w.FillEndedAt)
	for i, advice := range m.sharing.Control(serving, filling) {
		r := runs[i]
		if advice.Move && !r.Stopping {
			m.stop(w, r, "it disturbs a serving task", now)
		}
		if advice.Pace != r.Pace || !r.PaceKnown {
			m.orderPace(w, r, advice.Pace, now)
		}
	}
}

func (m *Machine) servingOn(w *fleet.Worker, now fleet.Instant) []sharing.Serving {
	var out []sharing.Serving
	for _, r := range w.Runs {
		if r.Step == nil || r.Step.Target == 0 {
			continue
		}
		s := sharing.Serving{Image: r.Step.Image, Target: r.Step.Target}
		if r.Phase == fleet.RunStarted && r.Percent >= atWork {
			s.Tail = time.Duration(r.Observed) * time.Millisecond
		}
		r.OverSince = since(r.OverSince, s.Tail > s.Target, now)
		r.NearSince = since(r.NearSince, s.Near(r.NearSince > 0), now)
		if r.NearSince > 0 {
			s.NearFor = now - r.NearSince
		}
		out = append(out, s)
	}
	return out
}

// since returns since when a condition has held.
func since(before fleet.Instant, holds bool, now fleet.Instant) fleet.Instant {
	switch {
	case !holds:
		return 0
	case before == 0:
		return now
	}
	return before
}

func (m *Machine) fillingOn(w *fleet.Worker) ([]*fleet.Run, []sharing.Filling) {
	var runs []*fleet.Run
	var out []sharing.Filling
	for _, r := range w.Runs {
		if r.Step == nil || !r.Step.Fills || r.Phase != fleet.RunStarted {
			continue
		}
		f := fillingOf(r)
		if !r.PaceKnown {
			f.Pace = fullPace
		}
		runs = append(runs, r)
		out = append(out, f)
	}
	return runs, out
}

func fillingOf(r *fleet.Run) sharing.Filling {
	return sharing.Filling{
		Image: r.Step.Image, Pace: r.Pace, Movable: r.Step.SavesProgress,
		Cores: float64(r.Step.Need.CPUMilli) / milli, Used: float64(r.Observed) / milli,
	}
}

func (m *Machine) orderPace(w *fleet.Worker, r *fleet.Run, percent int, now fleet.Instant) {
	if r.Pacing || r.Stopping {
		return
	}
	r.Pacing = true
	m.Counters.Paced++
	m.note(Decision{What: "pace", Job: r.ID.Job, Task: r.ID.String(), Run: r.Run, Worker: w.ID, Reason: strconv.Itoa(percent) + "%"})
	m.orders = append(m.orders, &Order{
		Kind: OrderPace, Worker: w.ID, To: w.Endpoint(), Token: m.token, Issued: now,
		Task: r.ID, Run: r.Run, Percent: percent, life: w.Life,
	})
}

// answeredPace takes note of a pace that is in force. One without an answer is
// ordered again with the next report.
func (m *Machine) answeredPace(w *fleet.Worker, a Answer) {
	r := w.Runs[a.Order.Task]
	if r == nil || r.Run != a.Order.Run {
		return
	}
	r.Pacing = false
	if a.Err != nil {
		r.PaceKnown = false
		return
	}
	r.Pace, r.PaceKnown = a.Order.Percent, true
}

// startPace slows a filling run down that has just started beside tasks that
// it is known to press.
func (m *Machine) startPace(w *fleet.Worker, r *fleet.Run, now fleet.Instant) {
	if !r.Step.Fills || !w.Serving() {
		return
	}
	serving, filling := m.company(w, r, nil)
	if pace := m.sharing.StartPace(serving, filling, fillingOf(r)); pace < fullPace {
		m.orderPace(w, r, pace, now)
	}
}

// company lists the serving and filling tasks on a worker, the planned ones
// included and one run left out.
func (m *Machine) company(w *fleet.Worker, except *fleet.Run, planned []*job.Step) ([]sharing.Serving, []sharing.Filling) {
	var serving []sharing.Serving
	var filling []sharing.Filling
	for _, r := range w.Runs {
		switch {
		case r.Step == nil || r == except || r.Stopping:
		case r.Step.Target > 0:
			serving = append(serving, sharing.Serving{Image: r.Step.Image})
		case r.Step.Fills:
			filling = append(filling, fillingOf(r))
		}
	}
	for _, s := range planned {
		switch {
		case s.Target > 0:
			serving = append(serving, sharing.Serving{Image: s.Image})
		case s.Fills:
			filling = append(filling, fillingStep(s))
		}
	}
	return serving, filling
}

func fillingStep(s *job.Step) sharing.Filling {
	return sharing.Filling{Image: s.Image, Pace: fullPace, Cores: float64(s.Need.CPUMilli) / milli}
}

// speed returns the share of full speed that a filling task of the step can be
// expected to reach on the worker.
func (m *Machine) speed(w *fleet.Worker, planned []*job.Step, step *job.Step) float64 {
	if m.overTarget(w) {
		return 0
	}
	serving, filling := m.company(w, nil, planned)
	for i := range filling {
		filling[i].Pace = fullPace
	}
	return m.sharing.Speed(serving, filling, fillingStep(step))
}

// overFor is how long a tail may be over its target before no more filling
// tasks start beside it: a load peak alone is often over for one look.
const overFor = 900 * time.Millisecond

// overTarget reports whether a serving task on the worker has been over its
// target for some time. More filling work would hide whether it gets better.
func (m *Machine) overTarget(w *fleet.Worker) bool {
	for _, r := range w.Runs {
		if r.OverSince > 0 && w.LastHeard-r.OverSince >= overFor {
			return true
		}
	}
	return false
}

// disturbed reports whether a filling run on the worker is known to press the
// serving image.
func (m *Machine) disturbed(w *fleet.Worker, image string) bool {
	serving := []sharing.Serving{{Image: image}}
	for _, r := range w.Runs {
		if r.Step != nil && r.Step.Fills && m.sharing.Speed(serving, nil, fillingStep(r.Step)) < 1 {
			return true
		}
	}
	return false
}

// Effects returns what was learned of images that share workers.
func (m *Machine) Effects() []sharing.Effect { return m.sharing.Effects() }
