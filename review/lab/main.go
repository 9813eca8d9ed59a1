package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// outcome is the exit code of a case.
type outcome int

const (
	held   outcome = 0
	broken outcome = 1
	cannot outcome = 2
)

// maxTime is how long a case may take.
const maxTime = 115 * time.Second

// caseRun plays a case, with its disruption if trouble is set.
type caseRun func(w *world, trouble bool) (outcome, error)

var cases = map[string]caseRun{
	"declined": runDeclined,
	"spoiled":  runSpoiled,
	"early":    runEarly,
}

func main() {
	os.Exit(int(run()))
}

func run() outcome {
	name := flag.String("case", "", "name of the case")
	file := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		return cannot
	}
	r, err := newRecord(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	defer func() { _ = r.close() }()
	w, err := newWorld(r)
	if err != nil {
		r.say("the case could not run: %v", err)
		return cannot
	}
	defer w.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	type result struct {
		outcome outcome
		err     error
	}
	done := make(chan result, 1)
	go func() {
		o, err := play(w, os.Getenv("TROUBLE") != "0")
		done <- result{o, err}
	}()
	got := result{cannot, errors.New("interrupted")}
	select {
	case got = <-done:
	case <-interrupted:
	case <-time.After(maxTime):
		got.err = errors.New("the time is up")
	}
	if got.err != nil {
		r.say("the case could not run: %v", got.err)
		return cannot
	}
	return got.outcome
}
