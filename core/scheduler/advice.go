package scheduler

import (
	"time"

	"github.com/basilferry/basilferry/core/dispatch"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
)

const (
	// maxAdvisedWorkers is the maximum number of workers in one request to the
	// policy service. The service needs time for each worker, and a step rarely
	// needs more.
	maxAdvisedWorkers = 30
	// ticketMargin is subtracted from a ticket's validity, to allow for the time
	// that the start request takes to reach the worker.
	ticketMargin = 500 * time.Millisecond
	// adviceRetryDelay is the pause after a failed request to the policy service.
	adviceRetryDelay = 300 * time.Millisecond
)

// ticketGrant is a ticket for one incarnation of a worker.
type ticketGrant struct {
	ticket      string
	incarnation int64
	validUntil  fleet.Instant
}

// stepAdvice holds the answers of the policy service for one step. Which workers
// may run a step does not change, but the tickets expire.
type stepAdvice struct {
	tickets map[domain.WorkerID]ticketGrant
	refused map[domain.WorkerID]bool
}

// policyAdvice holds the state of the requests to the policy service. At most
// one request is in progress at a time.
type policyAdvice struct {
	steps             map[job.StepID]*stepAdvice
	requestInProgress bool
	retryAt           fleet.Instant
}

// setTickets sets the valid tickets of a demand whose queue needs them, and
// requests more if there are fewer than waiting tasks. It reports whether the
// demand can be placed now.
func (s *Scheduler) setTickets(d *dispatch.Demand, now fleet.Instant) bool {
	advice := s.policyAdvice.steps[d.ID]
	if advice == nil {
		advice = &stepAdvice{tickets: map[domain.WorkerID]ticketGrant{}, refused: map[domain.WorkerID]bool{}}
		s.policyAdvice.steps[d.ID] = advice
	}
	d.Tickets = map[string]string{}
	for id, grant := range advice.tickets {
		if w := s.fleet.Worker(id); w != nil && w.IncarnationID == grant.incarnation && now < grant.validUntil && s.isUsable(w, now) {
			d.Tickets[string(id)] = grant.ticket
		}
	}
	if len(d.Tickets) < len(d.Waiting) {
		s.requestAdvice(d, advice, now)
	}
	return len(d.Tickets) > 0
}

// requestAdvice asks the policy service about workers that have free capacity for
// a task of the demand.
func (s *Scheduler) requestAdvice(d *dispatch.Demand, advice *stepAdvice, now fleet.Instant) {
	if s.policyAdvice.requestInProgress || now < s.policyAdvice.retryAt {
		return
	}
	var workers []domain.WorkerID
	var incarnations []int64
	for _, w := range s.fleet.All() {
		grant, ok := advice.tickets[w.ID]
		valid := ok && grant.incarnation == w.IncarnationID && now < grant.validUntil
		if valid || advice.refused[w.ID] || w.Service != d.Service || !s.isUsable(w, now) || !w.HasLabel(d.Step.RequiredLabel) {
			continue
		}
		if d.Step.ReservedCapacity().Fits(w.FreeCapacity()) {
			workers, incarnations = append(workers, w.ID), append(incarnations, w.IncarnationID)
		}
		if len(workers) == maxAdvisedWorkers {
			break
		}
	}
	if len(workers) == 0 {
		return
	}
	s.policyAdvice.requestInProgress = true
	s.commands = append(s.commands, &Command{Kind: CommandAdvise, IssuedAt: now, Step: d.ID, Workers: workers, incarnations: incarnations})
}

func (s *Scheduler) handleAdviceResult(result Result, now fleet.Instant) {
	s.policyAdvice.requestInProgress = false
	s.needsPlan = true
	advice := s.policyAdvice.steps[result.Command.Step]
	if result.Err != nil || advice == nil {
		s.policyAdvice.retryAt = now + adviceRetryDelay
		return
	}
	asked := map[domain.WorkerID]int64{}
	for i, id := range result.Command.Workers {
		advice.refused[id] = true
		asked[id] = result.Command.incarnations[i]
	}
	for _, t := range result.Advice.Tickets {
		delete(advice.refused, t.Worker)
		incarnation, ok := asked[t.Worker]
		if !ok {
			continue
		}
		advice.tickets[t.Worker] = ticketGrant{ticket: t.Ticket, incarnation: incarnation, validUntil: result.Command.IssuedAt + result.Advice.Valid - ticketMargin}
	}
	s.recordDecision(Decision{Action: "advice", Job: result.Command.Step.Job, Reason: "workers allowed by the policy service", Attempt: len(result.Advice.Tickets), Age: now - result.Command.IssuedAt})
}

// dropAdvice drops the advice on the steps of a finished job.
func (s *Scheduler) dropAdvice(id job.ID) {
	for step := range s.policyAdvice.steps {
		if step.Job == id {
			delete(s.policyAdvice.steps, step)
		}
	}
}

// dropTicket drops a ticket that a worker did not accept.
func (s *Scheduler) dropTicket(step job.StepID, id domain.WorkerID) {
	if advice := s.policyAdvice.steps[step]; advice != nil {
		delete(advice.tickets, id)
	}
}
