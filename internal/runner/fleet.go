// `measure fleet --format json` prints the figures of each scenario as one JSON object a line, so that a script can
// compare the results from before and after a change.
//
// Example: jackdawtide measure fleet --scenario logOutage --scenario domainCut --format json

package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/jackdawtide/jackdawtide/internal/commander"
	"github.com/jackdawtide/jackdawtide/internal/faulter"
)

// fleetLine is the JSON form of faulter.Figures.
type fleetLine struct {
	Scenario                  string         `json:"scenario"`
	Scale                     string         `json:"scale"`
	Seed                      uint64         `json:"seed"`
	Calls                     int            `json:"calls"`
	RateServedRatio           *float64       `json:"rateServedRatio,omitempty"`
	RateExceeded              float64        `json:"rateExceeded"`
	DoubleRuns                int            `json:"doubleRuns"`
	FalseNotRun               int            `json:"falseNotRun"`
	Reverted                  int            `json:"reverted"`
	ConfigInForceMs           *int64         `json:"configInForceMs,omitempty"`
	WithdrawnKeyMs            *int64         `json:"withdrawnKeyMs,omitempty"`
	DrainStopMs               *int64         `json:"drainStopMs,omitempty"`
	LastNewCallMs             *int64         `json:"lastNewCallMs,omitempty"`
	BookingsServedRatio       *float64       `json:"bookingsServedRatio,omitempty"`
	WrongfulRefusalRatio      *float64       `json:"wrongfulRefusalRatio,omitempty"`
	Reasons                   map[string]int `json:"reasons,omitempty"`
	AppendsPerSecond          float64        `json:"appendsPerSecond"`
	ControlBytesPerNodeSecond float64        `json:"controlBytesPerNodeSecond"`
}

// fleetScale is printed with every line, so that no figure is mistaken for one of a full-size deployment.
const fleetScale = "6 VMs in 3 failure domains; loopback, one process"

// Fleet returns the measurement of the fleet's guarantees under faults.
func Fleet() commander.Measure {
	var o faulter.Options
	names := faulter.Names()
	return commander.Measure{
		Name:    "fleet",
		Help:    "Make faults happen in a small fleet of real nodes under load and judge what callers and backend servers got.",
		Example: "jackdawtide measure fleet --scenario logOutage --format json",
		Bind: func(c *kingpin.CmdClause) {
			c.Flag("seed", "Seed of the arrivals.").Default("1").Uint64Var(&o.Seed)
			c.Flag("scenario", "Only this scenario; may be repeated: "+strings.Join(names, ", ")+".").
				EnumsVar(&o.Scenarios, names...)
		},
		Run: func(ctx context.Context, p commander.Process, f commander.Format) error {
			return faulter.Run(ctx, o, func(v faulter.Figures) error { return printFleet(p.Out, f, v) })
		},
	}
}

func printFleet(w io.Writer, f commander.Format, v faulter.Figures) error {
	if f == commander.JSON {
		return json.NewEncoder(w).Encode(toFleetLine(v))
	}
	_, err := fmt.Fprintf(w, "%-24s rate served %s  exceeded %.2f  double runs %d  false not-run %d  reverted %d  "+
		"in force %s ms  key %s ms  stop %s ms  last call %s ms  bookings %s  wrongful %s  %s\n",
		v.Scenario, ratioText(v.RateServedRatio), v.RateExceeded, v.DoubleRuns, v.FalseNotRun, v.Reverted,
		numberText(v.ConfigInForceMs), numberText(v.WithdrawnKeyMs), numberText(v.DrainStopMs), numberText(v.LastNewCallMs),
		ratioText(v.BookingsServedRatio), ratioText(v.WrongfulRefusalRatio), reasonsText(v.Reasons))
	return err
}

func ratioText(v *float64) string {
	if v == nil {
		return "-"
	}
	return fmt.Sprintf("%.4f", *v)
}

func numberText(v *int64) string {
	if v == nil {
		return "-"
	}
	return fmt.Sprint(*v)
}

func toFleetLine(v faulter.Figures) fleetLine {
	return fleetLine{
		Scenario:                  v.Scenario,
		Scale:                     fleetScale,
		Seed:                      v.Seed,
		Calls:                     v.Calls,
		RateServedRatio:           v.RateServedRatio,
		RateExceeded:              v.RateExceeded,
		DoubleRuns:                v.DoubleRuns,
		FalseNotRun:               v.FalseNotRun,
		Reverted:                  v.Reverted,
		ConfigInForceMs:           v.ConfigInForceMs,
		WithdrawnKeyMs:            v.WithdrawnKeyMs,
		DrainStopMs:               v.DrainStopMs,
		LastNewCallMs:             v.LastNewCallMs,
		BookingsServedRatio:       v.BookingsServedRatio,
		WrongfulRefusalRatio:      v.WrongfulRefusalRatio,
		Reasons:                   v.Reasons,
		AppendsPerSecond:          v.AppendsPerSecond,
		ControlBytesPerNodeSecond: v.ControlBytesPerNodeSecond,
	}
}
