package reducer

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// The only endpoint of a service is full. The caller would read that the service has no backend server, and its
// operators would look for a VM that is gone instead of for an overload.
func TestFullEndpointIsNoMissingOne(t *testing.T) {
	w := newWorld(t.Fatalf)
	for _, id := range iceEndpoints[1:] {
		w.state.router.Remove(id)
	}
	c := w.call(testKey, "ice", "GET", "", 0)
	f := w.forwards[0]
	w.apply(&AnswerEnded{
		Call: f.Call, Phase: Answered, Replayable: true, Wall: w.wall(), Tail: &Tail{Threshold: identifier.MaxRank},
		Refusal: &RemoteRefusal{Reason: EndpointFull, NotRun: true},
	})
	a := w.calls[c]
	assert.Equal(t, a.refusal.Reason, Shed)
	assert.Assert(t, a.refusal.NotRun)
}
