package conductor

import (
	"testing"

	"gotest.tools/v3/assert"

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
