package chart

import (
	"context"
	"embed"
	"encoding/json"
	"fmt"

	"github.com/looplab/fsm"
)

//go:embed charts/*.json
var chartFiles embed.FS

// State is the name of a state in a chart.
type State string

// Event is the name of an event in a chart.
type Event string

// transition is one transition of a chart file.
type transition struct {
	Event Event   `json:"event"`
	From  []State `json:"from"`
	To    State   `json:"to"`
}

// chartFile is the content of a chart file.
type chartFile struct {
	Name        string       `json:"name"`
	Initial     State        `json:"initial"`
	Final       []State      `json:"final"`
	Transitions []transition `json:"transitions"`
}

// Chart is the state machine of one chart file. It is not safe for concurrent
// use.
type Chart struct {
	name    string
	initial State
	machine *fsm.FSM
}

// Load reads and validates the embedded chart with the given name: every state
// is reachable from the initial state, a final state has no transitions, and a
// state has at most one transition for each event.
func Load(name string) (*Chart, error) {
	data, err := chartFiles.ReadFile("charts/" + name + ".json")
	if err != nil {
		return nil, fmt.Errorf("load chart %s: %w", name, err)
	}
	return parseChart(data)
}

// MustLoad is like Load, but panics if the chart is missing or invalid. A test
// covers the charts of the program.
func MustLoad(name string) *Chart {
	c, err := Load(name)
	if err != nil {
		panic(err)
	}
	return c
}

func parseChart(data []byte) (*Chart, error) {
	var f chartFile
	if err := json.Unmarshal(data, &f); err != nil {
		return nil, fmt.Errorf("parse chart: %w", err)
	}
	if err := validate(f); err != nil {
		return nil, fmt.Errorf("chart %s: %w", f.Name, err)
	}
	events := make(fsm.Events, 0, len(f.Transitions))
	for _, t := range f.Transitions {
		events = append(events, fsm.EventDesc{Name: string(t.Event), Src: stateNames(t.From), Dst: string(t.To)})
	}
	machine := fsm.NewFSM(string(f.Initial), events, fsm.Callbacks{})
	return &Chart{name: f.Name, initial: f.Initial, machine: machine}, nil
}

// Initial returns the chart's initial state.
func (c *Chart) Initial() State { return c.initial }

// Can reports whether the event has a transition from the state.
func (c *Chart) Can(from State, ev Event) bool {
	c.machine.SetState(string(from))
	return c.machine.Can(string(ev))
}

// Next returns the state that the event leads to. It returns an error if the
// chart has no such transition.
func (c *Chart) Next(from State, ev Event) (State, error) {
	c.machine.SetState(string(from))
	err := c.machine.Event(context.Background(), string(ev))
	if _, noTransition := err.(fsm.NoTransitionError); err != nil && !noTransition {
		return from, fmt.Errorf("chart %s: event %s in state %s: %w", c.name, ev, from, err)
	}
	return State(c.machine.Current()), nil
}

func validate(f chartFile) error {
	next := map[State][]State{}
	seen := map[State]map[Event]bool{}
	for _, t := range f.Transitions {
		for _, from := range t.From {
			if seen[from] == nil {
				seen[from] = map[Event]bool{}
			}
			if seen[from][t.Event] {
				return fmt.Errorf("event %s has two transitions from state %s", t.Event, from)
			}
			seen[from][t.Event] = true
			next[from] = append(next[from], t.To)
		}
	}
	for _, s := range f.Final {
		if len(next[s]) > 0 {
			return fmt.Errorf("final state %s has a transition", s)
		}
	}
	return validateReachable(f, next)
}

func validateReachable(f chartFile, next map[State][]State) error {
	reached := map[State]bool{f.Initial: true}
	pending := []State{f.Initial}
	for len(pending) > 0 {
		s := pending[0]
		pending = pending[1:]
		for _, n := range next[s] {
			if !reached[n] {
				reached[n] = true
				pending = append(pending, n)
			}
		}
	}
	for s := range next {
		if !reached[s] {
			return fmt.Errorf("state %s cannot be reached", s)
		}
	}
	for _, s := range f.Final {
		if !reached[s] {
			return fmt.Errorf("final state %s cannot be reached", s)
		}
	}
	return nil
}

func stateNames(states []State) []string {
	out := make([]string, 0, len(states))
	for _, s := range states {
		out = append(out, string(s))
	}
	return out
}
