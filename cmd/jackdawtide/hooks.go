// Connects the commander's hooks to the packages that implement the verbs.

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
