package parser

import (
	"encoding/json"
	"fmt"
	"strconv"

	"apricotflow/internal/manifest/resolver"
)

// step is one step of a JSON path: a key of an object or an index of an array.
type step struct {
	key     string
	index   int
	isIndex bool
}

// walker visits all values of a decoded document and checks nesting depth and integers, which the schema does not. It
// also counts the fields, by which Schema.Check detects duplicate keys. It formats paths only for problems, because a
// manifest has up to 100,000 values.
type walker struct {
	problems []resolver.Problem
	// path leads to the current value.
	path []step
	// fieldCount is the number of fields of all objects visited so far.
	fieldCount int
	tooDeep    bool
	// fractionPaths holds the paths of the numbers that may have a fraction.
	fractionPaths map[string]bool
}

func (w *walker) walkValue(value any, depth int) {
	switch value := value.(type) {
	case map[string]any:
		w.walkObject(value, depth)
	case []any:
		w.walkArray(value, depth)
	case json.Number:
		w.checkNumber(value)
	}
}

func (w *walker) walkObject(fields map[string]any, depth int) {
	if w.exceedsMaxDepth(depth) {
		return
	}
	w.fieldCount += len(fields)
	for key, value := range fields {
		w.path = append(w.path, step{key: key})
		w.walkValue(value, depth+1)
		w.path = w.path[:len(w.path)-1]
	}
}

func (w *walker) walkArray(items []any, depth int) {
	if w.exceedsMaxDepth(depth) {
		return
	}
	for i, value := range items {
		w.path = append(w.path, step{index: i, isIndex: true})
		w.walkValue(value, depth+1)
		w.path = w.path[:len(w.path)-1]
	}
}

// exceedsMaxDepth reports whether a container is nested too deep. Only the first one is added to the problems.
func (w *walker) exceedsMaxDepth(depth int) bool {
	if depth < maxDepth {
		return false
	}
	if !w.tooDeep {
		w.addProblem("is nested deeper than %d levels", maxDepth)
	}
	w.tooDeep = true
	return true
}

// checkNumber reports values such as 1.0 and 1e3, which are integers to the schema but not to the JSON decoder.
func (w *walker) checkNumber(n json.Number) {
	if _, err := strconv.ParseInt(n.String(), 10, 64); err == nil {
		return
	}
	if !w.fractionPaths[w.formatPath(func(int) string { return anyIndex })] {
		w.addProblem("must be an integer without fraction or exponent that fits in 64 bits, not %s", truncate(n.String()))
		return
	}
	if _, err := n.Float64(); err != nil {
		w.addProblem("must be a finite number, not %s", truncate(n.String()))
	}
}

// anyIndex stands for any index of an array in a path of WithFractionPaths.
const anyIndex = "[]"

func (w *walker) addProblem(format string, arguments ...any) {
	w.problems = append(w.problems, resolver.Problem{Path: w.currentPath(), Message: fmt.Sprintf(format, arguments...)})
}

// currentPath formats the path to the current value.
func (w *walker) currentPath() string { return w.formatPath(indexStep) }

// formatPath formats the path to the current value with the given form of the indexes of arrays.
func (w *walker) formatPath(formatIndex func(int) string) string {
	path := "$"
	for _, s := range w.path {
		if s.isIndex {
			path += formatIndex(s.index)
			continue
		}
		path += keyStep(s.key)
	}
	return path
}

// countFields returns the number of fields of all objects in valid JSON, which is the number of colons outside strings.
// If the decoded document has fewer fields, the JSON has duplicate keys.
func countFields(raw []byte) int {
	count := 0
	inString := false
	for i := 0; i < len(raw); i++ {
		switch raw[i] {
		case '"':
			inString = !inString
		case '\\':
			// Skip the escaped byte: a backslash occurs only in strings, and the next byte never ends the string.
			i++
		case ':':
			if !inString {
				count++
			}
		}
	}
	return count
}
