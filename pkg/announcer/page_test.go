package announcer_test

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Authors of backend servers copy the example of the page, so it must be the one that compiles in this package.
func TestPageShowsTheExample(t *testing.T) {
	page, err := os.ReadFile("../../docs/BACKENDS.md")
	assert.NilError(t, err)
	code, err := os.ReadFile("example_test.go")
	assert.NilError(t, err)
	want := strings.NewReplacer("package announcer_test", "package main", "func Example()", "func main()").Replace(string(code))
	assert.Assert(t, strings.Contains(string(page), "```go\n"+want+"```\n"), "the page's example differs from example_test.go")
}
