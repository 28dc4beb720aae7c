package settings

import (
	"bytes"
	_ "embed"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/settings/nearest"
)

//go:embed schema.json
var schemaText []byte

// schemaURL identifies the schema; nothing is loaded from it.
const schemaURL = "basilferry:///settings"

var english = message.NewPrinter(language.English)

var compiledSchema = sync.OnceValue(func() *jsonschema.Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		panic("settings: embedded schema: " + err.Error())
	}
	c := jsonschema.NewCompiler()
	c.AssertFormat()
	for _, f := range formats {
		c.RegisterFormat(f)
	}
	if err := c.AddResource(schemaURL, doc); err != nil {
		panic("settings: embedded schema: " + err.Error())
	}
	return c.MustCompile(schemaURL)
})

// checkSchema returns the problems that the schema finds.
func checkSchema(doc *document) []Problem {
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(doc.standardJSON))
	if err != nil {
		return []Problem{doc.problemAt("", "the file is not valid JSON: "+err.Error(), "write JSON")}
	}
	err = compiledSchema().Validate(value)
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return nil
	}
	return schemaProblems(doc, invalid)
}

// schemaProblems flattens the tree of schema errors.
func schemaProblems(doc *document, e *jsonschema.ValidationError) []Problem {
	if len(e.Causes) == 0 {
		return schemaProblem(doc, e)
	}
	var problems []Problem
	for _, cause := range e.Causes {
		problems = append(problems, schemaProblems(doc, cause)...)
	}
	return problems
}

func schemaProblem(doc *document, e *jsonschema.ValidationError) []Problem {
	pointer := joinPointer(e.InstanceLocation)
	field := dottedName(pointer)
	switch k := e.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		return unknownFields(doc, e.InstanceLocation, k.Properties)
	case *kind.Required:
		return missingFields(doc, pointer, k.Missing)
	case *kind.Format:
		err := domain.AsError(k.Err)
		if k.Want == tokenFormat {
			// Problems are logged, so they must not contain the token.
			return []Problem{doc.problemAt(pointer, field+" "+err.Message, err.Remedy)}
		}
		return []Problem{doc.problemAt(pointer, fmt.Sprintf("%s: %s %s", field, quoteValue(k.Got), err.Message), err.Remedy)}
	case *kind.Enum:
		return []Problem{doc.problemAt(pointer, fmt.Sprintf("%s: %v is unknown", field, quoteValue(k.Got)), "use "+joinChoices(k.Want))}
	case *kind.Type:
		return []Problem{doc.problemAt(pointer, fmt.Sprintf("%s has type %s", field, k.Got), "write a value of type "+strings.Join(k.Want, " or "))}
	}
	text := e.ErrorKind.LocalizedString(english)
	return []Problem{doc.problemAt(pointer, field+" is out of range: "+text, "set a value within the limits in docs/settings.md")}
}

func unknownFields(doc *document, object []string, names []string) []Problem {
	var problems []Problem
	for _, name := range names {
		pointer := joinPointer(object) + "/" + escapeToken(name)
		nearestName := nearest.Name(name, fieldNamesAt(object))
		text := fmt.Sprintf("field %q is unknown", name)
		problems = append(problems, doc.problemAtName(pointer, text, fmt.Sprintf("the nearest valid name is %q", nearestName)))
	}
	return problems
}

func missingFields(doc *document, object string, names []string) []Problem {
	var problems []Problem
	for _, name := range names {
		p := doc.problemAt(object, "field "+dottedName(object+"/"+name)+" is missing", "set it; docs/settings.md describes it")
		p.Field = object + "/" + name
		problems = append(problems, p)
	}
	return problems
}

// fieldNamesAt returns the member names that the schema allows in the object at
// the path.
func fieldNamesAt(path []string) []string {
	s := resolveRefs(compiledSchema())
	for _, token := range path {
		if child, ok := s.Properties[token]; ok {
			s = resolveRefs(child)
			continue
		}
		element, ok := s.Items2020, s.Items2020 != nil
		if !ok {
			return nil
		}
		s = resolveRefs(element)
	}
	return slices.Sorted(maps.Keys(s.Properties))
}

func resolveRefs(s *jsonschema.Schema) *jsonschema.Schema {
	for s.Ref != nil {
		s = s.Ref
	}
	return s
}

// dottedName returns a JSON pointer in dotted form, for use in messages.
func dottedName(pointer string) string {
	if pointer == "" {
		return "the file"
	}
	return strings.ReplaceAll(strings.TrimPrefix(pointer, "/"), "/", ".")
}

func quoteValue(value any) string {
	if text, ok := value.(string); ok {
		return fmt.Sprintf("%q", text)
	}
	return fmt.Sprint(value)
}

func joinChoices(values []any) string {
	texts := make([]string, len(values))
	for i, v := range values {
		texts[i] = fmt.Sprint(v)
	}
	return strings.Join(texts, ", ")
}
