// Package parser decodes and validates manifests and member lists, and reports every problem with its JSON path. It
// checks strict JSON and the embedded schemas; the rules across fields are left to package resolver. Instances use it
// on manifests, package collector on member lists, and the command line on files. Package loader uses type Schema for
// settings files.
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

// digestBytes is the number of leading bytes of the SHA-256 hash in a digest.
const digestBytes = 16

var (
	manifestSchema = sync.OnceValue(func() *Schema {
		return MustCompile("manifest.json", WithFractionPaths("$.tenants[].rate", "$.tenants[].burst"))
	})
	membersSchema = sync.OnceValue(func() *Schema { return MustCompile("platform.json#/$defs/MemberList") })
)

// InvalidError reports a manifest or member list with at least one problem.
type InvalidError struct {
	// Subject is "manifest" or "member list".
	Subject string
	// Problems holds every problem; it is never empty.
	Problems []resolver.Problem
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("parser: %s refused with %d problems: %s", e.Subject, len(e.Problems), resolver.Summarize(e.Problems))
}

// Parse decodes and validates a manifest. The error is an *InvalidError with every problem.
func Parse(raw []byte) (*resolver.Manifest, error) {
	problems := manifestSchema().Check(raw)
	wire, decoded := decode[encoder.Manifest](raw)
	if !decoded {
		return nil, newInvalidError("manifest", problems)
	}
	manifest, ruleProblems := resolver.New(wire, Digest(raw))
	problems = mergeProblems(problems, ruleProblems)
	if len(problems) > 0 {
		return nil, newInvalidError("manifest", problems)
	}
	return manifest, nil
}

// ParseMembers decodes and validates a member list. The error is an *InvalidError with every problem.
func ParseMembers(raw []byte) (*resolver.Members, error) {
	problems := membersSchema().Check(raw)
	wire, decoded := decode[encoder.MemberList](raw)
	if !decoded {
		return nil, newInvalidError("member list", problems)
	}
	problems = mergeProblems(problems, resolver.CheckMembers(wire))
	if len(problems) > 0 {
		return nil, newInvalidError("member list", problems)
	}
	return resolver.NewMembers(wire), nil
}

// Digest returns the first 16 bytes of the SHA-256 hash of a raw value, in hexadecimal.
func Digest(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:digestBytes])
}

// decode decodes a value even if it violates the schema, so that the rules can report further problems. It ignores
// unknown fields, which the schema check reports. The second result is false if the value is too large or cannot be
// decoded.
func decode[T any](raw []byte) (T, bool) {
	var value T
	if len(raw) > MaxBytes {
		return value, false
	}
	return value, json.Unmarshal(raw, &value) == nil
}

func newInvalidError(subject string, problems []resolver.Problem) *InvalidError {
	if len(problems) == 0 {
		// The wire types are generated from the schema, so the schema should find a problem in each value that cannot be
		// decoded. If it does not, this one is reported.
		problems = rootProblem("cannot be decoded")
	}
	return &InvalidError{Subject: subject, Problems: problems}
}

// ProblemsOf returns the problems of an *InvalidError, or nil for any other error.
func ProblemsOf(err error) []resolver.Problem {
	var invalid *InvalidError
	if errors.As(err, &invalid) {
		return invalid.Problems
	}
	return nil
}
