// The soak test injects random faults into real processes of the product and checks what callers and backend servers
// observed. It is a separate program, so that the product does not contain its code.
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
	app := kingpin.New("soak", "Inject random faults into real processes and check what callers and backend servers observed.")
	program := app.Flag("program", "Path of the built program.").Required().ExistingFile()
	directory := app.Flag("directory", "Directory for settings and logs; one folder per seed.").Default("soak-out").String()
	seed := app.Flag("seed", "The first seed.").Default("1").Uint64()
	seeds := app.Flag("seeds", "Number of seeds to run, one after the other.").Default("1").Uint64()
	length := app.Flag("length", "How long faults are injected for each seed.").Default("20s").Duration()
	faults := app.Flag("fault", "Name of a fault to inject; repeat it for several. Default: all faults.").Enums(soaker.FaultNames()...)
	nodes := app.Flag("nodes", "Number of nodes.").Default("6").Int()
	returns := app.Flag("returns", "Whether callers return once after a refusal that says when.").Default("true").Bool()
	stays := app.Flag("stays", "Whether some callers stay on one connection until it ends.").Default("true").Bool()
	orders := app.Flag("orders", "Whether a caller at each node sends only requests that may run once.").Default("true").Bool()
	probes := app.Flag("probes", "Whether operators change routes and keys, and callers probe what is in force.").Default("true").Bool()
	known := app.Flag("known", "Name of a check whose breaches are printed and don't fail the run; repeat it for several.").
		Enums(soaker.CheckNames()...)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	breaches := 0
	for s := *seed; s < *seed+*seeds && ctx.Err() == nil; s++ {
		folder := filepath.Join(*directory, fmt.Sprint("seed-", s))
		if err := os.MkdirAll(folder, 0o755); err != nil {
			app.FatalIfError(err, "")
		}
		report, err := soaker.Run(ctx, soaker.Options{
			Program: *program, Directory: folder, Seed: s, Length: *length, Nodes: *nodes, Faults: *faults,
			Returns: *returns, Stays: *stays, Orders: *orders, Probes: *probes,
		})
		app.FatalIfError(err, "seed %d", s)
		breaches += report.CountBreaches(*known)
		report.Print(os.Stdout)
	}
	if breaches > 0 {
		os.Exit(1)
	}
}
