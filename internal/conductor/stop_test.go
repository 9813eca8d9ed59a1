package conductor

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

// The nodes are restarted one after the other while a failure domain is partitioned off, so that the only reachable
// endpoint is beside a stopping node. The endpoint is healthy and its node still forwards requests; without it, callers
// would be refused for the duration of the restart.
func TestStoppingNodeIsLastChoice(t *testing.T) {
	stopping := peer("a", "portal")
	stopping.State = exchanger.Stopping
	c := readyConductor(t, matcher.Idempotent, stopping)
	assert.Equal(t, onlyEffect[Send](t, c.Apply(arrival(1, "/obs/x"), 0)).Node, identifier.Node("a"))
	learnMembers(c, peer("b", "portal"))
	for id := CallID(2); id < 50; id++ {
		assert.Equal(t, onlyEffect[Send](t, c.Apply(arrival(id, "/obs/x"), 0)).Node, identifier.Node("b"))
	}
}

// An endpoint that has announced that it leaves gets no more requests, regardless of its node's state.
func TestLeavingEndpointGetsNoRequests(t *testing.T) {
	leaving := peer("a", "portal")
	leaving.State = exchanger.Leaving
	c := readyConductor(t, matcher.Idempotent, leaving)
	onlyEffect[Hold](t, c.Apply(arrival(1, "/obs/x"), 0))
	assert.Equal(t, len(c.Apply(Ticked{}, 25)), 0)
	assert.Equal(t, onlyEffect[Refuse](t, c.Apply(Ticked{}, 200)).Reason, NoEndpoint)
}

// A stopping node that accepted requests until its end would break off the last ones; it turns them away while their
// senders can still use another endpoint.
func TestStoppingNodeTurnsLateRequestsAway(t *testing.T) {
	c := newConductor("portal")
	announceEndpoint(c, 10, 1, false, 0)
	c.Apply(StopRequested{}, 1000)
	inTime := DeliveryArrived{ID: 1, Endpoint: "i-self", Deadline: 9000, QueueTimeout: 100, Due: 9000}
	onlyEffect[Run](t, c.Apply(inTime, 2900))
	late := inTime
	late.ID = 2
	assert.Equal(t, onlyEffect[TurnAway](t, c.Apply(late, 3100)).Outcome, Moved)
}

// A stopping node accepts a request that may last longer than the node: the request would be cut off, or its endpoint would not
// know that it has to answer before.
func TestStoppingNodeAcceptsOnlyWhatItCanAnswer(t *testing.T) {
	const begun, end = 1000, 6250
	for name, test := range map[string]struct {
		at       clock.Time
		left     clock.Duration
		nested   bool
		deadline clock.Time
	}{
		"early, ends in time":          {at: 1500, left: 800, deadline: 2300},
		"early, may last longer":       {at: 1500, left: 6000, deadline: end},
		"late, ends in time":           {at: 5000, left: 1200, deadline: 6200},
		"late, may last longer":        {at: 5000, left: 1300},
		"late nested, may last longer": {at: 5000, left: 1300, nested: true, deadline: end},
		"at the end":                   {at: 6200, left: 20},
		"nested call at the end":       {at: 6200, left: 20, nested: true},
		"until callers have left":      {at: 3700, left: 6000, deadline: end},
		"after callers have left":      {at: 3900, left: 6000},
	} {
		t.Run(name, func(t *testing.T) {
			c := newConductor("desk")
			r := route("obs", "portal", matcher.Idempotent)
			r.Public = test.nested
			configure(t, c, configuration(1, r), 0)
			learnMembers(c, peer("a", "portal"))
			c.Apply(StopRequested{End: end}, begun)
			e := arrival(1, "/obs/x")
			e.Left = test.left
			if test.nested {
				e.Key = ""
			}
			effects := c.Apply(e, test.at)
			if test.deadline > 0 {
				assert.Equal(t, onlyEffect[Send](t, effects).Deadline, test.deadline)
				return
			}
			refusal := onlyEffect[Refuse](t, effects)
			assert.Equal(t, refusal.Status, 503)
			assert.Equal(t, refusal.Reason, NodeStopping)
			assert.Assert(t, refusal.RetryAfter > 0)
		})
	}
}
