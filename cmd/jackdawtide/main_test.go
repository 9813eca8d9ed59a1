package main

import (
	"bytes"
	"context"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/commander"
)

// A verb changes and its page does not. An operator then types, in the middle of an incident, what the page says and
// the program refuses.
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
