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

// maxDepth bounds the recursion of the scan; the schemas need less than ten levels.
const maxDepth = 64

// plainKey matches the keys that are written into a path without quotes.
var plainKey = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_-]*$`)

// errTooDeep ends a scan at maxDepth.
var errTooDeep = errors.New("nested too deep")

// scanner walks the tokens of a refused document, to find the path of a syntax error or of duplicate keys.
type scanner struct {
	decoder  *json.Decoder
	problems []resolver.Problem
	// stopped is the path of the value in which the scan failed.
	stopped string
}

// scan reports the duplicate keys of a document and the first syntax error.
func scan(raw []byte) []resolver.Problem {
	s := &scanner{decoder: json.NewDecoder(bytes.NewReader(raw)), stopped: "$"}
	s.decoder.UseNumber()
	err := s.value("$", 0)
	if errors.Is(err, errTooDeep) {
		return s.problems
	}
	if err != nil || !json.Valid(raw) {
		return append(s.problems, syntaxProblem(raw, s.stopped))
	}
	return s.problems
}

func (s *scanner) value(path string, depth int) error {
	s.stopped = path
	token, err := s.decoder.Token()
	if err != nil {
		return err
	}
	if open, isContainer := token.(json.Delim); isContainer {
		return s.container(open, path, depth)
	}
	return nil
}

func (s *scanner) container(open json.Delim, path string, depth int) error {
	if depth == maxDepth {
		s.add(path, "is nested deeper than %d levels", maxDepth)
		return errTooDeep
	}
	if open == '{' {
		return s.object(path, depth)
	}
	return s.array(path, depth)
}

func (s *scanner) object(path string, depth int) error {
	seen := make(map[string]bool)
	for s.decoder.More() {
		token, err := s.decoder.Token()
		if err != nil {
			return err
		}
		// The decoder accepts only strings as keys.
		key, _ := token.(string)
		if seen[key] {
			s.add(path+field(key), "is a duplicate key")
		}
		seen[key] = true
		if err := s.value(path+field(key), depth+1); err != nil {
			return err
		}
	}
	return s.end(path)
}

func (s *scanner) array(path string, depth int) error {
	for i := 0; s.decoder.More(); i++ {
		if err := s.value(path+element(i), depth+1); err != nil {
			return err
		}
	}
	return s.end(path)
}

// end reads the closing bracket.
func (s *scanner) end(path string) error {
	s.stopped = path
	_, err := s.decoder.Token()
	return err
}

func (s *scanner) add(path, format string, arguments ...any) {
	s.problems = append(s.problems, resolver.Problem{Path: path, Message: fmt.Sprintf(format, arguments...)})
}

// field is the path step to the value of a key.
func field(key string) string {
	if plainKey.MatchString(key) {
		return "." + key
	}
	return "[" + strconv.Quote(shorten(key)) + "]"
}

// element is the path step to an array element.
func element(i int) string {
	return "[" + strconv.Itoa(i) + "]"
}

// maxQuoted bounds how much of a refused value is repeated in a message, in bytes.
const maxQuoted = 80

func shorten(text string) string {
	if len(text) <= maxQuoted {
		return text
	}
	return text[:maxQuoted] + "..."
}
