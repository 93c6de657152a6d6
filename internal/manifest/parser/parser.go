// Package parser turns raw manifests and member lists into valid ones, or reports every problem with its JSON path.
package parser

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"sync"

	"apricotflow/internal/manifest/resolver"
	"apricotflow/internal/wire/encoder"
)

// digestBytes is the part of the SHA-256 hash that identifies a manifest.
const digestBytes = 16

var (
	manifestSchema = sync.OnceValue(func() *Schema { return MustCompile("manifest.json") })
	membersSchema  = sync.OnceValue(func() *Schema { return MustCompile("platform.json#/$defs/MemberList") })
)

// InvalidError reports a value that was refused as a whole.
type InvalidError struct {
	// Subject is what was refused: "manifest" or "member list".
	Subject string
	// Problems is never empty.
	Problems []resolver.Problem
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("parser: %s refused with %d problems: %s", e.Subject, len(e.Problems), resolver.Summarize(e.Problems))
}

// Parse checks a raw manifest; the error is an *InvalidError with every problem.
func Parse(raw []byte) (*resolver.Manifest, error) {
	problems := manifestSchema().Check(raw)
	wire, decoded := decode[encoder.Manifest](raw)
	if !decoded {
		return nil, refuse("manifest", problems)
	}
	manifest, broken := resolver.New(wire, Digest(raw))
	problems = merge(problems, broken)
	if len(problems) > 0 {
		return nil, refuse("manifest", problems)
	}
	return manifest, nil
}

// ParseMembers checks a raw member list; the error is an *InvalidError with every problem.
func ParseMembers(raw []byte) (*resolver.Members, error) {
	problems := membersSchema().Check(raw)
	wire, decoded := decode[encoder.MemberList](raw)
	if !decoded {
		return nil, refuse("member list", problems)
	}
	problems = merge(problems, resolver.CheckMembers(wire))
	if len(problems) > 0 {
		return nil, refuse("member list", problems)
	}
	return resolver.NewMembers(wire), nil
}

// Digest identifies a raw value: the first 16 bytes of its SHA-256 hash in hex.
func Digest(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:digestBytes])
}

// decode reads a value that the schema may have refused, so that the rules can report further problems. Unknown
// fields are left to the schema.
func decode[T any](raw []byte) (T, bool) {
	var value T
	if len(raw) > MaxBytes {
		return value, false
	}
	return value, json.Unmarshal(raw, &value) == nil
}

func refuse(subject string, problems []resolver.Problem) *InvalidError {
	if len(problems) == 0 {
		// A value that the schema accepts always decodes into its wire type, which is generated from the schema.
		problems = root("cannot be decoded")
	}
	return &InvalidError{Subject: subject, Problems: problems}
}

// ProblemsOf returns the problems of an *InvalidError, or none.
func ProblemsOf(err error) []resolver.Problem {
	var invalid *InvalidError
	if errors.As(err, &invalid) {
		return invalid.Problems
	}
	return nil
}
