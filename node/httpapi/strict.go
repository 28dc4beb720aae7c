package httpapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"unicode/utf8"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/settings/nearest"
)

// decodeStrict decodes one JSON object into the struct that value points to. It
// rejects input that encoding/json would silently ignore or alter: unknown and
// duplicate fields, names in another case, invalid UTF-8 and unpaired surrogates.
// It also rejects trailing data.
func decodeStrict(body []byte, value any) *domain.Error {
	if !utf8.Valid(body) || hasLoneSurrogate(body) {
		return badRequestError("the body is not valid UTF-8", "send binary payload as payload_base64")
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.UseNumber()
	if err := checkFields(dec, reflect.TypeOf(value).Elem(), ""); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return badRequestError("the body has more than one JSON value", "send one JSON object")
	}
	if err := json.Unmarshal(body, value); err != nil {
		return malformedJSONError(err)
	}
	return nil
}

func malformedJSONError(err error) *domain.Error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) && typeErr.Field == "" {
		return notAnObjectError()
	}
	if errors.As(err, &typeErr) {
		return badRequestError(fmt.Sprintf("field %s cannot hold %s", typeErr.Field, typeErr.Value), "write a value of type "+typeErr.Type.String())
	}
	var domainErr *domain.Error
	if errors.As(err, &domainErr) {
		return domainErr
	}
	if errors.Is(err, io.EOF) {
		return badRequestError("the body is empty or cut off", "send one JSON object")
	}
	return badRequestError("the body is not valid JSON: "+err.Error(), "send one JSON object")
}

func notAnObjectError() *domain.Error {
	return badRequestError("the body is not a JSON object", "send one JSON object")
}

// checkFields reads one value from dec and checks that the names in its objects
// are JSON fields of typ. The path is the prefix for field names in errors; it is
// empty for the top-level value.
func checkFields(dec *json.Decoder, typ reflect.Type, path string) *domain.Error {
	token, err := dec.Token()
	if err != nil {
		return malformedJSONError(err)
	}
	for typ != nil && typ.Kind() == reflect.Pointer {
		typ = typ.Elem()
	}
	switch token {
	case json.Delim('{'):
		return checkObject(dec, typ, path)
	case json.Delim('['):
		return checkArray(dec, typ, path)
	}
	if path == "" {
		return notAnObjectError()
	}
	return nil
}

func checkObject(dec *json.Decoder, typ reflect.Type, path string) *domain.Error {
	fields := fieldTypes(typ)
	seen := map[string]bool{}
	for dec.More() {
		token, err := dec.Token()
		if err != nil {
			return malformedJSONError(err)
		}
		name, _ := token.(string)
		child, known := fields[name]
		if fields != nil && !known {
			return unknownFieldError(path+name, name, fields)
		}
		if seen[name] {
			return badRequestError(fmt.Sprintf("field %q appears twice", path+name), "send it once")
		}
		seen[name] = true
		if err := checkFields(dec, child, path+name+"."); err != nil {
			return err
		}
	}
	return readClosingDelim(dec)
}

func checkArray(dec *json.Decoder, typ reflect.Type, path string) *domain.Error {
	var element reflect.Type
	if typ != nil && typ.Kind() == reflect.Slice {
		element = typ.Elem()
	}
	for dec.More() {
		if err := checkFields(dec, element, path+"[]."); err != nil {
			return err
		}
	}
	return readClosingDelim(dec)
}

func readClosingDelim(dec *json.Decoder) *domain.Error {
	if _, err := dec.Token(); err != nil {
		return malformedJSONError(err)
	}
	return nil
}

// fieldTypesCache caches the results of fieldTypes by reflect.Type. There are few
// types, and each request needs two of them.
var fieldTypesCache sync.Map

// fieldTypes returns the types of a struct's fields by their JSON names, or nil if
// typ is not a struct.
func fieldTypes(typ reflect.Type) map[string]reflect.Type {
	if typ == nil || typ.Kind() != reflect.Struct {
		return nil
	}
	if cached, ok := fieldTypesCache.Load(typ); ok {
		return cached.(map[string]reflect.Type)
	}
	fields := make(map[string]reflect.Type, typ.NumField())
	for i := range typ.NumField() {
		name, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
		fields[name] = typ.Field(i).Type
	}
	fieldTypesCache.Store(typ, fields)
	return fields
}

func unknownFieldError(path, name string, fields map[string]reflect.Type) *domain.Error {
	valid := make([]string, 0, len(fields))
	for field := range fields {
		valid = append(valid, field)
	}
	return badRequestError(fmt.Sprintf("field %q is unknown", path), fmt.Sprintf("the nearest valid name is %q", nearest.Name(name, valid)))
}

// hasLoneSurrogate reports whether the text has a \u escape for an unpaired
// surrogate, which encoding/json replaces with U+FFFD.
func hasLoneSurrogate(body []byte) bool {
	for i := 0; i < len(body); i++ {
		if body[i] != '\\' {
			continue
		}
		unit, ok := escapedCodeUnit(body[i:])
		if !ok || unit < 0xd800 || unit > 0xdfff {
			i++
			continue
		}
		low, ok := escapedCodeUnit(body[min(i+escapeLength, len(body)):])
		if unit >= 0xdc00 || !ok || low < 0xdc00 || low > 0xdfff {
			return true
		}
		i += 2*escapeLength - 1
	}
	return false
}

// escapeLength is the length in bytes of an escape such as \u00e9.
const escapeLength = 6

func escapedCodeUnit(text []byte) (uint64, bool) {
	if len(text) < escapeLength || text[0] != '\\' || text[1] != 'u' {
		return 0, false
	}
	unit, err := strconv.ParseUint(string(text[2:escapeLength]), 16, 16)
	return unit, err == nil
}
