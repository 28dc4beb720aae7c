package output

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against text from operators and tasks that breaks the rows or columns
// of a table or controls the terminal.
func TestTableCellsStayOnOneLine(t *testing.T) {
	var sb strings.Builder
	table := Table{Header: []string{"A", "LONGER"}}
	table.Add("switch\trepair", "x\ny")
	table.Add("", "\x1b[31mé\u009b")
	assert.NilError(t, table.Write(&sb))
	want := "A              LONGER\nswitch repair  x y\n-               [31mé \n"
	assert.Equal(t, sb.String(), want)
}
