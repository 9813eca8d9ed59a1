// The soak plays random faults on real processes of the product and judges what callers and backend servers saw. It is a
// program of its own, so that the product carries none of it.
//
// Example: go run ./cmd/soak --program target/jackdawtide --seed 1 --seeds 50 --length 30s
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/jackdawtide/jackdawtide/internal/soaker"
)

func main() {
	app := kingpin.New("soak", "Play random faults on real processes and judge what callers and backend servers saw.")
	program := app.Flag("program", "The built program.").Required().ExistingFile()
	directory := app.Flag("directory", "Where settings and logs go; one folder a seed.").Default("soak-out").String()
	seed := app.Flag("seed", "The first seed.").Default("1").Uint64()
	seeds := app.Flag("seeds", "How many seeds to play, one after the other.").Default("1").Uint64()
	length := app.Flag("length", "How long faults come in each.").Default("20s").Duration()
	nodes := app.Flag("nodes", "How many nodes run.").Default("6").Int()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	broken := 0
	for s := *seed; s < *seed+*seeds && ctx.Err() == nil; s++ {
		folder := filepath.Join(*directory, fmt.Sprint("seed-", s))
		if err := os.MkdirAll(folder, 0o755); err != nil {
			app.FatalIfError(err, "")
		}
		report, err := soaker.Run(ctx, soaker.Options{Program: *program, Directory: folder, Seed: s, Length: *length, Nodes: *nodes})
		app.FatalIfError(err, "seed %d", s)
		broken += len(report.Breaches)
		report.Print(os.Stdout)
	}
	if broken > 0 {
		os.Exit(1)
	}
}
