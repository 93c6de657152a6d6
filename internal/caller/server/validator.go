package server

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"apricotflow/internal/wire/encoder"
)

// validator validates and decodes request bodies of type T, which is one definition of the schema caller.json.
type validator[T any] struct {
	schema *jsonschema.Schema
}

// newValidator compiles the named definition of the embedded schema caller.json, which refers to definitions in
// target.json. It panics if a schema is invalid.
func newValidator[T any](definition string) validator[T] {
	compiler := jsonschema.NewCompiler()
	for _, name := range []string{"caller.json", "target.json"} {
		raw, err := encoder.Schemas.ReadFile("schemas/" + name)
		if err != nil {
			panic("server: read embedded schema: " + err.Error())
		}
		document, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
		if err != nil {
			panic("server: parse embedded schema: " + err.Error())
		}
		if err := compiler.AddResource(name, document); err != nil {
			panic("server: add embedded schema: " + err.Error())
		}
	}
	return validator[T]{schema: compiler.MustCompile("caller.json#/$defs/" + definition)}
}

// decode returns the request, or the error response to an invalid one.
func (v validator[T]) decode(raw []byte) (T, *response) {
	var zero T
	if !utf8.Valid(raw) {
		return zero, errorResponse(kindInvalidJSON, "$", "body is not valid UTF-8")
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return zero, errorResponse(kindInvalidJSON, "$", err.Error())
	}
	var invalid *jsonschema.ValidationError
	if errors.As(v.schema.Validate(value), &invalid) {
		path, description := describeViolation(invalid)
		return zero, errorResponse(kindInvalidRequest, path, description)
	}
	request, err := encoder.Decode[T](raw)
	if err != nil {
		return zero, errorResponse(kindInvalidJSON, "$", err.Error())
	}
	return request, nil
}

// errorResponse returns a pointer to the error response of kind k.
func errorResponse(k errorKind, path, description string) *response {
	resp := k.response(path, description)
	return &resp
}

// describeViolation returns the JSON path and the description of the first schema violation.
func describeViolation(invalid *jsonschema.ValidationError) (path, description string) {
	for len(invalid.Causes) > 0 {
		invalid = invalid.Causes[0]
	}
	path = "$"
	for _, segment := range invalid.InstanceLocation {
		path += "." + segment
	}
	switch k := invalid.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		return path + "." + k.Properties[0], fmt.Sprintf("unknown field %q", k.Properties[0])
	case *kind.Required:
		return path + "." + k.Missing[0], "missing " + strings.Join(k.Missing, ", ")
	}
	return path, invalid.ErrorKind.LocalizedString(message.NewPrinter(language.English))
}
