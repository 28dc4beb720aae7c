package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"strconv"
	"strings"

	"github.com/basilferry/basilferry/core/domain"
)

// Load reads and validates a settings file and fills in defaults. It returns an
// *Error of kind KindNotFound if the file cannot be read, and one of kind
// KindBadRequest that lists all problems if the file is invalid.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &domain.Error{
			Kind:    domain.KindNotFound,
			Message: "the settings file cannot be read: " + err.Error(),
			Remedy:  "name a readable file",
		}
	}
	s, problems := readSettings(data)
	if len(problems) > 0 {
		return Settings{}, fileError(path, problems)
	}
	return s, nil
}

// Check returns all problems of a settings file, ordered by position. The list
// is empty if the file is valid.
func Check(data []byte) []Problem {
	_, problems := readSettings(data)
	return problems
}

// readSettings returns the settings with defaults filled in. They may be used
// only if there is no problem.
func readSettings(data []byte) (Settings, []Problem) {
	doc, syntax := parseDocument(data)
	if syntax != nil {
		return Settings{}, []Problem{*syntax}
	}
	problems := append(doc.duplicates, checkSchema(doc)...)
	s, err := decodeSettings(doc, problems)
	if err != nil {
		problems = append(problems, decodeProblem(doc, err))
		sortProblems(problems)
		return s, problems
	}
	problems = append(problems, checkRules(doc, s, problems)...)
	sortProblems(problems)
	return s, problems
}

// decodeSettings returns the defaults, overwritten by the values of the file
// that have no problem.
func decodeSettings(doc *document, problems []Problem) (Settings, error) {
	var tree any
	decoder := json.NewDecoder(bytes.NewReader(doc.standardJSON))
	decoder.UseNumber()
	if err := decoder.Decode(&tree); err != nil {
		return Settings{}, err
	}
	for _, p := range problems {
		tree = clearValue(tree, strings.Split(p.Field, "/")[1:])
	}
	validJSON, err := json.Marshal(tree)
	if err != nil {
		return Settings{}, err
	}
	s := Defaults()
	if doc.has("/embedded") {
		embedded := DefaultEmbedded()
		s.Embedded = &embedded
	}
	if err := json.Unmarshal(validJSON, &s); err != nil {
		return s, err
	}
	if s.SLOs == nil {
		s.SLOs = DefaultSLOs()
	}
	return s, nil
}

// clearValue replaces the value at the path by null, so that the default stays
// in effect.
func clearValue(tree any, path []string) any {
	if len(path) == 0 {
		return nil
	}
	switch node := tree.(type) {
	case map[string]any:
		name := pointerUnescaper.Replace(path[0])
		if child, ok := node[name]; ok {
			node[name] = clearValue(child, path[1:])
		}
	case []any:
		if i, err := strconv.Atoi(path[0]); err == nil && i >= 0 && i < len(node) {
			node[i] = clearValue(node[i], path[1:])
		}
	}
	return tree
}

var pointerUnescaper = strings.NewReplacer("~1", "/", "~0", "~")

// decodeProblem converts a decoding error. It occurs for numbers that the
// schema accepts as integers but encoding/json does not, such as 2.0.
func decodeProblem(doc *document, err error) Problem {
	pointer := ""
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		pointer = "/" + strings.ReplaceAll(mismatch.Field, ".", "/")
	}
	return doc.problemAt(pointer, dottedName(pointer)+" cannot be read: "+err.Error(), "write whole numbers without a fraction or exponent")
}
