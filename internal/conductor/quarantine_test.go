package conductor

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/quarantiner"
)

// Guards against innocent requests that are quarantined with the one beside which they ran at each endpoint that ended.
func TestSuspectsRunApart(t *testing.T) {
	c := newConductor("portal")
	announceEndpoint(c, 10, 1, false, 0)
	suspects := []identifier.Fingerprint{1, 2}
	for number := range int64(2) {
		c.Apply(EndReceived{End: quarantiner.End{ID: quarantiner.EndID{Node: "a", Number: number}, Fingerprints: suspects}}, 0)
	}
	deliver := func(id CallID, f identifier.Fingerprint) Effect {
		return c.Apply(DeliveryArrived{ID: id, Endpoint: "i-self", Deadline: 5000, Fingerprints: []identifier.Fingerprint{f}}, 100)[0]
	}
	run := func(e Effect) bool { _, ok := e.(Run); return ok }
	assert.Assert(t, run(deliver(1, 1)))
	assert.Equal(t, deliver(2, 2).(TurnAway).Reason, Quarantined)
	assert.Assert(t, run(deliver(3, 3)))
	c.Apply(DeliveryEnded{ID: 1, Outcome: Answered}, 200)
	assert.Assert(t, run(deliver(4, 2)))
	report := onlyEffect[ReportEnd](t, c.Apply(EndpointEnded{ID: 9, Endpoint: "i-self"}, 300)[:1])
	assert.DeepEqual(t, report.End.Fingerprints, []identifier.Fingerprint{2, 3})
	for f, want := range map[identifier.Fingerprint]quarantiner.Verdict{
		1: {}, 2: {Ends: 3, Alone: true, Quarantined: true, Left: 30 * clock.Second}, 3: {Ends: 1},
	} {
		assert.Equal(t, c.Verdict([]identifier.Fingerprint{f}, 300), want)
	}
}

// Guards against an endpoint that ends without a word and so clears the request that ended it.
func TestRunToItsDeadlineAtASilentEndpointClearsNothing(t *testing.T) {
	for name, test := range map[string]struct{ answers, accepts bool }{
		"answers others": {answers: true}, "accepts a connection": {accepts: true}, "silent": {},
	} {
		t.Run(name, func(t *testing.T) {
			c := newConductor("portal")
			announceEndpoint(c, 10, 1, false, 0)
			prints := []identifier.Fingerprint{1}
			c.Apply(EndReceived{End: quarantiner.End{ID: quarantiner.EndID{Node: "a"}, Fingerprints: prints}}, 0)
			c.Apply(DeliveryArrived{ID: 1, Endpoint: "i-self", Deadline: 1000, Fingerprints: prints}, 0)
			if test.accepts {
				assert.Assert(t, c.SilentDuring(1, 700))
				c.Apply(EndpointAlive{}, 700)
			}
			if test.answers {
				c.Apply(DeliveryArrived{ID: 2, Endpoint: "i-self", Deadline: 1000}, 0)
				c.Apply(DeliveryEnded{ID: 2, Outcome: Answered}, 900)
			}
			c.Apply(DeliveryEnded{ID: 1, Outcome: Late}, 1000)
			assert.Equal(t, c.Verdict(prints, 1000).Ends == 0, test.answers || test.accepts)
		})
	}
}
