package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/platform"
)

const (
	takeoverSoakDuration = 60 * time.Second
	takeoverSoakRecovery = 60 * time.Second
	// maxOrderAge is how long after its sending the next process of a worker carries out a
	// command at the latest.
	maxOrderAge = 1500 * time.Millisecond
)

// killMoment is the part of an owner's round after which its process is killed.
type killMoment uint8

const (
	notKilled killMoment = iota
	beforeStore
	afterStore
	whileSending
	killMoments
)

// takeoverSoak adds to the restart soak: commands that the next incarnation of a worker
// carries out, workers that grant longer leases than the owner asks for, clocks that start
// anywhere, and owners that are killed.
type takeoverSoak struct {
	*restartSoak
	killed killMoment
	// tokens is the highest token that any process of a worker had seen when it ended.
	tokens map[*fakeWorker]platform.Token
	// identifies is true if orders travel over connections to the incarnation that they
	// are meant for, as those of the platform's client do.
	identifies bool
}

func newTakeoverSoak(t *testing.T, seed uint64) *takeoverSoak {
	settings := testSettings
	settings.LeaseLimit = 10 * time.Second
	s := &takeoverSoak{restartSoak: newRestartSoakWith(t, seed, settings), tokens: map[*fakeWorker]platform.Token{}}
	s.handsOver, s.mixesLengths = true, true
	return s
}

// step advances the time. trouble is false during the recovery at the end.
func (s *takeoverSoak) step(trouble bool) {
	s.advanceWorkers()
	if trouble {
		s.disturb()
	}
	s.runEvents()
	s.answerParked()
	if s.now >= s.noOwnerUntil {
		s.runOwner()
	}
}

// runOwner runs a round of the owner, or the part of it before its process is killed.
func (s *takeoverSoak) runOwner() {
	killed := s.killed
	s.killed = notKilled
	s.scheduler.Advance(s.now, s.now.Milliseconds())
	switch killed {
	case beforeStore:
	case afterStore:
		s.takeBatch()
		if s.batch != nil && !s.storeDown {
			s.keep(s.batch)
		}
	default:
		s.storeBatch()
		if !s.storeDown {
			s.scheduler.RecordRenewal(s.now)
			s.lastSeenAt = s.now
		}
		for _, command := range s.takeCommands() {
			if killed == notKilled || s.chance(0.5) {
				s.send(command, s.scheduler)
			}
		}
	}
	s.traceDecisions()
	if killed != notKilled {
		s.replaceKilledOwner()
	}
}

func (s *takeoverSoak) traceDecisions() {
	decisions, _ := s.scheduler.TakeDecisions()
	for _, d := range decisions {
		s.trace("owner %d: %s %s/%d on %s (token %d, incarnation %d): %s, %v", s.scheduler.Token(), d.Action, d.Task, d.Attempt, d.Worker, d.Token, d.Incarnation, d.Reason, d.Age)
	}
}

// replaceKilledOwner lets another process take over after some time. It knows that the
// killed one has ended if it runs on the same node.
func (s *takeoverSoak) replaceKilledOwner() {
	owner, wait := s.scheduler, s.between(300*time.Millisecond, 3*time.Second)
	s.noOwnerUntil = s.now + wait
	s.trace("owner %d is killed", owner.Token())
	s.after(wait, func() {
		if s.scheduler != owner {
			return
		}
		s.previousOwnerEnded = s.chance(0.5)
		s.changeOwner()
		s.previousOwnerEnded = false
	})
}

// disturb causes random faults.
func (s *takeoverSoak) disturb() {
	switch {
	case s.chance(0.003):
		s.disturbGroup()
	case s.chance(0.002):
		s.restart(s.workers[s.random.IntN(len(s.workers))])
	case s.chance(0.003):
		s.cutFor(s.workers[s.random.IntN(len(s.workers))], s.between(time.Second, 12*time.Second))
	case s.chance(0.002):
		s.kill()
	case s.chance(0.002):
		s.planHandOver()
	case s.chance(0.001):
		s.changeOwner()
	case s.chance(0.003) && !s.storeDown:
		s.storeDown = true
		s.after(s.between(harnessStep, time.Second), func() { s.storeDown = false })
	case s.chance(0.012):
		s.submitSmall()
	}
}

