// `measure overload --format json` prints the figures of each scenario and policy as one JSON object a line, so that a
// script can compare the results from before and after a change.
//
// Example: jackdawtide measure overload --deployment kitakaze --scenario surge3x --format json

package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/jackdawtide/jackdawtide/internal/commander"
	"github.com/jackdawtide/jackdawtide/internal/overloader"
)

// overloadLine is the JSON form of overloader.Figures.
type overloadLine struct {
	Scenario             string         `json:"scenario"`
	Policy               string         `json:"policy"`
	Deployment           string         `json:"deployment"`
	Scale                string         `json:"scale"`
	Seed                 uint64         `json:"seed"`
	Offered              int            `json:"offered"`
	Answered             int            `json:"answered"`
	Capacity             float64        `json:"capacityPerSecond"`
	UrgentFits           bool           `json:"urgentFits"`
	WithinRateFits       bool           `json:"withinRateFits"`
	GoodputRatio         float64        `json:"goodputRatio"`
	RecoveryMs           int64          `json:"recoveryMs"`
	WorstTeam            string         `json:"worstTeam"`
	WorstTeamRatio       float64        `json:"worstTeamRatio"`
	WrongfulRefusalRatio float64        `json:"wrongfulRefusalRatio"`
	UrgentServedRatio    float64        `json:"urgentServedRatio"`
	AttemptsPerRequest   float64        `json:"attemptsPerRequest"`
	P50Ms                float64        `json:"p50Ms"`
	P99Ms                float64        `json:"p99Ms"`
	Reasons              map[string]int `json:"reasons"`
}

// overloadScale is printed with every line, so that no figure is mistaken for one of a full-size deployment.
const overloadScale = "2 endpoints a service, 6 slots each at the deep one, 25 ms; loopback, one process"

// Overload returns the measurement of what callers get under overload, compared with baselines.
func Overload() commander.Measure {
	var o overloader.Options
	scenarios, policies := overloader.Names()
	return commander.Measure{
		Name:    "overload",
		Help:    "Load a small fleet of real nodes beyond its capacity, by this policy and by simple baselines.",
		Example: "jackdawtide measure overload --deployment kitakaze --scenario surge3x --format json",
		Bind: func(c *kingpin.CmdClause) {
			c.Flag("deployment", "Shape of the services and teams: concordia or kitakaze.").
				Default(string(commander.Kitakaze)).
				EnumVar(&o.Deployment, string(commander.Concordia), string(commander.Kitakaze))
			c.Flag("seed", "Seed of the arrivals.").Default("1").Uint64Var(&o.Seed)
			c.Flag("scenario", "Only this scenario; may be repeated: "+strings.Join(scenarios, ", ")+".").
				EnumsVar(&o.Scenarios, scenarios...)
			c.Flag("policy", "Only this policy; may be repeated: "+strings.Join(policies, ", ")+".").
				EnumsVar(&o.Policies, policies...)
			c.Flag("plot", "Folder for a picture of the goodput over time per scenario.").
				PlaceHolder("DIR").StringVar(&o.Plot)
		},
		Run: func(ctx context.Context, p commander.Process, f commander.Format) error {
			if o.Plot != "" {
				if err := os.MkdirAll(o.Plot, 0o755); err != nil {
					return fmt.Errorf("create the folder for plots: %w", err)
				}
			}
			return overloader.Run(ctx, o, func(v overloader.Figures) error { return printOverload(p.Out, f, v) })
		},
	}
}

func printOverload(w io.Writer, f commander.Format, v overloader.Figures) error {
	line := toOverloadLine(v)
	if f == commander.JSON {
		return json.NewEncoder(w).Encode(line)
	}
	_, err := fmt.Fprintf(w, "%-22s %-14s goodput %.3f  recovery %5d ms  worst team %.2f  wrongful %.3f  urgent %.4f  attempts %.2f  p50 %.0f ms  p99 %.0f ms  %s\n",
		line.Scenario, line.Policy, line.GoodputRatio, line.RecoveryMs, line.WorstTeamRatio, line.WrongfulRefusalRatio,
		line.UrgentServedRatio, line.AttemptsPerRequest, line.P50Ms, line.P99Ms, reasonsText(line.Reasons))
	return err
}

func reasonsText(reasons map[string]int) string {
	parts := make([]string, 0, len(reasons))
	for r, n := range reasons {
		parts = append(parts, fmt.Sprintf("%s=%d", r, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

func toOverloadLine(v overloader.Figures) overloadLine {
	return overloadLine{
		Scenario:             v.Scenario,
		Policy:               v.Policy,
		Deployment:           v.Deployment,
		Scale:                overloadScale,
		Seed:                 v.Seed,
		Offered:              v.Offered,
		Answered:             v.Answered,
		Capacity:             v.Capacity,
		UrgentFits:           v.UrgentFits,
		WithinRateFits:       v.WithinRateFits,
		GoodputRatio:         v.GoodputRatio,
		RecoveryMs:           v.RecoveryMs,
		WorstTeam:            v.WorstTeam,
		WorstTeamRatio:       v.WorstTeamRatio,
		WrongfulRefusalRatio: v.WrongfulRefusalRatio,
		UrgentServedRatio:    v.UrgentServedRatio,
		AttemptsPerRequest:   v.AttemptsPerRequest,
		P50Ms:                v.P50Ms,
		P99Ms:                v.P99Ms,
		Reasons:              v.Reasons,
	}
}
