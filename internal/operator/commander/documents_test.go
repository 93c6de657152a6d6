package commander_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"apricotflow/internal/wire/encoder"
)

const repositoryRoot = "../../../"

func readFile(t *testing.T, name string) string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(repositoryRoot, name))
	assert.NilError(t, err)
	return string(raw)
}

// goSources returns the text of all Go files below internal: the tests if tests is set, all others if not.
func goSources(t *testing.T, tests bool) string {
	t.Helper()
	var text strings.Builder
	err := filepath.WalkDir(filepath.Join(repositoryRoot, "internal"), func(path string, _ os.DirEntry, err error) error {
		if err != nil || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") != tests {
			return err
		}
		raw, err := os.ReadFile(path)
		text.Write(raw)
		return err
	})
	assert.NilError(t, err)
	return text.String()
}

// uniqueMatches returns the first group of every match, sorted and without duplicates.
func uniqueMatches(pattern, text string) []string {
	var found []string
	for _, m := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
		found = append(found, m[1])
	}
	slices.Sort(found)
	return slices.Compact(found)
}

// section returns the text of a page below a heading of the second level.
func section(t *testing.T, page, heading string) string {
	t.Helper()
	_, rest, found := strings.Cut(page, "\n## "+heading+"\n")
	assert.Assert(t, found, "no section %q", heading)
	text, _, _ := strings.Cut(rest, "\n## ")
	return text
}

// firstCells returns the names in the first column of the tables in a text.
func firstCells(text string) []string {
	var names []string
	for _, cell := range uniqueMatches("(?m)^\\| (`[^|]*`) \\|", text) {
		names = append(names, uniqueMatches("`([^`]+)`", cell)...)
	}
	slices.Sort(names)
	return names
}

// Guards against kinds of event that are missing from the operations page, are documented but do not exist, or are
// never recorded.
func TestEveryEventKindIsDocumented(t *testing.T) {
	declared := readFile(t, "internal/operator/recorder/recorder.go")
	kinds := uniqueMatches(`Kind = "([a-z-]+)"`, declared)
	assert.Assert(t, len(kinds) > 30)
	assert.DeepEqual(t, firstCells(section(t, readFile(t, "docs/OPERATIONS.md"), "Events")), kinds)
	used := goSources(t, false)
	for _, name := range uniqueMatches(`(Kind[A-Za-z]+) +Kind = `, declared) {
		assert.Assert(t, strings.Contains(used, "recorder."+name), "%s is never recorded", name)
	}
}

// Guards against counters and gauges that are missing from the operations page, or are documented under an old name.
func TestEveryCounterIsDocumented(t *testing.T) {
	code := goSources(t, false)
	var names []string
	names = append(names, uniqueMatches(`(?:Counter|Gauge)\("([a-z-]+)"\)`, code)...)
	for _, prefix := range uniqueMatches(`Counter\("([a-z-]+-)" ?\+`, code) {
		names = append(names, prefix+"*")
	}
	slices.Sort(names)
	assert.Assert(t, len(names) > 40)
	assert.DeepEqual(t, firstCells(section(t, readFile(t, "docs/OPERATIONS.md"), "Counters")), names)
}

// Guards against settings that are missing from the operations page, and against documented ones that do not exist,
// which instances refuse.
func TestEverySettingIsDocumented(t *testing.T) {
	page := readFile(t, "docs/OPERATIONS.md")
	for schema, heading := range map[string]string{"settings.json": "Settings", "manifest.json": "Manifest"} {
		raw, err := encoder.Schemas.ReadFile("schemas/" + schema)
		assert.NilError(t, err)
		var wire struct {
			Defs map[string]struct {
				Properties map[string]json.RawMessage `json:"properties"`
			} `json:"$defs"`
		}
		assert.NilError(t, json.Unmarshal(raw, &wire))
		var names []string
		for _, def := range wire.Defs {
			for name := range def.Properties {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		var documented []string
		for _, name := range firstCells(section(t, page, heading)) {
			documented = append(documented, name[strings.LastIndexByte(name, '.')+1:])
		}
		slices.Sort(documented)
		assert.DeepEqual(t, documented, names)
	}
}

// Guards against pages that name tests or link to files that no longer exist, and against commands that the operations
// page does not mention.
func TestDocumentReferencesExistAndCommandsAreDocumented(t *testing.T) {
	pages, err := filepath.Glob(repositoryRoot + "docs/*.md")
	assert.NilError(t, err)
	tests := goSources(t, true)
	for _, page := range append(pages, repositoryRoot+"README.md") {
		raw, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, name := range uniqueMatches("`(Test[A-Za-z]+)`", string(raw)) {
			assert.Assert(t, strings.Contains(tests, "func "+name+"("), "%s names %s", page, name)
		}
		for _, name := range uniqueMatches(`\]\(([A-Za-z/.-]+\.(?:md|json))\)`, string(raw)) {
			_, err := os.Stat(filepath.Join(filepath.Dir(page), name))
			assert.NilError(t, err)
		}
	}
	for _, name := range []string{"serve", "check", "query", "status", "timeline", "version"} {
		assert.Assert(t, strings.Contains(readFile(t, "docs/OPERATIONS.md"), "apricotflow "+name), name)
	}
}
