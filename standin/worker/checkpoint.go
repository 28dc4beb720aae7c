package worker

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/cespare/xxhash/v2"
)

// checkpointPrefix is the first part of each checkpoint reference.
const checkpointPrefix = "checkpoint"

// CheckpointReference returns the reference of a checkpoint. The reference itself
// contains the progress, so that every worker can read it:
// "checkpoint/<id>/<finished steps>/<xxhash64 of the preceding text>".
func CheckpointReference(id domain.RequestID, steps int64) string {
	text := fmt.Sprintf("%s/%s/%d", checkpointPrefix, id, steps)
	return fmt.Sprintf("%s/%016x", text, xxhash.Sum64String(text))
}

// CheckpointSteps returns the number of finished steps in a checkpoint of the
// task. It returns an error of kind KindBadRequest for a reference that is
// malformed or belongs to another task.
func CheckpointSteps(id domain.RequestID, reference string) (int64, error) {
	parts := strings.Split(reference, "/")
	if len(parts) != 4 {
		return 0, badCheckpointError(id, reference)
	}
	steps, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil || steps < 0 || CheckpointReference(id, steps) != reference {
		return 0, badCheckpointError(id, reference)
	}
	return steps, nil
}

func badCheckpointError(id domain.RequestID, reference string) error {
	return newError(domain.KindBadRequest, id,
		fmt.Sprintf("checkpoint %q is malformed or belongs to another task", reference),
		"use the reference in the last status of the task")
}
