package receiver

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/reducer"
)

// Callers' programs are written from the interface page. A reason or status missing there would reach them for the first
// time in production, unhandled.
func TestInterfacePageListsEachRefusal(t *testing.T) {
	page, err := os.ReadFile("../../docs/INTERFACE.md")
	assert.NilError(t, err)
	internal := []reducer.Reason{reducer.EndpointFull, reducer.EndpointLeaving}
	for _, r := range internal {
		assert.Equal(t, titles[r], "")
	}
	rows := 0
	for r := range titles {
		row := fmt.Sprintf("\n| `%s` | %d |", r, r.Status())
		assert.Equal(t, strings.Count(string(page), row), 1, "%q", row)
		rows++
	}
	table := string(page)[strings.Index(string(page), "| reason | status |"):]
	assert.Equal(t, strings.Count(table, "\n| `"), rows+len(internal))
}
