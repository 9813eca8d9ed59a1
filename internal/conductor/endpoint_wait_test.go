package conductor

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

func absentMember(node identifier.Node) exchanger.Member {
	m := peer(node, "portal")
	m.State, m.Endpoint, m.Sequence = exchanger.Absent, "", 2
	return m
}

func returnedMember(node identifier.Node) exchanger.Member {
	m := peer(node, "portal")
	m.Endpoint, m.Sequence = "i-anew", 3
	return m
}

// A service has no endpoint for a moment, for instance after a power loss. If a backend server's nested call is refused
// then, the request that it belongs to fails after all its work, and the caller has to start again.
func TestNestedCallWaitsForAnEndpoint(t *testing.T) {
	c := newConductor("desk")
	r := route("obs", "portal", matcher.Idempotent)
	r.Public = true
	configure(t, c, configuration(1, r), 0)
	learnMembers(c, peer("a", "portal"), absentMember("a"))
	nested := arrival(1, "/obs/x")
	nested.Key, nested.Left = "", 700
	onlyEffect[Hold](t, c.Apply(nested, 0))
	for now := clock.Time(25); now < 200; now += 25 {
		assert.Equal(t, len(c.Apply(Ticked{}, now)), 0)
	}
	c.Apply(MemberLearned{Member: returnedMember("a")}, 201)
	assert.Equal(t, onlyEffect[Send](t, c.Apply(Ticked{}, 225)).Endpoint, identifier.Endpoint("i-anew"))
}

// No endpoint appears. The request has certainly not run and is refused as such; its caller is told to retry late
// enough for an endpoint to be available, and soon enough to be served.
func TestRequestIsRefusedAfterEndpointWait(t *testing.T) {
	for name, c := range map[string]struct {
		key         string
		left        clock.Duration
		refusedAt   clock.Time
		least, most clock.Duration
	}{
		"root request":                  {key: "k", left: 5000, refusedAt: 150, least: 500, most: 1500},
		"root request with little time": {key: "k", left: 900, refusedAt: 150, least: 75, most: 300},
		"nested call":                   {left: 700, refusedAt: 250, least: 75, most: 225},
		"nested call with much time":    {left: 2100, refusedAt: 700, least: 75, most: 467},
	} {
		t.Run(name, func(t *testing.T) {
			k := newConductor("desk")
			r := route("obs", "portal", matcher.Idempotent)
			r.Public = c.key == ""
			configure(t, k, configuration(1, r), 0)
			learnMembers(k, peer("a", "portal"), absentMember("a"))
			e := arrival(1, "/obs/x")
			e.Key, e.Left = c.key, c.left
			onlyEffect[Hold](t, k.Apply(e, 0))
			now := clock.Time(25)
			effects := k.Apply(Ticked{}, now)
			for ; len(effects) == 0; effects = k.Apply(Ticked{}, now) {
				now += 25
			}
			refusal := onlyEffect[Refuse](t, effects)
			assert.Equal(t, refusal.Status, 503)
			assert.Assert(t, now <= c.refusedAt, "refused at %d, expected no later than refusedAt", now)
			assert.Assert(t, refusal.RetryAfter >= c.least && refusal.RetryAfter <= c.most, "got RetryAfter %d, expected least to most", refusal.RetryAfter)
			assert.Assert(t, k.Idle())
		})
	}
}

// The caller disconnects while its request waits: nothing may be sent for it any more.
func TestClosedRequestStopsWaiting(t *testing.T) {
	c := readyConductor(t, matcher.Idempotent, peer("a", "portal"))
	learnMembers(c, absentMember("a"))
	onlyEffect[Hold](t, c.Apply(arrival(1, "/obs/x"), 0))
	c.Apply(RequestClosed{ID: 1}, 10)
	c.Apply(MemberLearned{Member: returnedMember("a")}, 20)
	assert.Equal(t, len(c.Apply(Ticked{}, 25)), 0)
	assert.Assert(t, c.Idle())
}

// A non-idempotent request was sent, no answer arrived, and no endpoint is left. It may have run, so it must not wait to
// be sent again.
func TestNonIdempotentRequestThatMayHaveRunDoesNotWait(t *testing.T) {
	c := readyConductor(t, matcher.NonIdempotent, peer("a", "portal"))
	onlyEffect[Send](t, c.Apply(arrival(1, "/obs/x"), 0))
	learnMembers(c, absentMember("a"))
	refusal := onlyEffect[Refuse](t, c.Apply(AttemptEnded{ID: 1, Outcome: Broken, Replayable: true}, 10))
	assert.Equal(t, refusal.Status, 502)
}
