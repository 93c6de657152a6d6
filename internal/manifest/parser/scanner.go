package parser

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"strconv"

	"apricotflow/internal/manifest/resolver"
)

// maxDepth is the maximum nesting depth, which limits recursion. The schemas need less than ten levels.
const maxDepth = 64

// unquotedKeyPattern matches the keys that need no quotes in a path.
var unquotedKeyPattern = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_-]*$`)

// errTooDeep ends a scan at a container nested deeper than maxDepth.
var errTooDeep = errors.New("nested too deep")

// scanner reads the tokens of an invalid document to find the paths of a syntax error and of duplicate keys. Other
// documents are only visited by walker, which works on the decoded values.
type scanner struct {
	decoder  *json.Decoder
	problems []resolver.Problem
	// currentPath is the path of the value that is being read; after an error, the path of the syntax error.
	currentPath string
}

// scanProblems returns the duplicate keys of a document and its first syntax error.
func scanProblems(raw []byte) []resolver.Problem {
	s := &scanner{decoder: json.NewDecoder(bytes.NewReader(raw)), currentPath: "$"}
	s.decoder.UseNumber()
	err := s.scanValue("$", 0)
	if errors.Is(err, errTooDeep) {
		return s.problems
	}
	if err != nil || !json.Valid(raw) {
		return append(s.problems, syntaxProblem(raw, s.currentPath))
	}
	return s.problems
}

func (s *scanner) scanValue(path string, depth int) error {
	s.currentPath = path
	token, err := s.decoder.Token()
	if err != nil {
		return err
	}
	if open, isContainer := token.(json.Delim); isContainer {
		return s.scanContainer(open, path, depth)
	}
	return nil
}

func (s *scanner) scanContainer(open json.Delim, path string, depth int) error {
	if depth == maxDepth {
		s.addProblem(path, "is nested deeper than %d levels", maxDepth)
		return errTooDeep
	}
	if open == '{' {
		return s.scanObject(path, depth)
	}
	return s.scanArray(path, depth)
}

func (s *scanner) scanObject(path string, depth int) error {
	seen := make(map[string]bool)
	for s.decoder.More() {
		token, err := s.decoder.Token()
		if err != nil {
			return err
		}
		// The decoder has checked that the key is a string.
		key, _ := token.(string)
		if seen[key] {
			s.addProblem(path+keyStep(key), "is a duplicate key")
		}
		seen[key] = true
		if err := s.scanValue(path+keyStep(key), depth+1); err != nil {
			return err
		}
	}
	return s.readClosing(path)
}

func (s *scanner) scanArray(path string, depth int) error {
	for i := 0; s.decoder.More(); i++ {
		if err := s.scanValue(path+indexStep(i), depth+1); err != nil {
			return err
		}
	}
	return s.readClosing(path)
}

// readClosing reads the closing bracket of a container.
func (s *scanner) readClosing(path string) error {
	s.currentPath = path
	_, err := s.decoder.Token()
	return err
}

func (s *scanner) addProblem(path, format string, arguments ...any) {
	s.problems = append(s.problems, resolver.Problem{Path: path, Message: fmt.Sprintf(format, arguments...)})
}

// keyStep returns the part of a JSON path that selects a key of an object.
func keyStep(key string) string {
	if unquotedKeyPattern.MatchString(key) {
		return "." + key
	}
	return "[" + strconv.Quote(truncate(key)) + "]"
}

// indexStep returns the part of a JSON path that selects an element of an array.
func indexStep(i int) string {
	return "[" + strconv.Itoa(i) + "]"
}

// maxQuotedBytes limits how much of an invalid value is quoted in a message.
const maxQuotedBytes = 80

func truncate(text string) string {
	if len(text) <= maxQuotedBytes {
		return text
	}
	return text[:maxQuotedBytes] + "..."
}
