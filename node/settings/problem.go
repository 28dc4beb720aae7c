package settings

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"github.com/basilferry/basilferry/core/domain"
)

// Problem is one error in a settings file.
type Problem struct {
	// Line and Column count from 1; Column counts bytes.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Field is the JSON pointer of the value, for example "/node/id"; empty
	// for the whole file.
	Field   string `json:"field"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// String returns "line:column: message; remedy".
func (p Problem) String() string {
	return fmt.Sprintf("%d:%d: %s; %s", p.Line, p.Column, p.Message, p.Remedy)
}

// lineAndColumn returns the line and column of a byte offset.
func lineAndColumn(data []byte, offset int) (line, column int) {
	before := data[:min(max(offset, 0), len(data))]
	line = 1 + bytes.Count(before, []byte("\n"))
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}

func sortProblems(problems []Problem) {
	slices.SortStableFunc(problems, func(a, b Problem) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
}

// fileError returns an error that lists all problems of a file.
func fileError(path string, problems []Problem) *domain.Error {
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = path + ":" + p.String()
	}
	return &domain.Error{
		Kind:    domain.KindBadRequest,
		Message: fmt.Sprintf("settings file %s has %d problem(s):\n%s", path, len(problems), strings.Join(lines, "\n")),
		Remedy:  "correct the file; docs/settings.md lists all fields",
	}
}
