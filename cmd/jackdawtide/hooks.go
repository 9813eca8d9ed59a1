// The verbs whose work lies in other packages than the commander's are put together here.

package main

import (
	"github.com/jackdawtide/jackdawtide/internal/commander"
	"github.com/jackdawtide/jackdawtide/internal/runner"
	"github.com/jackdawtide/jackdawtide/platform"
)

func hooks() commander.Hooks {
	return commander.Hooks{
		Node:    runner.Node,
		Backend: runner.Backend,
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
