// Connects the commander's hooks to the packages that implement the verbs.

package main

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/jackdawtide/jackdawtide/internal/commander"
	"github.com/jackdawtide/jackdawtide/internal/runner"
	"github.com/jackdawtide/jackdawtide/platform"
)

func hooks() commander.Hooks {
	return commander.Hooks{
		Node:    stopOnHangUp(runner.Node),
		Backend: stopOnHangUp(runner.Backend),
		Demo:    runner.Demo,
		Sidecar: runSidecar,

		SettingsVariable: platform.SettingsVariable,
		Measures: []commander.Measure{
			runner.Overload(),
			runner.Fleet(),
			runner.Path(),
			runner.Slopes(),
		},
	}
}

// stopOnHangUp makes SIGHUP a planned stop of a verb that reads its settings only once. By default the signal ends the process
// at once, which cuts the calls in flight.
func stopOnHangUp[O any](verb func(context.Context, commander.Process, O) error) func(context.Context, commander.Process, O) error {
	return func(ctx context.Context, p commander.Process, o O) error {
		ctx, stop := signal.NotifyContext(ctx, syscall.SIGHUP)
		defer stop()
		return verb(ctx, p, o)
	}
}