// disturbGroup restarts a group of workers, kills the owner soon after it uses them again,
// and cuts them off. It leaves out some steps at times. Jobs arrive meanwhile.
func (s *takeoverSoak) disturbGroup() {
	group, downtime := s.random.IntN(3), s.between(minDowntime, 1200*time.Millisecond)
	killAfter := downtime + s.between(0, 2200*time.Millisecond)
	cutAfter := killAfter + s.between(-500*time.Millisecond, 800*time.Millisecond)
	for i, f := range s.workers {
		if group < 2 && i%2 != group {
			continue
		}
		s.after(s.between(0, 100*time.Millisecond), func() { s.restartFor(f, downtime) })
		if s.chance(0.9) {
			s.after(cutAfter, func() { s.cutFor(f, s.between(6*time.Second, 12*time.Second)) })
		}
	}
	for range 8 {
		s.after(s.between(0, killAfter), s.submitSmall)
	}
	if s.chance(0.9) {
		s.after(killAfter, s.kill)
	}
}

// submitSmall submits a job whose tasks need little, so that a worker runs many.
func (s *takeoverSoak) submitSmall() { s.submitNeeding(400) }

func (s *takeoverSoak) kill() {
	if s.now >= s.noOwnerUntil {
		s.killed = 1 + killMoment(s.random.IntN(int(killMoments)-1))
	}
}

func (s *takeoverSoak) cutFor(f *fakeWorker, d time.Duration) {
	s.cutUntil[f] = s.now + d
	s.trace("%s is cut off until %v", f.id, s.cutUntil[f])
}

func (s *takeoverSoak) restart(f *fakeWorker) {
	downtime := s.between(minDowntime, 800*time.Millisecond)
	if s.chance(0.2) {
		downtime = s.between(time.Second, 8*time.Second)
	}
	s.restartFor(f, downtime)
}

func (s *takeoverSoak) restartFor(f *fakeWorker, downtime time.Duration) {
	if s.downUntil[f] != 0 {
		return
	}
	former := f.clock
	s.isDark[f] = s.chance(0.7)
	s.tokens[f] = max(s.tokens[f], f.maxToken)
	s.restartAfter(f, downtime, s.initialClock(f))
	s.trace("%s restarts as incarnation %d, back at %v, clock %v after %v", f.id, f.incarnation, s.downUntil[f], f.clock, former)
}

// initialClock returns what the clock of a worker's next incarnation shows first.
func (s *takeoverSoak) initialClock(f *fakeWorker) time.Duration {
	switch s.random.IntN(3) {
	case 0:
		return s.between(0, 3*time.Second)
	case 1:
		return max(0, f.clock+s.between(-20*time.Second, 20*time.Second))
	default:
		return s.between(0, 3*time.Hour)
	}
}

// addressed returns the worker at an address, which may be down.
func (s *takeoverSoak) addressed(address string) *fakeWorker {
	for _, f := range s.workers {
		if f.address == address {
			return f
		}
	}
	s.t.Fatalf("command to unknown address %s", address)
	return nil
}

// order is a command on its way to a worker.
type order struct {
	*Command
	owner  *Scheduler
	sentAt fleet.Instant
	target *fakeWorker
}

// timeout is when the owner gives the order up.
func (o order) timeout() fleet.Instant { return o.sentAt + commandTimeout + o.Heartbeat.Wait }

// send delivers a command after some time. It reaches the process that is at the address
// by then, which may be a later one than the command was meant for.
func (s *takeoverSoak) send(command *Command, owner *Scheduler) {
	o := order{command, owner, s.now, s.addressed(command.To.Address)}
	switch {
	case s.now < s.cutUntil[o.target]:
		s.failAt(o, o.timeout(), errNoAnswer)
	case s.downUntil[o.target] != 0 && !s.isDark[o.target]:
		s.failAt(o, o.sentAt+maxTravel, &platform.CallError{Stage: platform.StageConnect, Err: errNoAnswer})
	case s.downUntil[o.target] == 0 && s.chance(0.05):
		s.failAt(o, o.timeout(), s.lostAnswer())
		s.carryOutLate(o)
	case s.chance(0.04):
		s.after(s.between(0, commandTimeout-maxTravel), func() { s.carryOut(o) })
	default:
		s.after(s.between(0, maxTravel), func() { s.carryOut(o) })
	}
}

// lostAnswer returns the failure of a command that its target has received, over a new
// connection or over one that the target's process has answered on before.
func (s *takeoverSoak) lostAnswer() error {
	if s.chance(0.5) {
		return errNoAnswer
	}
	return &platform.CallError{Stage: platform.StageResponse, Age: s.now, Err: errNoAnswer}
}

// carryOutLate delivers an order that its target has received, or loses it. The order ends
// with the process.
func (s *takeoverSoak) carryOutLate(o order) {
	incarnation, latest := o.target.incarnation, 3*time.Second
	if s.identifies {
		latest = maxOrderDelay
	}
	s.after(s.between(0, latest), func() {
		if o.target.incarnation == incarnation && s.chance(0.7) {
			s.deliver(o.Command, nil)
		}
	})
}

