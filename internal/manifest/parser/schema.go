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

// MaxBytes is the size limit of a value of the configuration service, in bytes.
const MaxBytes = 1 << 20

// schemaBase is the URL under which the embedded schemas refer to each other; nothing is fetched from it.
const schemaBase = "schema:///"

// Schema checks raw JSON against one of the embedded schemas.
type Schema struct {
	compiled *jsonschema.Schema
	// fractions holds the paths of the numbers that need not be integers.
	fractions map[string]bool
}

// Option changes a schema.
type Option func(*Schema)

// WithFractions names the paths of the numbers that need not be integers.
func WithFractions(paths ...string) Option {
	return func(s *Schema) {
		for _, p := range paths {
			s.fractions[p] = true
		}
	}
}

// MustCompile compiles an embedded schema, such as "platform.json#/$defs/MemberList"; it panics on a faulty one.
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
	s := &Schema{compiled: compiler.MustCompile(schemaBase + location), fractions: make(map[string]bool)}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Check returns every violation of strict JSON and of the schema, each with its JSON path.
func (s *Schema) Check(raw []byte) []resolver.Problem {
	if len(raw) > MaxBytes {
		return root("has %d bytes, which is above the limit of %d bytes", len(raw), MaxBytes)
	}
	if !utf8.Valid(raw) {
		return root("is not valid UTF-8")
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return scan(raw)
	}
	w := &walker{fractions: s.fractions}
	w.value(value, 0)
	if w.tooDeep {
		return w.problems
	}
	problems := w.problems
	if w.members != countMembers(raw) {
		problems = append(scan(raw), problems...)
	}
	problems = merge(problems, s.violations(value))
	// The fields of an object are visited in random order.
	slices.SortStableFunc(problems, func(a, b resolver.Problem) int { return cmp.Compare(a.Path, b.Path) })
	return problems
}

func (s *Schema) violations(value any) []resolver.Problem {
	err := s.compiled.Validate(value)
	if err == nil {
		return nil
	}
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return root("cannot be checked: %v", err)
	}
	return explain(invalid, value)
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

func root(format string, arguments ...any) []resolver.Problem {
	return []resolver.Problem{{Path: "$", Message: fmt.Sprintf(format, arguments...)}}
}

// merge appends the problems whose path has none yet, because they only follow from the earlier ones.
func merge(first, second []resolver.Problem) []resolver.Problem {
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

// syntaxProblem describes invalid JSON at the path where the scan stopped.
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
