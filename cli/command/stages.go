package command

import (
	"fmt"
	"io"
	"time"
)

// stage is the longest time that one part of a job's way took.
type stage struct {
	name string
	took time.Duration
	// of is the attempt concerned; empty if the stage concerns the whole job.
	of   string
	seen bool
}

// Indexes of the stages, in the order in which a job goes through them.
const (
	acceptToPlace = iota
	placeToStart
	startToEnd
	endToPlace
	endToClose
	stageCount
)

// stageTimes computes the stages from the decisions in the lines, which must be sorted
// by time. Times of different nodes are compared as they are.
func stageTimes(lines []traceLine) [stageCount]stage {
	stages := [stageCount]stage{
		{name: "accept_to_place"}, {name: "place_to_start"}, {name: "start_to_end"}, {name: "end_to_place"}, {name: "end_to_close"},
	}
	record := func(index int, from, to time.Time, of string) {
		s := &stages[index]
		if took := max(0, to.Sub(from)); !s.seen || took > s.took {
			s.took, s.of, s.seen = took, of, true
		}
	}
	var accepted, lastEnd time.Time
	placed, started := map[string]time.Time{}, map[string]time.Time{}
	for _, l := range lines {
		attempt := fmt.Sprintf("%s run %d", l.task, l.attempt)
		switch l.message {
		case "accept":
			if accepted.IsZero() {
				accepted = l.at
			}
		case "place":
			switch {
			case len(placed) == 0 && lastEnd.IsZero() && !accepted.IsZero():
				record(acceptToPlace, accepted, l.at, "")
			case len(placed) == 0 && !lastEnd.IsZero():
				record(endToPlace, lastEnd, l.at, attempt)
			}
			placed[attempt] = l.at
		case "started":
			if at, ok := placed[attempt]; ok {
				record(placeToStart, at, l.at, attempt)
			}
			started[attempt] = l.at
		case "end", "release":
			if at, ok := started[attempt]; ok {
				record(startToEnd, at, l.at, attempt)
			}
			delete(placed, attempt)
			delete(started, attempt)
			lastEnd = l.at
		case "close":
			if !lastEnd.IsZero() {
				record(endToClose, lastEnd, l.at, "")
			}
		}
	}
	return stages
}

// writeStages writes one line with the longest time of each stage, and which stage took
// longest. It writes nothing if the lines contain no stage.
func writeStages(out io.Writer, lines []traceLine) error {
	text, longest := "", -1
	stages := stageTimes(lines)
	for i, s := range stages {
		if !s.seen {
			continue
		}
		text += fmt.Sprintf(" %s=%dms", s.name, s.took.Milliseconds())
		if s.of != "" {
			text += " (" + s.of + ")"
		}
		if longest < 0 || s.took > stages[longest].took {
			longest = i
		}
	}
	if longest < 0 {
		return nil
	}
	_, err := fmt.Fprintf(out, "stages:%s; longest: %s\n", text, stages[longest].name)
	return err
}
