package settings

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// document is a parsed settings file with the places of its values.
type document struct {
	data []byte
	// standard is data with comments and trailing commas blanked, so that byte
	// offsets agree with data.
	standard []byte
	// values and names map a JSON pointer to the byte offset of the value and
	// of its member name.
	values map[string]int
	names  map[string]int
	// repeated are problems of names that an object has twice.
	repeated []Problem
}

// parse returns the document, or the place and text of a syntax error.
func parse(data []byte) (*document, *Problem) {
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, syntaxProblem(err)
	}
	doc := &document{data: data, values: map[string]int{}, names: map[string]int{}}
	doc.index("", root)
	root = root.Clone()
	root.Standardize()
	doc.standard = root.Pack()
	return doc, nil
}

// syntaxProblem reads the place from hujson's error, whose text is
// "hujson: line L, column C: text".
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

func (d *document) index(pointer string, v hujson.Value) {
	d.values[pointer] = v.StartOffset
	switch value := v.Value.(type) {
	case *hujson.Object:
		d.indexObject(pointer, value)
	case *hujson.Array:
		for i, element := range value.Elements {
			d.index(pointer+"/"+strconv.Itoa(i), element)
		}
	}
}

func (d *document) indexObject(pointer string, object *hujson.Object) {
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		child := pointer + "/" + escape(name)
		if _, ok := d.names[child]; ok {
			p := d.problem(child, fmt.Sprintf("field %q appears twice", name), "remove one of them")
			p.Line, p.Column = locate(d.data, member.Name.StartOffset)
			d.repeated = append(d.repeated, p)
			continue
		}
		d.names[child] = member.Name.StartOffset
		d.index(child, member.Value)
	}
}

// problem makes a problem at the value of the pointer, or at the nearest
// enclosing value that the file has.
func (d *document) problem(pointer, message, remedy string) Problem {
	p := Problem{Field: pointer, Message: message, Remedy: remedy}
	p.Line, p.Column = locate(d.data, d.offset(pointer))
	return p
}

func (d *document) offset(pointer string) int {
	for pointer != "" {
		if offset, ok := d.values[pointer]; ok {
			return offset
		}
		pointer = pointer[:strings.LastIndexByte(pointer, '/')]
	}
	return d.values[""]
}

// nameProblem makes a problem at the member name of the pointer.
func (d *document) nameProblem(pointer, message, remedy string) Problem {
	p := d.problem(pointer, message, remedy)
	p.Line, p.Column = locate(d.data, d.names[pointer])
	return p
}

func (d *document) has(pointer string) bool {
	_, ok := d.values[pointer]
	return ok
}

var pointerEscaper = strings.NewReplacer("~", "~0", "/", "~1")

func escape(name string) string { return pointerEscaper.Replace(name) }

func pointerOf(tokens []string) string {
	var sb strings.Builder
	for _, token := range tokens {
		sb.WriteString("/" + escape(token))
	}
	return sb.String()
}
