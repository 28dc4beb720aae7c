package dispatch

import "github.com/basilferry/basilferry/core/domain"

// accountRoom is what the tasks of one client account may still use in this round. All
// demands of the account share it.
type accountRoom struct {
	// room is what is left; negative where a task is larger than the limit.
	room domain.Resources
	// idle is true if the account has no attempts, in earlier rounds and this one.
	idle bool
}

// accountOf returns the room of the demand's account; nil if the account is not limited.
func (p *Planner) accountOf(d *Demand) *accountRoom {
	if d.Account == "" || p.rules.AccountRoom == nil {
		return nil
	}
	if a, known := p.accounts[d.Account]; known {
		return a
	}
	var a *accountRoom
	if room, limited := p.rules.AccountRoom(d.Account); limited {
		a = &accountRoom{room: room, idle: p.rules.AccountIdle != nil && p.rules.AccountIdle(d.Account)}
	}
	if p.accounts == nil {
		p.accounts = map[string]*accountRoom{}
	}
	p.accounts[d.Account] = a
	return a
}

// holdsTask reports whether the account may start one more task of the demand. An account
// that uses nothing may start one task of any size.
func (a *accountRoom) holdsTask(d *Demand) bool {
	return a == nil || a.idle || a.holds(d.Step.Need)
}

// holdsGang reports whether the account may start all waiting tasks of the demand.
func (a *accountRoom) holdsGang(d *Demand) bool {
	return a == nil || a.holds(multiply(d.Step.Need, len(d.Waiting)))
}

// holdsDemand reports whether the account may start the least that may be placed of the
// demand: a whole gang, or one task.
func (a *accountRoom) holdsDemand(d *Demand) bool {
	if d.Step.Gang {
		return a.holdsGang(d)
	}
	return a.holdsTask(d)
}

// limitTasks returns how many of the given number of tasks the account may start.
func (a *accountRoom) limitTasks(d *Demand, tasks int) int {
	if a == nil {
		return tasks
	}
	held := timesFits(d.Step.Need, a.room)
	if a.idle {
		held = max(1, held)
	}
	return min(tasks, held)
}

// holds reports whether the need is within the room. A resource that is not needed does not
// matter, also if more of it is used than the limit.
func (a *accountRoom) holds(need domain.Resources) bool {
	within := func(need, room int64) bool { return need <= max(0, room) }
	return within(need.CPUMilli, a.room.CPUMilli) && within(need.MemoryMiB, a.room.MemoryMiB) &&
		within(need.Accelerators, a.room.Accelerators) && within(need.Slots, a.room.Slots) && within(need.Connections, a.room.Connections)
}

// take takes the full need of one task of the demand from the room.
func (a *accountRoom) take(d *Demand) {
	if a != nil {
		a.room, a.idle = a.room.Sub(d.Step.Need), false
	}
}

// multiply returns count times the need.
func multiply(need domain.Resources, count int) domain.Resources {
	n := int64(count)
	return domain.Resources{
		CPUMilli: n * need.CPUMilli, MemoryMiB: n * need.MemoryMiB, Accelerators: n * need.Accelerators,
		Slots: n * need.Slots, Connections: n * need.Connections,
	}
}
