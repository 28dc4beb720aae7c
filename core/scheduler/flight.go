package scheduler

const (
	// maxCommandsInFlight is the number of start commands, or of stop commands, that wait
	// for an append or an answer, from which on large steps get few more at a time: a
	// command that waits for the processor for a second is no longer sent.
	maxCommandsInFlight = 1000
	// minStepStarts is the number of tasks of a step that a planning round may place all
	// the same, so that no step waits for another one's answers.
	minStepStarts = 32
)

// inFlight counts the commands that have been issued and have no result.
type inFlight struct{ starts, stops int }

// add adds n to the count of the commands of a kind.
func (f *inFlight) add(kind CommandKind, n int) {
	switch kind {
	case CommandStart:
		f.starts += n
	case CommandStop:
		f.stops += n
	}
}

// maxStepStarts returns how many tasks of a step may be placed now.
func (s *Scheduler) maxStepStarts() int {
	unresolved := 0
	if s.unresolvedBatch != nil {
		unresolved = len(s.unresolvedBatch.starts)
	}
	return max(minStepStarts, maxCommandsInFlight-len(s.unsentStarts)-unresolved-s.inFlight.starts)
}
