package parser

import (
	"encoding/json"
	"fmt"
	"strconv"

	"apricotflow/internal/manifest/resolver"
)

// step is a key of an object or an index of an array.
type step struct {
	key     string
	index   int
	isIndex bool
}

// walker visits a decoded document and collects what the schema does not check. Paths are rendered only for problems,
// because a manifest has up to 100,000 values.
type walker struct {
	problems []resolver.Problem
	// path leads to the current value.
	path []step
	// members counts the fields of all objects.
	members int
	tooDeep bool
	// fractions holds the paths of the numbers that need not be integers.
	fractions map[string]bool
}

func (w *walker) value(value any, depth int) {
	switch value := value.(type) {
	case map[string]any:
		w.object(value, depth)
	case []any:
		w.array(value, depth)
	case json.Number:
		w.number(value)
	}
}

func (w *walker) object(fields map[string]any, depth int) {
	if w.deep(depth) {
		return
	}
	w.members += len(fields)
	for key, value := range fields {
		w.path = append(w.path, step{key: key})
		w.value(value, depth+1)
		w.path = w.path[:len(w.path)-1]
	}
}

func (w *walker) array(items []any, depth int) {
	if w.deep(depth) {
		return
	}
	for i, value := range items {
		w.path = append(w.path, step{index: i, isIndex: true})
		w.value(value, depth+1)
		w.path = w.path[:len(w.path)-1]
	}
}

// deep reports a container beyond maxDepth, once.
func (w *walker) deep(depth int) bool {
	if depth < maxDepth {
		return false
	}
	if !w.tooDeep {
		w.add("is nested deeper than %d levels", maxDepth)
	}
	w.tooDeep = true
	return true
}

// number refuses values such as 1.0 and 1e3, which the schema takes for integers and the decoder does not.
func (w *walker) number(n json.Number) {
	if _, err := strconv.ParseInt(n.String(), 10, 64); err != nil && !w.fractions[w.location()] {
		w.add("must be an integer written in digits and within 64 bits, not %s", shorten(n.String()))
	}
}

func (w *walker) add(format string, arguments ...any) {
	w.problems = append(w.problems, resolver.Problem{Path: w.location(), Message: fmt.Sprintf(format, arguments...)})
}

// location renders the path to the current value.
func (w *walker) location() string {
	path := "$"
	for _, s := range w.path {
		if s.isIndex {
			path += element(s.index)
			continue
		}
		path += field(s.key)
	}
	return path
}

// countMembers counts the colons outside strings of valid JSON, which are as many as the fields of all objects. A
// decoded document with fewer fields had duplicate keys.
func countMembers(raw []byte) int {
	members := 0
	inString := false
	for i := 0; i < len(raw); i++ {
		switch raw[i] {
		case '"':
			inString = !inString
		case '\\':
			// A backslash occurs only in strings; the next byte is never the end of the string.
			i++
		case ':':
			if !inString {
				members++
			}
		}
	}
	return members
}
