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

// validator checks request bodies against one type of caller.json.
type validator[T any] struct {
	schema *jsonschema.Schema
}

// newValidator compiles the definition of the embedded schema.
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

// decode returns the request, or the answer that refuses it.
func (v validator[T]) decode(raw []byte) (T, *answer) {
	var none T
	if !utf8.Valid(raw) {
		return none, refuse(faultInvalidJSON, "$", "body is not valid UTF-8")
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return none, refuse(faultInvalidJSON, "$", err.Error())
	}
	var invalid *jsonschema.ValidationError
	if errors.As(v.schema.Validate(value), &invalid) {
		path, text := explain(invalid)
		return none, refuse(faultInvalidRequest, path, text)
	}
	request, err := encoder.Decode[T](raw)
	if err != nil {
		return none, refuse(faultInvalidJSON, "$", err.Error())
	}
	return request, nil
}

func refuse(f fault, path, text string) *answer {
	a := f.answer(path, text)
	return &a
}

// explain returns the JSON path and the text of the first fault.
func explain(invalid *jsonschema.ValidationError) (path, text string) {
	for len(invalid.Causes) > 0 {
		invalid = invalid.Causes[0]
	}
	path = "$"
	for _, step := range invalid.InstanceLocation {
		path += "." + step
	}
	switch k := invalid.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		return path + "." + k.Properties[0], fmt.Sprintf("unknown field %q", k.Properties[0])
	case *kind.Required:
		return path + "." + k.Missing[0], "missing " + strings.Join(k.Missing, ", ")
	}
	return path, invalid.ErrorKind.LocalizedString(message.NewPrinter(language.English))
}
