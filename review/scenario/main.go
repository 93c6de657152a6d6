//go:build review

// Command scenario plays one case of the review: it starts instances of apricotflow as processes, with stand-ins for the
// store, the leafs and the clients, and checks one rule by what clients and leafs have seen.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a scenario.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// timeLimit ends a scenario that does not end by itself.
const timeLimit = 115 * time.Second

// scenarios holds the cases by their names. Each returns what breaks the rule, one line for each violation.
var scenarios = map[string]func(w *world) ([]string, error){}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/apricotflow", "the program under test")
	trouble := flag.String("trouble", "1", "0 to leave the disruption out")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	play, found := scenarios[*name]
	if !found {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		os.Exit(exitNotRun)
	}
	os.Exit(run(*name, *program, *record, *trouble != "0", play))
}

func run(name, program, recordFile string, trouble bool, play func(w *world) ([]string, error)) int {
	w, err := newWorld(program, recordFile, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	type outcome struct {
		violations []string
		err        error
	}
	done := make(chan outcome, 1)
	go func() {
		violations, err := play(w)
		done <- outcome{violations, err}
	}()
	select {
	case o := <-done:
		return report(w, name, o.violations, o.err)
	case <-signals:
		return report(w, name, nil, fmt.Errorf("interrupted"))
	case <-time.After(timeLimit):
		return report(w, name, nil, fmt.Errorf("not finished within %s", timeLimit))
	}
}

func report(w *world, name string, violations []string, err error) int {
	if err != nil {
		w.logf("case %s could not run: %v", name, err)
		fmt.Printf("%s: could not run: %v\n", name, err)
		return exitNotRun
	}
	for _, v := range violations {
		w.logf("BROKEN %s", v)
	}
	if len(violations) > 0 {
		fmt.Printf("%s: broken, %d violations; the first: %s\n", name, len(violations), violations[0])
		return exitBroken
	}
	w.logf("held")
	fmt.Printf("%s: held\n", name)
	return exitHeld
}
