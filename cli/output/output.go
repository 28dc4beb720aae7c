package output

import (
	"encoding/json"
	"io"
	"strings"
	"text/tabwriter"
)

// Format is an output format.
type Format string

// The supported formats.
const (
	FormatTable Format = "table"
	FormatJSON  Format = "json"
)

// Valid reports whether f is a supported format.
func (f Format) Valid() bool { return f == FormatTable || f == FormatJSON }

const (
	// columnGap is the number of spaces between two columns.
	columnGap = 2
	emptyCell = "-"
)

// Table is a table of text cells with an optional header.
type Table struct {
	// Header contains the title of each column; it is empty for a table without a
	// header.
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

// ReplaceControlCharacters replaces control characters with spaces. Text from
// operators and tasks can contain tabs, line breaks and terminal control codes,
// which would break the layout or control the terminal.
func ReplaceControlCharacters(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || (r >= 0x7f && r < 0xa0) {
			return ' '
		}
		return r
	}, text)
}

// WriteJSON writes a value as indented JSON.
func WriteJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(value)
}

// JoinNames joins names into the text of a table cell.
func JoinNames[T ~string](names []T) string {
	texts := make([]string, len(names))
	for i, n := range names {
		texts[i] = string(n)
	}
	return strings.Join(texts, ", ")
}
