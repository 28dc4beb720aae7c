package scheduler

import (
	"time"

	"github.com/basilferry/basilferry/core/dispatch"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
)

const (
	// maxAdvisedWorkers is how many workers one question names: the service takes
	// a while for each, and a step rarely needs more.
	maxAdvisedWorkers = 30
	// ticketMargin is taken off a ticket's validity for the way of the start.
	ticketMargin = 500 * time.Millisecond
	// adviceRetryDelay is the pause after a question without an answer.
	adviceRetryDelay = 300 * time.Millisecond
)

// ticketGrant is a ticket for one life of a worker.
type ticketGrant struct {
	ticket      string
	incarnation int64
	validUntil  fleet.Instant
}

// stepAdvice is what the policy service has said of one step. Which workers may
// run a step does not change; the tickets expire.
type stepAdvice struct {
	tickets map[domain.WorkerID]ticketGrant
	refused map[domain.WorkerID]bool
}

// policyAdvice asks the policy service, one question at a time.
type policyAdvice struct {
	steps             map[job.StepID]*stepAdvice
	requestInProgress bool
	retryAt           fleet.Instant
}

// setTickets sets the tickets of a demand whose queue needs them, and asks for
// more if none is valid. It reports whether the demand can be placed now.
func (m *Scheduler) setTickets(d *dispatch.Demand, now fleet.Instant) bool {
	known := m.policyAdvice.steps[d.ID]
	if known == nil {
		known = &stepAdvice{tickets: map[domain.WorkerID]ticketGrant{}, refused: map[domain.WorkerID]bool{}}
		m.policyAdvice.steps[d.ID] = known
	}
	d.Tickets = map[string]string{}
	for id, p := range known.tickets {
		if w := m.fleet.Worker(id); w != nil && w.Incarnation == p.incarnation && now < p.validUntil && m.isUsable(w, now) {
			d.Tickets[string(id)] = p.ticket
		}
	}
	if len(d.Tickets) < len(d.Waiting) {
		m.requestAdvice(d, known, now)
	}
	return len(d.Tickets) > 0
}

// requestAdvice sends a question about workers that have room for a task of the demand.
func (m *Scheduler) requestAdvice(d *dispatch.Demand, known *stepAdvice, now fleet.Instant) {
	if m.policyAdvice.requestInProgress || now < m.policyAdvice.retryAt {
		return
	}
	var workers []domain.WorkerID
	for _, w := range m.fleet.All() {
		p, ok := known.tickets[w.ID]
		valid := ok && p.incarnation == w.Incarnation && now < p.validUntil
		if valid || known.refused[w.ID] || w.Service != d.Service || !m.isUsable(w, now) || !w.HasLabel(d.Step.RequiredLabel) {
			continue
		}
		if d.Step.ReservedCapacity().Fits(w.FreeCapacity()) {
			workers = append(workers, w.ID)
		}
		if len(workers) == maxAdvisedWorkers {
			break
		}
	}
	if len(workers) == 0 {
		return
	}
	m.policyAdvice.requestInProgress = true
	m.commands = append(m.commands, &Command{Kind: CommandAdvise, IssuedAt: now, Step: d.ID, Workers: workers})
}

func (m *Scheduler) handleAdviceResult(a Result, now fleet.Instant) {
	m.policyAdvice.requestInProgress = false
	m.needsPlan = true
	known := m.policyAdvice.steps[a.Command.Step]
	if a.Err != nil || known == nil {
		m.policyAdvice.retryAt = now + adviceRetryDelay
		return
	}
	for _, id := range a.Command.Workers {
		known.refused[id] = true
	}
	for _, t := range a.Advice.Tickets {
		delete(known.refused, t.Worker)
		w := m.fleet.Worker(t.Worker)
		if w == nil {
			continue
		}
		known.tickets[t.Worker] = ticketGrant{ticket: t.Ticket, incarnation: w.Incarnation, validUntil: a.Command.IssuedAt + a.Advice.Valid - ticketMargin}
	}
	m.recordDecision(Decision{Action: "advice", Job: a.Command.Step.Job, Reason: "workers allowed by the policy service", Run: len(a.Advice.Tickets), Age: now - a.Command.IssuedAt})
}

// dropAdvice drops what was said of the steps of a job that is over.
func (m *Scheduler) dropAdvice(id job.ID) {
	for step := range m.policyAdvice.steps {
		if step.Job == id {
			delete(m.policyAdvice.steps, step)
		}
	}
}

// dropTicket forgets a ticketGrant that a worker did not accept.
func (m *Scheduler) dropTicket(step job.StepID, id domain.WorkerID) {
	if known := m.policyAdvice.steps[step]; known != nil {
		delete(known.tickets, id)
	}
}
