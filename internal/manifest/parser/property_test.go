package parser_test

import (
	"encoding/json"
	"errors"
	"flag"
	"maps"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"apricotflow/internal/manifest/parser"
)

// init sets a fixed seed, so that runs are repeatable. The flag -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// Guards against a panic on a malformed manifest, which would end every instance that reads it, and against problems
// without a path or message, which operators could not fix.
func TestParseReportsPathsForMutatedManifest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		raw := mutate(t, []byte(validManifest))
		m, err := parser.Parse(raw)
		if err == nil {
			assert.Assert(t, m.Generation() > 0)
			return
		}
		var invalid *parser.InvalidError
		assert.Assert(t, errors.As(err, &invalid))
		assert.Assert(t, len(invalid.Problems) > 0)
		for _, p := range invalid.Problems {
			assert.Assert(t, strings.HasPrefix(p.Path, "$"), "%q", p.Path)
			assert.Assert(t, p.Message != "")
		}
	})
}

// Guards against a panic on a malformed member list, which would end every instance that reads it, and against a
// refusal without a problem.
func TestParseMembersReportsProblemsForMutatedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if _, err := parser.ParseMembers(mutate(t, []byte(validMembers))); err != nil {
			assert.Assert(t, len(parser.ProblemsOf(err)) > 0)
		}
	})
}

// mutate changes either values of the JSON document or bytes of its text.
func mutate(t *rapid.T, raw []byte) []byte {
	if rapid.Bool().Draw(t, "bytes") {
		return mutateBytes(t, raw)
	}
	var document any
	assert.NilError(t, json.Unmarshal(raw, &document))
	for range rapid.IntRange(1, 4).Draw(t, "mutations") {
		document = mutateValue(t, document)
	}
	mutated, err := json.Marshal(document)
	assert.NilError(t, err)
	return mutated
}

func mutateBytes(t *rapid.T, raw []byte) []byte {
	raw = slices.Clone(raw)
	for range rapid.IntRange(1, 4).Draw(t, "mutations") {
		at := rapid.IntRange(0, len(raw)-1).Draw(t, "at")
		if rapid.Bool().Draw(t, "cut") {
			raw = slices.Delete(raw, at, min(at+rapid.IntRange(1, 200).Draw(t, "length"), len(raw)-1))
			continue
		}
		raw[at] = rapid.Byte().Draw(t, "byte")
	}
	return raw
}

var replacementValues = []any{nil, true, -1, 0, 1.5, 1e300, "", "a", "t1", "x", "127.0.0.1:1001", []any{}, []any{"t1", "t1"}, map[string]any{}, map[string]any{"": 1}}

// mutateValue descends to a random value and replaces it, or removes or adds a field or an element on the way.
func mutateValue(t *rapid.T, value any) any {
	if rapid.IntRange(0, 5).Draw(t, "stop") == 0 {
		return rapid.SampledFrom(replacementValues).Draw(t, "leaf")
	}
	switch value := value.(type) {
	case map[string]any:
		return mutateObject(t, value)
	case []any:
		if len(value) == 0 {
			return []any{rapid.SampledFrom(replacementValues).Draw(t, "leaf")}
		}
		value = slices.Clone(value)
		i := rapid.IntRange(0, len(value)-1).Draw(t, "index")
		value[i] = mutateValue(t, value[i])
		return append(value, value[rapid.IntRange(0, len(value)-1).Draw(t, "copied")])
	default:
		return rapid.SampledFrom(replacementValues).Draw(t, "leaf")
	}
}

func mutateObject(t *rapid.T, value map[string]any) any {
	value = maps.Clone(value)
	key := rapid.SampledFrom(append(slices.Sorted(maps.Keys(value)), "new", "a b", "\x00")).Draw(t, "key")
	if rapid.IntRange(0, 5).Draw(t, "remove") == 0 {
		delete(value, key)
		return value
	}
	value[key] = mutateValue(t, value[key])
	return value
}
