package settings

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// document is a parsed settings file with the positions of its values.
type document struct {
	data []byte
	// standardJSON is data with comments and trailing commas replaced by
	// spaces, so that byte offsets are the same as in data.
	standardJSON []byte
	// valueOffsets and nameOffsets map a JSON pointer to the byte offsets of the
	// value and of its member name.
	valueOffsets map[string]int
	nameOffsets  map[string]int
	// duplicates are the problems for member names that occur twice in an
	// object.
	duplicates []Problem
}

// parseDocument returns the document, or the problem for a syntax error.
func parseDocument(data []byte) (*document, *Problem) {
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, syntaxProblem(err)
	}
	doc := &document{data: data, valueOffsets: map[string]int{}, nameOffsets: map[string]int{}}
	doc.indexValue("", root)
	root = root.Clone()
	root.Standardize()
	doc.standardJSON = root.Pack()
	return doc, nil
}

// syntaxProblem converts an error of hujson. It takes the position from the
// error's text, "hujson: line L, column C: text".
func syntaxProblem(err error) *Problem {
	p := &Problem{Line: 1, Column: 1, Remedy: "write JSON; comments and trailing commas are allowed"}
	cause := err
	if inner := errors.Unwrap(err); inner != nil {
		cause = inner
	}
	p.Message = "the file is not valid JSON: " + cause.Error()
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &p.Line, &p.Column); scanErr != nil {
		p.Line, p.Column = 1, 1
	}
	return p
}

func (d *document) indexValue(pointer string, v hujson.Value) {
	d.valueOffsets[pointer] = v.StartOffset
	switch value := v.Value.(type) {
	case *hujson.Object:
		d.indexObject(pointer, value)
	case *hujson.Array:
		for i, element := range value.Elements {
			d.indexValue(pointer+"/"+strconv.Itoa(i), element)
		}
	}
}

func (d *document) indexObject(pointer string, object *hujson.Object) {
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		child := pointer + "/" + escapeToken(name)
		if _, ok := d.nameOffsets[child]; ok {
			p := d.problemAt(child, fmt.Sprintf("field %q appears twice", name), "remove one of them")
			p.Line, p.Column = lineAndColumn(d.data, member.Name.StartOffset)
			d.duplicates = append(d.duplicates, p)
			continue
		}
		d.nameOffsets[child] = member.Name.StartOffset
		d.indexValue(child, member.Value)
	}
}

// problemAt returns a problem at the value of the pointer. If the file does not
// have that value, the position is that of the nearest enclosing value.
func (d *document) problemAt(pointer, message, remedy string) Problem {
	p := Problem{Field: pointer, Message: message, Remedy: remedy}
	p.Line, p.Column = lineAndColumn(d.data, d.valueOffset(pointer))
	return p
}

func (d *document) valueOffset(pointer string) int {
	for pointer != "" {
		if valueOffset, ok := d.valueOffsets[pointer]; ok {
			return valueOffset
		}
		pointer = pointer[:strings.LastIndexByte(pointer, '/')]
	}
	return d.valueOffsets[""]
}

// problemAtName returns a problem at the member name of the pointer.
func (d *document) problemAtName(pointer, message, remedy string) Problem {
	p := d.problemAt(pointer, message, remedy)
	p.Line, p.Column = lineAndColumn(d.data, d.nameOffsets[pointer])
	return p
}

func (d *document) has(pointer string) bool {
	_, ok := d.valueOffsets[pointer]
	return ok
}

var pointerEscaper = strings.NewReplacer("~", "~0", "/", "~1")

func escapeToken(name string) string { return pointerEscaper.Replace(name) }

func joinPointer(tokens []string) string {
	var sb strings.Builder
	for _, token := range tokens {
		sb.WriteString("/" + escapeToken(token))
	}
	return sb.String()
}
