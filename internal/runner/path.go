// `measure path` prints the latency that the nodes add to a call, compared with direct calls to the same backend servers
// in the same run.
//
// Example: jackdawtide measure path --depth 1 --depth 5 --format json

package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/jackdawtide/jackdawtide/internal/commander"
	"github.com/jackdawtide/jackdawtide/internal/prober"
)

// pathLine is the JSON form of prober.Line.
type pathLine struct {
	Depth       int     `json:"depth"`
	Load        string  `json:"load"`
	Rate        float64 `json:"callsPerSecond"`
	Calls       int     `json:"calls"`
	Failed      int     `json:"failed"`
	DirectP50Ms float64 `json:"directP50Ms"`
	DirectP99Ms float64 `json:"directP99Ms"`
	NodesP50Ms  float64 `json:"nodesP50Ms"`
	NodesP99Ms  float64 `json:"nodesP99Ms"`
	AddedP50Ms  float64 `json:"addedP50Ms"`
	AddedP99Ms  float64 `json:"addedP99Ms"`
	PerHopP50Ms float64 `json:"perHopP50Ms"`
	PerHopP99Ms float64 `json:"perHopP99Ms"`
	Highest     float64 `json:"highestCallsPerSecond,omitempty"`
}

// Path returns the measurement of the latency that the nodes add.
func Path() commander.Measure {
	var o prober.Options
	return commander.Measure{
		Name:    "path",
		Help:    "Measure what the nodes add to a call, against direct calls in the same run.",
		Example: "jackdawtide measure path --depth 1 --knee --format json",
		Bind: func(c *kingpin.CmdClause) {
			c.Flag("depth", "Length of the call chain; may be repeated.").Default("1").IntsVar(&o.Depths)
			c.Flag("rate", "Calls entered a second.").Default("400").Float64Var(&o.Rate)
			c.Flag("time", "Length of each load.").Default("10s").DurationVar(&o.Time)
			c.Flag("seed", "Seed of the arrivals.").Default("1").Uint64Var(&o.Seed)
			c.Flag("knee", "Measure at half of the highest throughput too.").BoolVar(&o.Knee)
		},
		Run: func(ctx context.Context, p commander.Process, f commander.Format) error {
			return prober.Run(ctx, o, func(l prober.Line) error {
				line := toPathLine(l)
				if f == commander.JSON {
					return json.NewEncoder(p.Out).Encode(line)
				}
				_, err := fmt.Fprintf(p.Out, "depth %2d %-6s %5.0f/s for %s: direct p50 %.2f p99 %.2f ms, through nodes p50 %.2f p99 %.2f ms, added p50 %.2f p99 %.2f ms, per hop p50 %.2f p99 %.2f ms, failed %d\n",
					line.Depth, line.Load, line.Rate, o.Time.Round(time.Second), line.DirectP50Ms, line.DirectP99Ms, line.NodesP50Ms,
					line.NodesP99Ms, line.AddedP50Ms, line.AddedP99Ms, line.PerHopP50Ms, line.PerHopP99Ms, line.Failed)
				return err
			})
		},
	}
}

func toPathLine(l prober.Line) pathLine {
	return pathLine{
		Depth:       l.Depth,
		Load:        l.Load,
		Rate:        l.Rate,
		Calls:       l.Calls,
		Failed:      l.Failed,
		DirectP50Ms: l.DirectP50,
		DirectP99Ms: l.DirectP99,
		NodesP50Ms:  l.NodesP50,
		NodesP99Ms:  l.NodesP99,
		AddedP50Ms:  l.AddedP50,
		AddedP99Ms:  l.AddedP99,
		PerHopP50Ms: l.PerHopP50,
		PerHopP99Ms: l.PerHopP99,
		Highest:     l.Highest,
	}
}