// carryOut delivers an order and its answer, if the worker is up.
func (s *takeoverSoak) carryOut(o order) {
	if s.downUntil[o.target] == 0 {
		if s.isForFormer(o) {
			s.failForFormer(o)
			return
		}
		s.traceLateOrder(o)
		if s.isFencedOff(o) {
			s.failAt(o, o.timeout(), errNoAnswer)
			return
		}
		s.deliver(o.Command, o.owner)
		return
	}
	at := s.downUntil[o.target] + s.between(0, 300*time.Millisecond)
	if at < min(o.timeout(), o.sentAt+maxOrderAge) && s.chance(0.7) {
		s.after(at-s.now, func() { s.carryOut(o) })
		return
	}
	s.failAt(o, o.timeout(), errNoAnswer)
	s.carryOutUnanswered(o)
}

// carryOutUnanswered delivers an order whose answer is lost. A worker that is down carries it
// out soon after its return, unless the order is too old by then.
func (s *takeoverSoak) carryOutUnanswered(o order) {
	if until := s.downUntil[o.target]; until != 0 {
		if at := until + s.between(0, 300*time.Millisecond); at <= o.sentAt+maxOrderAge {
			s.after(at-s.now, func() { s.carryOutUnanswered(o) })
		}
		return
	}
	s.traceLateOrder(o)
	if !s.isFencedOff(o) && !s.isForFormer(o) {
		s.deliver(o.Command, nil)
	}
}

// isForFormer reports whether the order cannot reach its target, because it is meant for a
// former incarnation.
func (s *takeoverSoak) isForFormer(o order) bool {
	return s.identifies && o.To.Incarnation != 0 && o.To.Incarnation != o.target.incarnation
}

// failForFormer lets an order fail at once, on a new connection, or with the time of the
// call, on one to the former incarnation.
func (s *takeoverSoak) failForFormer(o order) {
	if s.chance(0.5) {
		s.failAt(o, o.timeout(), errNoAnswer)
		return
	}
	err := &platform.RefusedError{Reason: platform.RefusedRestarted, Incarnation: o.target.incarnation}
	s.failAt(o, s.now+s.between(0, maxTravel), err)
}

// isFencedOff reports whether a former process of the target has seen a higher token. The
// soak leaves out orders that arrive after that.
func (s *takeoverSoak) isFencedOff(o order) bool { return o.Token < s.tokens[o.target] }

func (s *takeoverSoak) traceLateOrder(o order) {
	if s.now > o.sentAt+maxTravel+harnessStep {
		s.trace("%s/%d carries out %v later: kind %d, token %d, %v, until %v, at clock %v", o.target.id, o.target.incarnation, s.now-o.sentAt, o.Kind, o.Token, o.Key(),
			max(o.Start.Until, o.Heartbeat.Until), o.target.clock)
	}
}

// failAt passes the failure of an order to its owner at the given time.
func (s *takeoverSoak) failAt(o order, at fleet.Instant, err error) {
	if s.identifies && o.To.Incarnation != 0 && err == errNoAnswer {
		err = &platform.CallError{Stage: platform.StageResponse, Incarnation: o.To.Incarnation, Err: errNoAnswer}
	}
	s.after(at-s.now, func() { s.answer(Result{Command: o.Command, Err: err}, o.owner) })
}

// Guards against tasks that run twice, and against jobs that never finish, when commands
// take effect on the next incarnation of a worker and the owner is killed.
func TestTasksRunOnceWhileWorkersRestartAndOwnersAreKilled(t *testing.T) {
	runTakeoverSoak(t, func(*takeoverSoak) {})
}

// Guards against the same, and against tasks that wait for ever, when commands reach only
// the incarnation that they are meant for.
func TestTasksRunOnceOverConnectionsToOneIncarnation(t *testing.T) {
	runTakeoverSoak(t, func(s *takeoverSoak) { s.identifies = true })
}

// runTakeoverSoak plays all seeds.
func runTakeoverSoak(t *testing.T, configure func(*takeoverSoak)) {
	for i := range *soakSeeds {
		seed := *soakFirstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newTakeoverSoak(t, seed)
			configure(s)
			for end := s.now + takeoverSoakDuration; s.now < end; {
				s.step(true)
			}
			for end := s.now + takeoverSoakRecovery; s.now < end; {
				s.step(false)
			}
			s.check()
		})
	}
}
