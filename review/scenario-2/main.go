//go:build review2

// Command scenario-2 runs the scripted cases of the second review: it starts instances as processes of their own, with a
// store, targets and callers as stand-ins in this process, and checks what these see. It exits with 1 if the rule was broken,
// 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// maxRunTime ends a case that takes too long.
const maxRunTime = 115 * time.Second

var scenarios = map[string]func(*world) error{
	"restarted-target": runRestartedTarget,
	"cut-watches":      runCutWatches,
	"hot-request":      runHotRequest,
	"departures":       runDepartures,
}

// errBroken is returned by a scenario whose rule was broken.
var errBroken = errors.New("rule broken")

func main() {
	program := flag.String("program", "target/apricotflow", "executable of the instances")
	record := flag.String("record", "record.txt", "file that the record is written to")
	flag.Parse()
	os.Exit(run(flag.Arg(0), *program, *record, os.Getenv("TROUBLE") != "0"))
}

func run(name, program, record string, trouble bool) int {
	scenario, found := scenarios[name]
	if !found {
		fmt.Fprintln(os.Stderr, "unknown scenario", name)
		return exitNotRun
	}
	program, err := filepath.Abs(program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	w, err := newWorld(program, record, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	ended := make(chan error, 1)
	go func() { ended <- scenario(w) }()
	select {
	case err = <-ended:
	case <-time.After(maxRunTime):
		err = errors.New("the case took too long")
	}
	w.close()
	switch {
	case errors.Is(err, errBroken):
		w.log("BROKEN %v", err)
		return exitBroken
	case err != nil:
		w.log("NOT RUN %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	w.log("HELD")
	return exitHeld
}
