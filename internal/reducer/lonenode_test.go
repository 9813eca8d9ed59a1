package reducer

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/encoder"
)

// All other nodes of a fleet are gone. The one left must go on reading the log by itself; else it would hear of a withdrawn
// key only when its news has grown stale, seconds after the operator was told that the key is withdrawn.
func TestLoneNodeReadsTheLog(t *testing.T) {
	w := &simulatedNode{now: 1, fail: t.Fatalf}
	w.state = New(Options{Self: "a1", Domain: "alfa", Address: "127.0.0.1:1", Seed: 7, Decode: encoder.Decode})
	w.advance(clock.Second)
	assert.Assert(t, w.state.configurer.Reads())
}
