package output

import (
	"encoding/json"
	"io"
	"strings"
	"text/tabwriter"
)

// Format is a form of output.
type Format string

// Formats.
const (
	FormatTable Format = "table"
	FormatJSON  Format = "json"
)

// Valid reports whether f is a known format.
func (f Format) Valid() bool { return f == FormatTable || f == FormatJSON }

const (
	// columnGap is the number of spaces between two columns.
	columnGap = 2
	emptyCell = "-"
)

// Table is a list of rows under a header.
type Table struct {
	// Header has the title of each column; empty for a table without titles.
	Header []string
	Rows   [][]string
}

// Add appends a row.
func (t *Table) Add(cells ...string) { t.Rows = append(t.Rows, cells) }

// Write writes the table with aligned columns. An empty cell is written as "-".
func (t *Table) Write(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	if len(t.Header) > 0 {
		writeRow(tw, t.Header)
	}
	for _, row := range t.Rows {
		writeRow(tw, row)
	}
	return tw.Flush()
}

func writeRow(w io.Writer, cells []string) {
	shown := make([]string, len(cells))
	for i, cell := range cells {
		shown[i] = ReplaceControlCharacters(cell)
		if cell == "" {
			shown[i] = emptyCell
		}
	}
	_, _ = io.WriteString(w, strings.Join(shown, "\t")+"\n")
}

// ReplaceControlCharacters replaces control characters by spaces, so that the text stays on its
// line: text from operators and tasks can hold tabs, line ends and terminal
// control codes.
func ReplaceControlCharacters(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || (r >= 0x7f && r < 0xa0) {
			return ' '
		}
		return r
	}, text)
}

// WriteJSON writes a value as indented WriteJSON.
func WriteJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(value)
}

// JoinNames joins names for a cell.
func JoinNames[T ~string](names []T) string {
	texts := make([]string, len(names))
	for i, n := range names {
		texts[i] = string(n)
	}
	return strings.Join(texts, ", ")
}
