// The measurement runs one scenario after the other, each on a fleet of its own, so that no scenario inherits the
// traces of another.
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

// Options say what to run.
type Options struct {
	// Scenarios limits the run; empty means all.
	Scenarios []string
	Seed      uint64
}

// Figures are the measures of one scenario; a nil field doesn't apply to it.
type Figures struct {
	Scenario string
	Seed     uint64
	Calls    int
	// RateServedRatio is what the teams that send more than their rate got of it.
	RateServedRatio *float64
	// RateExceeded is the largest excess over rate×window+burst in any window, in calls.
	RateExceeded float64
	DoubleRuns   int
	FalseNotRun  int
	Reverted     int
	// ConfigInForceMs counts from the acceptance of a change until it is in force at every node that can know of it.
	ConfigInForceMs *int64
	// WithdrawnKeyMs counts from the acceptance of the withdrawal until the key's last call reached a backend server.
	WithdrawnKeyMs *int64
	// DrainStopMs is the longest that a node took to stop as planned.
	DrainStopMs *int64
	// LastNewCallMs is when the leaving or dead backend server got its last call.
	LastNewCallMs *int64
	// BookingsServedRatio is for teams within their rate, the callers' retries included.
	BookingsServedRatio *float64
	// WrongfulRefusalRatio is for first attempts of teams within their rate.
	WrongfulRefusalRatio      *float64
	Reasons                   map[string]int
	AppendsPerSecond          float64
	ControlBytesPerNodeSecond float64
}

// NotInForceError reports a change that was accepted and not seen at every node in time.
type NotInForceError struct {
	Version identifier.Version
	After   time.Duration
}

// Error names the version and the time.
func (e NotInForceError) Error() string {
	return fmt.Sprintf("version %d not in force everywhere after %s", e.Version, e.After)
}

// RaceError reports racing operators that did not get one winner and one clear refusal.
type RaceError struct {
	Winners int
	Losers  int
}

// Error names both numbers.
func (e RaceError) Error() string {
	return fmt.Sprintf("racing operators: %d accepted and %d refused, want one of each", e.Winners, e.Losers)
}

// Names returns the names of all scenarios.
func Names() []string {
	names := make([]string, 0, len(scenarios))
	for _, s := range scenarios {
		names = append(names, s.name)
	}
	return names
}

// maxParallelScenarios is how many scenarios run at a time; most of a run is waiting.
const maxParallelScenarios = 3

type scenarioResult struct {
	figures Figures
	err     error
}

// Run runs the scenarios and reports the figures of each, in their order.
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
