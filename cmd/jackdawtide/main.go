// The program only collects what its verbs may use of the process; everything else is in packages, where it can be
// tested.
//
// Example: go run ./cmd/jackdawtide --help

package main

import (
	"context"
	"crypto/rand"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jackdawtide/jackdawtide/internal/commander"
)

//go:generate sh -c "go run . documentation > ../../docs/operators/cli.md"

func main() {
	os.Exit(int(run()))
}

// run is separate from main because os.Exit would skip the deferred call.
func run() commander.Code {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return commander.Run(ctx, commander.Process{
		Args:   os.Args[1:],
		In:     os.Stdin,
		Out:    os.Stdout,
		Err:    os.Stderr,
		Now:    time.Now,
		Random: rand.Reader,
		HTTP:   http.DefaultClient,
		User:   os.Getenv("USER"),
	}, hooks())
}
