package main

import (
	"bytes"
	"context"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/commander"
)

// The generated page of verbs must match the verbs. An outdated page would show operators commands that the program
// refuses, possibly during an incident.
func TestCommandPageIsCurrent(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/cli.md")
	assert.NilError(t, err)
	var out bytes.Buffer
	code := commander.Run(context.Background(), commander.Process{
		Args: []string{"documentation"}, Out: &out, Err: &out,
	}, hooks())
	assert.Equal(t, code, commander.Done)
	assert.Equal(t, out.String(), string(page), "run: go generate ./cmd/jackdawtide")
}
