package conductor

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

// chainFixture is a node of a fleet in which portal runs "obs", which calls clock four times, and "plain", which makes
// no calls.
type chainFixture struct {
	*Conductor
	id     CallID
	excess float64
}

func newChainFixture(t *testing.T) *chainFixture {
	inner := route("in", "clock", matcher.Idempotent)
	inner.Public = true
	c := &chainFixture{Conductor: newConductor("x")}
	configure(t, c.Conductor, configuration(1, route("obs", "portal", matcher.Idempotent),
		route("plain", "portal", matcher.Idempotent), inner), 0)
	learnMembers(c.Conductor, peer("a", "portal"), peer("b", "clock"))
	return c
}

func (c *chainFixture) report(now clock.Time, clockState exchanger.State) {
	deep := peer("b", "clock")
	deep.State, deep.Sequence = clockState, int64(now)+2
	c.Apply(ReportsReceived{Reports: []exchanger.Report{
		{
			Member: peer("a", "portal"), Number: int64(now) + 1, Load: 100,
			Calls: map[identifier.Route]map[identifier.Route]float64{"obs": {"in": 4}, "plain": {}, unknownRoute: {"in": 0.0}},
		},
		{
			Member: deep, Number: int64(now) + 1, Load: 100, Excess: c.excess,
			Calls: map[identifier.Route]map[identifier.Route]float64{"in": {}},
		},
	}}, now)
	c.Apply(Ticked{}, now)
}

// simulate sends requests for both routes and returns, by path, how many were refused for the given reason.
func (c *chainFixture) simulate(from, to clock.Time, clockState exchanger.State, reason Reason) map[string]int {
	refused := map[string]int{}
	for now := from; now < to; now += 5 {
		if now%100 == 0 {
			c.report(now, clockState)
		}
		for _, path := range []string{"/obs/x", "/plain/x"} {
			c.id++
			for _, e := range c.Apply(arrival(c.id, path), now) {
				if f, ok := e.(Refuse); ok && f.Reason == reason && f.RetryAfter > 0 {
					refused[path]++
				}
			}
			c.Apply(RequestClosed{ID: c.id}, now)
		}
	}
	return refused
}

// The service at the end of a chain is overloaded. Requests at the same endpoint that make no nested calls add nothing
// to its load; if they were refused as well, their callers would lose answers that cost that service nothing.
func TestRequestWithoutNestedCallsIsNotShed(t *testing.T) {
	c := newChainFixture(t)
	c.excess = 0.5
	refused := c.simulate(0, 4000, exchanger.Ready, Pressure)
	assert.Assert(t, refused["/obs/x"] > 250, "%v", refused)
	assert.Equal(t, refused["/plain/x"], 0)
}

// A service has lost its last endpoint. Requests that lead to it would run up to the call that needs it and fail, so
// their callers are refused at once with a time to retry. Other requests are served, and all are when the service
// returns.
func TestMissingServiceRefusesRootRequests(t *testing.T) {
	c := newChainFixture(t)
	assert.Equal(t, len(c.simulate(0, 1000, exchanger.Ready, NoEndpoint)), 0)
	short := c.simulate(1000, 1200, exchanger.Absent, NoEndpoint)
	assert.Equal(t, short["/obs/x"], 0)
	refused := c.simulate(1200, 3200, exchanger.Absent, NoEndpoint)
	assert.Assert(t, refused["/obs/x"] > 350, "%v", refused)
	assert.Equal(t, refused["/plain/x"], 0)
	c.simulate(3200, 3300, exchanger.Ready, NoEndpoint)
	assert.Equal(t, len(c.simulate(3300, 4300, exchanger.Ready, NoEndpoint)), 0)
}

// Nodes whose reports are missing may still serve: if silence counted as absence, a fleet would refuse everything
// whenever reports are late.
func TestSilentNodesDoNotMakeServiceMissing(t *testing.T) {
	c := newChainFixture(t)
	c.simulate(0, 1000, exchanger.Ready, NoEndpoint)
	refused := 0
	for now := clock.Time(1000); now < 8000; now += 25 {
		c.Apply(Ticked{}, now)
		c.id++
		for _, e := range c.Apply(arrival(c.id, "/obs/x"), now) {
			if f, ok := e.(Refuse); ok && f.Reason == NoEndpoint {
				refused++
			}
		}
		c.Apply(RequestClosed{ID: c.id}, now)
	}
	assert.Equal(t, refused, 0)
}

// Nested calls are counted for the run that makes them if its id is known, otherwise for all runs.
func TestNestedCallsAreCountedByParentRoute(t *testing.T) {
	inner := route("in", "clock", matcher.Idempotent)
	inner.Public = true
	for name, c := range map[string]struct {
		parent       identifier.Request
		own, unknown float64
	}{
		"known parent":   {parent: "r", own: 2},
		"no parent":      {unknown: 1},
		"unknown parent": {parent: "other", unknown: 1},
	} {
		t.Run(name, func(t *testing.T) {
			k := newConductor("portal")
			configure(t, k, configuration(1, route("obs", "portal", matcher.Idempotent), route("plain", "portal", matcher.Idempotent), inner), 0)
			learnMembers(k, peer("b", "clock"))
			announceEndpoint(k, 10, 1, false, 0)
			for id := CallID(1); id <= 60; id += 3 {
				onlyEffect[Run](t, k.Apply(DeliveryArrived{ID: id, Request: "r", Host: "h", Path: "/obs/x", Endpoint: "i-self", Deadline: 9000, Due: 900}, 0))
				for range 2 {
					nested := arrival(id+1, "/in/x")
					nested.Key, nested.Parent = "", c.parent
					k.Apply(nested, 0)
					k.Apply(RequestClosed{ID: id + 1}, 0)
				}
				k.Apply(DeliveryEnded{ID: id, Outcome: Answered}, 10)
				onlyEffect[Run](t, k.Apply(DeliveryArrived{ID: id + 2, Request: "p", Host: "h", Path: "/plain/x", Endpoint: "i-self", Deadline: 9000, Due: 900}, 10))
				k.Apply(DeliveryEnded{ID: id + 2, Outcome: Answered}, 20)
			}
			calls := k.Report(20).Calls
			assert.Equal(t, calls["obs"]["in"], c.own)
			assert.Equal(t, calls[unknownRoute]["in"], c.unknown)
			assert.Equal(t, len(calls["plain"]), 0)
		})
	}
}
