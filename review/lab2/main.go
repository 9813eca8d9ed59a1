package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit statuses of a case.
const (
	held    = 0
	broken  = 1
	notRun  = 2
	allArgs = 3
)

// setup is how a case is played.
type setup struct {
	// directory is a temporary folder, record the path of the file that tells what was sent, answered and run.
	directory, record string
	// trouble is whether the disruption takes place.
	trouble bool
}

// cases are the cases by name; each returns an exit status.
var cases = map[string]func(context.Context, setup) (int, error){
	"partialStore": playPartialStore,
	"cutAhead":     playCutAhead,
	"lateTimeout":  playLateTimeout,
}

func main() {
	if len(os.Args) != allArgs || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE RECORD")
		os.Exit(notRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, path string) int {
	directory, err := os.MkdirTemp("", "lab2")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer func() { _ = os.RemoveAll(directory) }()
	// A signal ends the case, which then ends the processes that it has started.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	status, err := cases[name](ctx, setup{directory: directory, record: path, trouble: os.Getenv("TROUBLE") != "0"})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	return status
}
