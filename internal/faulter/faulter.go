// Runs the scenarios and reports their figures. Each scenario runs on its own fleet, so that state left behind by one
// scenario can't affect another.
//
// Example: faulter.Run(ctx, faulter.Options{Scenarios: []string{"logOutage"}}, func(f faulter.Figures) error { … })

package faulter

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Options select the scenarios and the seed of a run.
type Options struct {
	// Scenarios lists the scenarios to run; empty means all.
	Scenarios []string
	Seed      uint64
}

// Figures are the measurements of one scenario; a nil field doesn't apply to it.
type Figures struct {
	Scenario string
	Seed     uint64
	Calls    int
	// RateServedRatio is the served rate of the teams that send more than their rate, as a ratio of their rate.
	RateServedRatio *float64
	// RateExceeded is the largest excess over rate×window+burst in any window, in calls.
	RateExceeded float64
	DoubleRuns   int
	FalseNotRun  int
	Reverted     int
	// ConfigInForceMs counts from the acceptance of a change until it is in force at every reachable node.
	ConfigInForceMs *int64
	// WithdrawnKeyMs counts from the acceptance of the withdrawal until the key's last call reached a backend server.
	WithdrawnKeyMs *int64
	// DrainStopMs is the longest time that a planned stop of a node took.
	DrainStopMs *int64
	// LastNewCallMs counts from the start of the leave or hang until the backend server received its last call.
	LastNewCallMs *int64
	// BookingsServedRatio covers teams within their rate and counts a booking as served if any attempt succeeded.
	BookingsServedRatio *float64
	// WrongfulRefusalRatio covers the first attempts of teams within their rate.
	WrongfulRefusalRatio      *float64
	Reasons                   map[string]int
	AppendsPerSecond          float64
	ControlBytesPerNodeSecond float64
}

// NotInForceError reports an accepted change that was not in force at every reachable node before the timeout.
type NotInForceError struct {
	Version identifier.Version
	After   time.Duration
}

// Error names the version and the time waited.
func (e NotInForceError) Error() string {
	return fmt.Sprintf("version %d not in force at every reachable node after %s", e.Version, e.After)
}

// RaceError reports that concurrent changes by two operators did not end with one accepted and one refused.
type RaceError struct {
	Winners int
	Losers  int
}

// Error names both numbers.
func (e RaceError) Error() string {
	return fmt.Sprintf("concurrent changes by two operators: %d accepted and %d refused, expected one of each", e.Winners, e.Losers)
}

// Names returns the names of all scenarios.
func Names() []string {
	names := make([]string, 0, len(scenarios))
	for _, s := range scenarios {
		names = append(names, s.name)
	}
	return names
}

// maxParallelScenarios bounds the scenarios that run at a time; several can share a machine, since a scenario mostly
// waits.
const maxParallelScenarios = 3

type scenarioResult struct {
	figures Figures
	err     error
}

// Run runs the selected scenarios and reports the figures of each, in the order of the scenario table.
func Run(ctx context.Context, o Options, report func(Figures) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	running := make(chan struct{}, maxParallelScenarios)
	var results []chan scenarioResult
	var selected []scenario
	for _, s := range scenarios {
		if len(o.Scenarios) > 0 && !slices.Contains(o.Scenarios, s.name) {
			continue
		}
		selected = append(selected, s)
		results = append(results, make(chan scenarioResult, 1))
	}
	go func() {
		for i, s := range selected {
			running <- struct{}{}
			go func() {
				f, err := runScenario(ctx, s.withDefaults(), o.Seed)
				results[i] <- scenarioResult{f, err}
				<-running
			}()
		}
	}()
	for i, s := range selected {
		v := <-results[i]
		if v.err != nil {
			return fmt.Errorf("scenario %s: %w", s.name, v.err)
		}
		if err := report(v.figures); err != nil {
			return err
		}
	}
	return nil
}

func runScenario(ctx context.Context, s scenario, seed uint64) (Figures, error) {
	r, err := newRun(ctx, s, seed)
	if err != nil {
		return Figures{}, err
	}
	defer r.fleet.Close()
	return r.execute(ctx)
}
