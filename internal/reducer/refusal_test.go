package reducer

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/configurer"
	"github.com/jackdawtide/jackdawtide/internal/definer"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// The only endpoint of a service is full. The call must be refused as shed: a refusal that says that the service has no
// backend server would make operators look for a missing VM instead of an overload.
func TestFullEndpointIsReportedAsOverload(t *testing.T) {
	w := newSimulatedNode(t.Fatalf)
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

// A team has a valid key but no rate in the preset in force, for instance in a preset for peaks. If the refusal only
// said that the rate is exceeded, with a short retry delay, the team's program would retry endlessly.
func TestRefusalNamesTeamWithoutRate(t *testing.T) {
	w := newSimulatedNode(t.Fatalf)
	w.publish(configurer.IssueKey{Change: w.change("m", 0), Key: definer.Key{Hash: "cc33", Team: "surveyors"}})
	w.advance(clock.Second)
	c := w.call("cc33", "ice", "GET", "", 0)
	r := w.calls[c].refusal
	assert.Equal(t, r.Reason, RateExceeded)
	assert.Equal(t, r.Detail, "team surveyors has no rate in preset ordinary")
	assert.Equal(t, r.RetryAfter, 10*clock.Second)
	assert.Assert(t, r.NotRun)
}
