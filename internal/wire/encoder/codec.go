// Package encoder holds the wire types, generated from the schemas beside it, and their JSON codec.
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

// DecodeError reports a message that is not valid JSON for its type.
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

// Decode reads exactly one JSON value of type T and refuses unknown fields and trailing data.
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

// Encode writes a wire type as JSON.
func Encode[T any](value T) []byte {
	raw, err := json.Marshal(value)
	if err != nil {
		// Wire types hold only strings, numbers, booleans, lists and maps of them.
		panic(fmt.Sprintf("encoder: encode %T: %v", value, err))
	}
	return raw
}
