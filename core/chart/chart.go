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

// transition is one line of a chart file.
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

// Chart interprets one chart file. It is used from one goroutine.
type Chart struct {
	name    string
	initial State
	machine *fsm.FSM
}

// Load reads the embedded chart with the given name and checks it: every state
// can be reached from the initial state, a final state has no way out, and an
// event leads from a state to one state only.
func Load(name string) (*Chart, error) {
	data, err := chartFiles.ReadFile("charts/" + name + ".json")
	if err != nil {
		return nil, fmt.Errorf("load chart %s: %w", name, err)
	}
	return parseChart(data)
}

// MustLoad is Load for charts that are part of the program; it panics if the
// file is missing or wrong, which a test would show.
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
	if _, same := err.(fsm.NoTransitionError); err != nil && !same {
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
	todo := []State{f.Initial}
	for len(todo) > 0 {
		s := todo[0]
		todo = todo[1:]
		for _, n := range next[s] {
			if !reached[n] {
				reached[n] = true
				todo = append(todo, n)
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
