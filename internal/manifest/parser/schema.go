package parser

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"path"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/santhosh-tekuri/jsonschema/v6"

	"apricotflow/internal/manifest/resolver"
	"apricotflow/internal/wire/encoder"
)

// MaxBytes is the maximum size of a value of the configuration service.
const MaxBytes = 1 << 20

// schemaBase is the base URL with which the embedded schemas refer to each other. Nothing is fetched from it.
const schemaBase = "schema:///"

// Schema validates raw JSON against one of the embedded schemas.
type Schema struct {
	compiled *jsonschema.Schema
	// fractionPaths holds the paths of the numbers that may have a fraction.
	fractionPaths map[string]bool
}

// Option configures a schema.
type Option func(*Schema)

// WithFractionPaths allows fractions in the numbers at these paths, in which [] stands for any index of an array. All other
// numbers must be integers.
func WithFractionPaths(paths ...string) Option {
	return func(s *Schema) {
		for _, p := range paths {
			s.fractionPaths[p] = true
		}
	}
}

// MustCompile compiles an embedded schema, such as "platform.json#/$defs/MemberList". It panics if the schema is
// invalid.
func MustCompile(location string, opts ...Option) *Schema {
	compiler := jsonschema.NewCompiler()
	files, err := fs.Glob(encoder.Schemas, "schemas/*.json")
	if err != nil {
		panic("parser: list schemas: " + err.Error())
	}
	for _, file := range files {
		if err := addResource(compiler, file); err != nil {
			panic("parser: add schema " + file + ": " + err.Error())
		}
	}
	s := &Schema{compiled: compiler.MustCompile(schemaBase + location), fractionPaths: make(map[string]bool)}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Check returns every violation of strict JSON and of the schema with its JSON path. Strict JSON has no duplicate keys,
// no invalid UTF-8, no integers with a fraction or an exponent, and limits on size and nesting depth.
func (s *Schema) Check(raw []byte) []resolver.Problem {
	if len(raw) > MaxBytes {
		return rootProblem("has %d bytes, which is above the limit of %d bytes", len(raw), MaxBytes)
	}
	if !utf8.Valid(raw) {
		return rootProblem("is not valid UTF-8")
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return scanProblems(raw)
	}
	w := &walker{fractionPaths: s.fractionPaths}
	w.walkValue(value, 0)
	if w.tooDeep {
		return w.problems
	}
	problems := w.problems
	// Of duplicate keys the decoder keeps one, so that the document has fewer fields than the text. Only then is the text
	// scanned for their paths.
	if w.fieldCount != countFields(raw) {
		problems = append(scanProblems(raw), problems...)
	}
	problems = mergeProblems(problems, s.validate(value))
	// Sort the problems, because the fields of an object are visited in random order.
	slices.SortStableFunc(problems, func(a, b resolver.Problem) int { return cmp.Compare(a.Path, b.Path) })
	return problems
}

func (s *Schema) validate(value any) []resolver.Problem {
	err := s.compiled.Validate(value)
	if err == nil {
		return nil
	}
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return rootProblem("cannot be checked: %v", err)
	}
	return problemsFromError(invalid, value)
}

func addResource(compiler *jsonschema.Compiler, file string) error {
	raw, err := fs.ReadFile(encoder.Schemas, file)
	if err != nil {
		return err
	}
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return err
	}
	return compiler.AddResource(schemaBase+path.Base(file), document)
}

func rootProblem(format string, arguments ...any) []resolver.Problem {
	return []resolver.Problem{{Path: "$", Message: fmt.Sprintf(format, arguments...)}}
}

// mergeProblems appends the problems of second to first. A problem at a path that already has one in first is left out
// as a consequence of that one.
func mergeProblems(first, second []resolver.Problem) []resolver.Problem {
	paths := make(map[string]bool, len(first))
	for _, p := range first {
		paths[p.Path] = true
	}
	for _, p := range second {
		if !paths[p.Path] {
			first = append(first, p)
		}
	}
	return first
}

// syntaxProblem describes the syntax error in raw, with its line and column, as a problem at the given path.
func syntaxProblem(raw []byte, at string) resolver.Problem {
	var value any
	err := json.Unmarshal(raw, &value)
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return resolver.Problem{Path: at, Message: fmt.Sprintf("is not valid JSON: %v", err)}
	}
	before := string(raw[:min(int(syntax.Offset), len(raw))])
	line := strings.Count(before, "\n") + 1
	column := max(len(before)-(strings.LastIndex(before, "\n")+1), 1)
	return resolver.Problem{Path: at, Message: fmt.Sprintf("is not valid JSON at line %d, column %d: %v", line, column, syntax)}
}
