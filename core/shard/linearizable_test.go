package shard

import (
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/basilferry/basilferry/core/domain"
)

// modelState is the state of one request in the model. A request is open until it
// has run or was closed; both are final.
type modelState int

const (
	modelOpen modelState = iota
	modelRan
	modelClosed
)

// outcomeModel defines which answers about one request are consistent.
var outcomeModel = porcupine.Model{
	Partition: partitionByID,
	Init:      func() any { return modelOpen },
	Step: func(state, _, output any) (bool, any) {
		f := state.(modelState)
		switch output.(domain.OutcomeState) {
		case domain.OutcomeSucceeded:
			return f != modelClosed, modelRan
		case domain.OutcomeNotRun:
			return f != modelRan, modelClosed
		}
		return true, f
	},
	Equal: func(a, b any) bool { return a == b },
}

func partitionByID(ops []porcupine.Operation) [][]porcupine.Operation {
	byID := map[domain.RequestID][]porcupine.Operation{}
	for _, op := range ops {
		id := op.Input.(domain.RequestID)
		byID[id] = append(byID[id], op)
	}
	var parts [][]porcupine.Operation
	for _, id := range sortedIDs(byID) {
		parts = append(parts, byID[id])
	}
	return parts
}

// operations returns the answered calls for urgent requests.
func (h *history) operations() []porcupine.Operation {
	var ops []porcupine.Operation
	for call, a := range h.w.answers {
		id := h.w.calls[call]
		if h.tasks[id].Kind != domain.KindUrgent {
			continue
		}
		ops = append(ops, porcupine.Operation{
			ClientId: int(call),
			Input:    id,
			Call:     int64(h.w.sent[call]),
			Output:   a.outcome.State,
			Return:   int64(a.at),
		})
	}
	return ops
}

// Guards against contradictory answers about one request, also from different
// owners: after a call was answered "succeeded", no later call is answered "not
// run", and vice versa.
func TestOutcomesAreLinearizable(t *testing.T) {
	for seed := uint64(1); seed <= *faultSeeds; seed++ {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			h := newHistory(seed, disableNone)
			h.run(40)
			h.clearFaults()
			ops := h.operations()
			if len(ops) == 0 {
				t.Fatal("no call was answered")
			}
			if porcupine.CheckOperationsTimeout(outcomeModel, ops, time.Minute) != porcupine.Ok {
				t.Error("the answers are not linearizable")
			}
		})
	}
}

// Guards against a model that accepts contradictory answers.
func TestOutcomeModelRejectsContradictions(t *testing.T) {
	id := domain.RequestID{Seq: 1}
	ops := []porcupine.Operation{
		{ClientId: 1, Input: id, Call: 0, Output: domain.OutcomeNotRun, Return: 1},
		{ClientId: 2, Input: id, Call: 2, Output: domain.OutcomeSucceeded, Return: 3},
	}
	if porcupine.CheckOperations(outcomeModel, ops) {
		t.Error("the model accepted \"succeeded\" after \"not run\"")
	}
}
