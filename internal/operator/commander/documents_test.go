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

const root = "../../../"

func read(t *testing.T, name string) string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(root, name))
	assert.NilError(t, err)
	return string(raw)
}

// sources returns the Go files below internal, either the tests or the others.
func sources(t *testing.T, tests bool) string {
	t.Helper()
	var text strings.Builder
	err := filepath.WalkDir(filepath.Join(root, "internal"), func(path string, _ os.DirEntry, err error) error {
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

// matches returns the first group of every match, sorted and each once.
func matches(pattern, text string) []string {
	var found []string
	for _, m := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
		found = append(found, m[1])
	}
	slices.Sort(found)
	return slices.Compact(found)
}

// section returns the part of a page below a heading of the second level.
func section(t *testing.T, page, heading string) string {
	t.Helper()
	_, rest, found := strings.Cut(page, "\n## "+heading+"\n")
	assert.Assert(t, found, "no section %q", heading)
	text, _, _ := strings.Cut(rest, "\n## ")
	return text
}

// firstCells returns the names in the first cells of the tables of a section.
func firstCells(text string) []string {
	var names []string
	for _, cell := range matches("(?m)^\\| (`[^|]*`) \\|", text) {
		names = append(names, matches("`([^`]+)`", cell)...)
	}
	slices.Sort(names)
	return names
}

// An operator who meets an event in the time line must find it on the page, and must find no kind that never occurs.
func TestEveryEventKindIsDocumented(t *testing.T) {
	declared := read(t, "internal/operator/recorder/recorder.go")
	kinds := matches(`Kind = "([a-z-]+)"`, declared)
	assert.Assert(t, len(kinds) > 30)
	assert.DeepEqual(t, firstCells(section(t, read(t, "docs/OPERATIONS.md"), "Events")), kinds)
	used := sources(t, false)
	for _, name := range matches(`(Kind[A-Za-z]+) +Kind = `, declared) {
		assert.Assert(t, strings.Contains(used, "recorder."+name), "%s is never recorded", name)
	}
}

// A counter that is renamed in the code must not keep its old name on the page.
func TestEveryCounterIsDocumented(t *testing.T) {
	code := sources(t, false)
	var names []string
	names = append(names, matches(`(?:Counter|Gauge)\("([a-z-]+)"\)`, code)...)
	for _, prefix := range matches(`Counter\("([a-z-]+-)" ?\+`, code) {
		names = append(names, prefix+"*")
	}
	slices.Sort(names)
	assert.Assert(t, len(names) > 40)
	assert.DeepEqual(t, firstCells(section(t, read(t, "docs/OPERATIONS.md"), "Counters")), names)
}

// A setting that the page does not name cannot be found by an operator, and one that does not exist is refused.
func TestEverySettingIsDocumented(t *testing.T) {
	page := read(t, "docs/OPERATIONS.md")
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

// Pages that name a test must not outlive it, and the page must name every command.
func TestPagesNameWhatExists(t *testing.T) {
	pages, err := filepath.Glob(root + "docs/*.md")
	assert.NilError(t, err)
	tests := sources(t, true)
	for _, page := range append(pages, root+"README.md") {
		raw, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, name := range matches("`(Test[A-Za-z]+)`", string(raw)) {
			assert.Assert(t, strings.Contains(tests, "func "+name+"("), "%s names %s", page, name)
		}
		for _, name := range matches(`\]\(([A-Za-z/.-]+\.(?:md|json))\)`, string(raw)) {
			_, err := os.Stat(filepath.Join(filepath.Dir(page), name))
			assert.NilError(t, err)
		}
	}
	for _, name := range []string{"serve", "check", "query", "status", "timeline", "version"} {
		assert.Assert(t, strings.Contains(read(t, "docs/OPERATIONS.md"), "apricotflow "+name), name)
	}
}
