// Package loader reads the settings file of an instance.
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

var settingsSchema = sync.OnceValue(func() *parser.Schema {
	return parser.MustCompile("settings.json", parser.WithFractionPaths("$.relay.grace-seconds", "$.relay.configuration-ms", "$.relay.drain-ms", "$.relay.extra-load-ratio",
		"$.relay.extra-load-slack", "$.relay.extra-load-window-seconds", "$.relay.cold-factor", "$.relay.cold-slack"))
})

// ReadError reports a settings file that cannot be read.
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

// InvalidError reports settings that were refused, with every problem.
type InvalidError struct {
	// Problems is never empty.
	Problems []resolver.Problem
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("loader: settings refused with %d problems: %s", len(e.Problems), resolver.Summarize(e.Problems))
}

// Load reads a settings file; the error is a *ReadError or an *InvalidError.
func Load(file string) (Settings, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, &ReadError{File: file, Cause: err}
	}
	settings, err := Parse(raw)
	settings.file = file
	return settings, err
}

// Parse checks raw settings and applies the defaults; the error is an *InvalidError with every problem.
func Parse(raw []byte) (Settings, error) {
	problems := settingsSchema().Check(raw)
	var wire encoder.Settings
	if err := json.Unmarshal(raw, &wire); err != nil && len(problems) == 0 {
		problems = []resolver.Problem{{Path: "$", Message: fmt.Sprintf("cannot be decoded: %v", err)}}
	}
	settings, allProblems := newSettings(wire, problems)
	if len(allProblems) > 0 {
		return Settings{}, &InvalidError{Problems: allProblems}
	}
	return settings, nil
}
