// Package encoder holds the types of all messages and configuration documents, and encodes and decodes them as JSON.
// All packages that send, receive or store such documents use it. The types are generated from the embedded JSON
// schemas. Decode checks only types and field names; the other rules of the schemas are checked by packages that
// compile them, such as parser.
package encoder

import (
	"bytes"
	"embed"
	"encoding/json"
	"fmt"
	"io"
)

// Schemas holds the JSON schemas that the wire types are generated from, as schemas/<name>.json.
//
//go:embed schemas/*.json
var Schemas embed.FS

// DecodeError reports a message that is not valid JSON of the expected type.
type DecodeError struct {
	// Type is the Go type that was expected.
	Type string
	// Cause is never nil.
	Cause error
}

func (e *DecodeError) Error() string {
	return fmt.Sprintf("encoder: decode %s: %v", e.Type, e.Cause)
}

func (e *DecodeError) Unwrap() error {
	return e.Cause
}

// Decode decodes exactly one JSON value of type T. Unknown fields and trailing data are errors.
func Decode[T any](raw []byte) (T, error) {
	var value T
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&value); err != nil {
		return value, &DecodeError{Type: fmt.Sprintf("%T", value), Cause: err}
	}
	if _, err := decoder.Token(); err != io.EOF {
		return value, &DecodeError{Type: fmt.Sprintf("%T", value), Cause: fmt.Errorf("trailing data")}
	}
	return value, nil
}

// Encode returns a wire type as JSON.
func Encode[T any](value T) []byte {
	raw, err := json.Marshal(value)
	if err != nil {
		// Wire types hold only strings, finite numbers, booleans, and structs, lists and maps of them, which always
		// encode.
		panic(fmt.Sprintf("encoder: encode %T: %v", value, err))
	}
	return raw
}
