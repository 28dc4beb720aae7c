package scheduler

import (
	"time"

	"github.com/basilferry/basilferry/core/dispatch"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
)

const (
	// advisedWorkers is how many workers one question names: the service takes
	// a while for each, and a step rarely needs more.
	advisedWorkers = 30
	// adviceMargin is taken off a ticket's validity for the way of the start.
	adviceMargin = 500 * time.Millisecond
	// adviceRetry is the pause after a question without an answer.
	adviceRetry = 300 * time.Millisecond
)

// permission is a ticket for one life of a worker.
type permission struct {
	ticket string
	life   int64
	until  fleet.Instant
}

// advised is what the policy service has said of one step. Which workers may
// run a step does not change; the tickets expire.
type advised struct {
	tickets map[domain.WorkerID]permission
	refused map[domain.WorkerID]bool
}

// advice asks the policy service, one question at a time.
type advice struct {
	steps   map[job.StepID]*advised
	asking  bool
	retryAt fleet.Instant
}

// withTickets sets the tickets of a demand whose queue needs them, and asks for
// more if none is valid. It reports whether the demand can be placed now.
func (m *Machine) withTickets(d *dispatch.Demand, now fleet.Instant) bool {
	known := m.advice.steps[d.ID]
	if known == nil {
		known = &advised{tickets: map[domain.WorkerID]permission{}, refused: map[domain.WorkerID]bool{}}
		m.advice.steps[d.ID] = known
	}
	d.Tickets = map[string]string{}
	for id, p := range known.tickets {
		if w := m.fleet.Worker(id); w != nil && w.Incarnation == p.life && now < p.until && m.usable(w, now) {
			d.Tickets[string(id)] = p.ticket
		}
	}
	if len(d.Tickets) < len(d.Waiting) {
		m.ask(d, known, now)
	}
	return len(d.Tickets) > 0
}

// ask sends a question about workers that have room for a task of the demand.
func (m *Machine) ask(d *dispatch.Demand, known *advised, now fleet.Instant) {
	if m.advice.asking || now < m.advice.retryAt {
		return
	}
	var workers []domain.WorkerID
	for _, w := range m.fleet.All() {
		p, ok := known.tickets[w.ID]
		valid := ok && p.life == w.Incarnation && now < p.until
		if valid || known.refused[w.ID] || w.Service != d.Service || !m.usable(w, now) || !w.HasLabel(d.Step.RequiredLabel) {
			continue
		}
		if d.Step.ReservedCapacity().Fits(w.FreeCapacity()) {
			workers = append(workers, w.ID)
		}
		if len(workers) == advisedWorkers {
			break
		}
	}
	if len(workers) == 0 {
		return
	}
	m.advice.asking = true
	m.orders = append(m.orders, &Order{Kind: OrderAdvise, Issued: now, Step: d.ID, Workers: workers})
}

func (m *Machine) answeredAdvice(a Answer, now fleet.Instant) {
	m.advice.asking = false
	m.planWanted = true
	known := m.advice.steps[a.Order.Step]
	if a.Err != nil || known == nil {
		m.advice.retryAt = now + adviceRetry
		return
	}
	for _, id := range a.Order.Workers {
		known.refused[id] = true
	}
	for _, t := range a.Advice.Tickets {
		delete(known.refused, t.Worker)
		w := m.fleet.Worker(t.Worker)
		if w == nil {
			continue
		}
		known.tickets[t.Worker] = permission{ticket: t.Ticket, life: w.Incarnation, until: a.Order.Issued + a.Advice.Valid - adviceMargin}
	}
	m.note(Decision{What: "advice", Job: a.Order.Step.Job, Reason: "workers allowed by the policy service", Run: len(a.Advice.Tickets), Age: now - a.Order.Issued})
}

// forgetAdvice drops what was said of the steps of a job that is over.
func (m *Machine) forgetAdvice(id job.ID) {
	for step := range m.advice.steps {
		if step.Job == id {
			delete(m.advice.steps, step)
		}
	}
}

// dropTicket forgets a permission that a worker did not accept.
func (m *Machine) dropTicket(step job.StepID, id domain.WorkerID) {
	if known := m.advice.steps[step]; known != nil {
		delete(known.tickets, id)
	}
}
