package scheduler

import "github.com/basilferry/basilferry/core/fleet"

// fullPace is the pace of a run in percent when it starts.
const fullPace = 100

// pace is a placeholder until the sharing controller is written.
func (m *Machine) pace(_ *fleet.Worker, _ fleet.Instant) {}
