// Package loader reads and validates the settings file of an instance of either mode and applies the defaults. The
// command line uses it for the serve and check commands; all other packages get the settings as an immutable value.
package loader

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"

	"apricotflow/internal/manifest/parser"
	"apricotflow/internal/manifest/resolver"
	"apricotflow/internal/wire/encoder"
)

// settingsSchema is the schema of settings files. A property of type number needs an entry in WithFractionPaths:
// fractions of all other numbers are refused.
var settingsSchema = sync.OnceValue(func() *parser.Schema {
	return parser.MustCompile("settings.json", parser.WithFractionPaths("$.relay.grace-seconds", "$.relay.configuration-ms", "$.relay.drain-ms", "$.relay.extra-load-ratio",
		"$.relay.extra-load-slack", "$.relay.extra-load-window-seconds", "$.relay.cold-factor", "$.relay.cold-slack",
		"$.relay.processor-share", "$.relay.processor-speed", "$.relay.quota.window-seconds", "$.relay.quota.overrun", "$.relay.quota.slack"))
})

// ReadError reports that a settings file could not be read.
type ReadError struct {
	File string
	// Cause is never nil.
	Cause error
}

func (e *ReadError) Error() string {
	return fmt.Sprintf("loader: read settings %s: %v", e.File, e.Cause)
}

func (e *ReadError) Unwrap() error {
	return e.Cause
}

// InvalidError reports invalid settings.
type InvalidError struct {
	// Problems holds every problem; it is never empty.
	Problems []resolver.Problem
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("loader: settings refused with %d problems: %s", len(e.Problems), resolver.Summarize(e.Problems))
}

// Load reads and validates a settings file. The error is a *ReadError or an *InvalidError.
func Load(file string) (Settings, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, &ReadError{File: file, Cause: err}
	}
	settings, err := Parse(raw)
	settings.file = file
	return settings, err
}

// Parse validates raw settings and applies the defaults. The error is an *InvalidError with every problem.
func Parse(raw []byte) (Settings, error) {
	problems := settingsSchema().Check(raw)
	var wire encoder.Settings
	if err := json.Unmarshal(raw, &wire); err != nil {
		// Fields that were not decoded would be reported as further problems.
		if len(problems) == 0 {
			problems = []resolver.Problem{{Path: "$", Message: fmt.Sprintf("cannot be decoded: %v", err)}}
		}
		return Settings{}, &InvalidError{Problems: problems}
	}
	settings, allProblems := newSettings(wire, problems)
	if len(allProblems) > 0 {
		return Settings{}, &InvalidError{Problems: allProblems}
	}
	return settings, nil
}
