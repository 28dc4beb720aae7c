package job

import (
	"strconv"
	"strings"

	"github.com/basilferry/basilferry/core/domain"
)

// ID names a job. The client chooses it: 16 hexadecimal digits.
type ID string

// idDigits is the number of digits of an ID.
const idDigits = 16

// Valid reports whether the id has the required form.
func (id ID) Valid() bool {
	if len(id) != idDigits {
		return false
	}
	for _, c := range []byte(id) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// StepID names one step of one occurrence of a job.
type StepID struct {
	Job        ID
	Occurrence int
	Step       int
}

// String returns "job.occurrence.step".
func (s StepID) String() string {
	return string(s.Job) + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// TaskID names one task of a step.
type TaskID struct {
	StepID
	Index int
}

// String returns "job.occurrence.step.index".
func (t TaskID) String() string {
	return t.StepID.String() + "." + strconv.Itoa(t.Index)
}

// taskIDParts is the number of dot-separated parts of a task name.
const taskIDParts = 4

// ParseTaskID parses the form written by TaskID.String. It returns a
// *domain.Error of kind KindBadRequest for any other text.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != taskIDParts || !ID(parts[0]).Valid() {
		return TaskID{}, badTaskID(text)
	}
	var numbers [taskIDParts - 1]int
	for i, part := range parts[1:] {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return TaskID{}, badTaskID(text)
		}
		numbers[i] = n
	}
	return TaskID{StepID: StepID{Job: ID(parts[0]), Occurrence: numbers[0], Step: numbers[1]}, Index: numbers[2]}, nil
}

func badTaskID(text string) *domain.Error {
	return &domain.Error{
		Kind:    domain.KindBadRequest,
		Message: "task name " + strconv.Quote(text) + " is malformed",
		Remedy:  "use a name of the form job.occurrence.step.index",
	}
}
