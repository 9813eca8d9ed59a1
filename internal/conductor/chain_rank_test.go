package conductor

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

// All nested calls of a request must have its rank. With independent ranks, an overloaded service drops some calls of
// every request, and each request fails after most of its work.
func TestNestedCallsInheritRankOfRoot(t *testing.T) {
	c := newConductor("desk")
	nested := route("calc", "clock", matcher.Idempotent)
	nested.Public = true
	configure(t, c, configuration(3, route("order", "desk", matcher.NonIdempotent), nested), 0)
	learnMembers(c, peer("a", "clock"))
	announceEndpoint(c, 10, 1, false, 0)
	rank := identifier.MakeRank(identifier.Low, 2, 77)
	onlyEffect[Run](t, c.Apply(DeliveryArrived{
		ID: 1, Request: "r7", Host: "h", Path: "/order/x", Endpoint: "i-self", Rank: rank, Deadline: 900, QueueTimeout: 200, Due: 300,
	}, 0))
	for id := range CallID(8) {
		s := onlyEffect[Send](t, c.Apply(RequestArrived{ID: 10 + id, Host: "h", Path: "/calc/x", Parent: "r7", Left: 700, Boot: boot}, 10))
		assert.Equal(t, s.Rank, rank)
		assert.Assert(t, s.Nested)
	}
	// A call with an unknown parent takes precedence over everything that can be shed.
	s := onlyEffect[Send](t, c.Apply(RequestArrived{ID: 30, Host: "h", Path: "/calc/x", Parent: "gone", Left: 700, Boot: boot}, 10))
	assert.Equal(t, s.Rank.Priority(), identifier.Urgent)
}
