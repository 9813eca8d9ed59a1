package reducer

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

// Guards against nodes that stood still and then remove their healthy backend servers, whose heartbeats waited meanwhile.
func TestHeartbeatsThatWaitedForTheNodeCount(t *testing.T) {
	w := newSimulatedNode(t.Fatalf)
	w.now = w.now.Add(3 * clock.Second)
	w.apply(&Tick{Wall: w.wall()})
	w.advance(clock.Second)
	assert.Equal(t, len(w.state.backends), len(iceEndpoints)+len(boardEndpoints))
}

// Guards against silent backend servers that stay because the node's ticks are late.
func TestSilentBackendIsRemovedByLateTicks(t *testing.T) {
	w := newSimulatedNode(t.Fatalf)
	for range 20 {
		w.now = w.now.Add(150 * clock.Millisecond)
		w.apply(&Tick{Wall: w.wall()})
	}
	assert.Equal(t, len(w.state.backends), 0)
}
