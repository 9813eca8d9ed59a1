package reducer

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/encoder"
)

// All other nodes of a fleet have failed. The remaining node must read the log itself; otherwise it would learn of a
// withdrawn key only when its newest log contact is too old, seconds after the operator got the withdrawal confirmed.
func TestLoneNodeReadsTheLog(t *testing.T) {
	w := &simulatedNode{now: 1, fail: t.Fatalf}
	w.state = New(Options{Self: "a1", Domain: "alfa", Address: "127.0.0.1:1", Seed: 7, Decode: encoder.Decode})
	w.advance(clock.Second)
	assert.Assert(t, w.state.configurer.Reads())
}
