// `measure slopes` prints the slopes from which the tables of docs/CAPACITY.md are calculated, one JSON object a line.
//
// Example: jackdawtide measure slopes --format json > docs/results/slopes.jsonl

package runner

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/jackdawtide/jackdawtide/internal/commander"
	"github.com/jackdawtide/jackdawtide/internal/measurer"
)

// Slopes returns the measurement of a node's cost as a linear function of each variable that it grows with.
func Slopes() commander.Measure {
	var seed uint64
	return commander.Measure{
		Name:    "slopes",
		Help:    "Measure what a node costs by each thing that it grows with; always prints JSON lines.",
		Example: "jackdawtide measure slopes --format json > docs/results/slopes.jsonl",
		Bind: func(c *kingpin.CmdClause) {
			c.Flag("seed", "Seed of the fleets.").Default("1").Uint64Var(&seed)
		},
		Run: func(ctx context.Context, p commander.Process, _ commander.Format) error {
			return measurer.Slopes(ctx, p.Out, seed)
		},
	}
}
