package conductor

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
	"github.com/jackdawtide/jackdawtide/internal/registrar"
)

const (
	coldStartTime = 3 * clock.Second
	// coldMost is what a cold endpoint may get in one second: 8.7 x 1.5 + 8.
	coldMost = 21
)

// coldConductor is one beside an endpoint of desk, in a fleet that bounds what cold endpoints get.
func coldConductor(t *testing.T) *Conductor {
	t.Helper()
	c := newConductor("desk")
	c.options.Bounds.Cold = ColdBound{Excess: 1.5, Slack: 8}
	config := configuration(3, route("obs", "desk", matcher.Idempotent))
	for i := range config.Services {
		config.Services[i].ColdRate, config.Services[i].ColdStart = 8.7, coldStartTime
		config.Services[i].HealthPath = "/health"
	}
	configure(t, c, config, 0)
	return c
}

// ownRecord is the node's record from before its start.
func ownRecord() exchanger.Member {
	return exchanger.Member{
		Node: "self", DeliveryAddress: "d", PeerAddress: "p", Service: "desk", Endpoint: "i-1", Slots: 45, State: exchanger.Ready, Sequence: 7,
	}
}

func announceCold(c *Conductor, id identifier.Endpoint, sequence int64, left clock.Duration, now clock.Time) []Effect {
	return c.Apply(EndpointAnnounced{Announcement: registrar.Announcement{
		Endpoint: id, Service: "desk", Address: "10.0.0.1:80", Slots: 45, Started: 1, Sequence: sequence, ColdLeft: left,
	}}, now)
}

// runsPerSecond offers a call each 5 ms, ends each run after 40 ms, and returns the most runs begun within any second.
func runsPerSecond(c *Conductor, id identifier.Endpoint, from, until clock.Time) int {
	var begun []clock.Time
	ends := map[clock.Time][]CallID{}
	take := func(effects []Effect, now clock.Time) {
		for _, e := range effects {
			if r, ok := e.(Run); ok {
				begun = append(begun, now)
				ends[now+40] = append(ends[now+40], r.ID)
			}
		}
	}
	next := CallID(from) * 100
	for now := from; now < until; now += 5 {
		for _, call := range ends[now] {
			take(c.Apply(DeliveryEnded{ID: call, Outcome: Answered}, now), now)
		}
		if now%25 == 0 {
			take(c.Apply(Ticked{}, now), now)
		}
		next++
		take(c.Apply(DeliveryArrived{
			ID: next, Endpoint: id, Deadline: now + 700, QueueTimeout: 233, Due: now + 300, Nested: true,
		}, now), now)
	}
	most := 0
	for first := range begun {
		n := 0
		for _, at := range begun[first:] {
			if at-begun[first] <= 1000 {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// However an endpoint comes to be cold, more calls a second than it bears would crash it, and it would come back cold.
func TestColdEndpointGetsWhatItBears(t *testing.T) {
	tests := map[string]func(t *testing.T, c *Conductor) identifier.Endpoint{
		"started": func(_ *testing.T, c *Conductor) identifier.Endpoint {
			announceCold(c, "i-1", 1, coldStartTime, 0)
			return "i-1"
		},
		"cold again under its id": func(_ *testing.T, c *Conductor) identifier.Endpoint {
			announceCold(c, "i-1", 1, 0, 0)
			announceCold(c, "i-1", 2, coldStartTime, 0)
			return "i-1"
		},
		"assumed after a restart of the node": func(_ *testing.T, c *Conductor) identifier.Endpoint {
			c.Apply(MemberLearned{Member: ownRecord()}, 0)
			return "i-1"
		},
		"assumed, and cold by its own word": func(t *testing.T, c *Conductor) identifier.Endpoint {
			effects := c.Apply(MemberLearned{Member: ownRecord()}, 0)
			assert.Equal(t, effects[0].(CheckEndpoint).Path, "/health")
			c.Apply(EndpointChecked{Endpoint: "i-1", ColdLeft: coldStartTime, Known: true}, 5)
			return "i-1"
		},
		"assumed, and its word can't be read": func(_ *testing.T, c *Conductor) identifier.Endpoint {
			c.Apply(MemberLearned{Member: ownRecord()}, 0)
			c.Apply(EndpointChecked{Endpoint: "i-1"}, 5)
			return "i-1"
		},
	}
	for name, start := range tests {
		t.Run(name, func(t *testing.T) {
			c := coldConductor(t)
			id := start(t, c)
			most := runsPerSecond(c, id, 10, 2000)
			assert.Assert(t, most >= 8 && most <= coldMost, "%d runs begun within a second", most)
		})
	}
}

// Before a configuration is known the rate is not either, and requests of other nodes come all the same.
func TestColdEndpointBeforeAConfiguration(t *testing.T) {
	c := newConductor("desk")
	c.options.Bounds.Cold = ColdBound{Excess: 1.5, Slack: 8}
	announceCold(c, "i-1", 1, coldStartTime, 0)
	assert.Assert(t, runsPerSecond(c, "i-1", 10, 2000) <= coldMost)
}

// If only the node was started anew, its endpoint is warm and must be used at once.
func TestAssumedEndpointThatIsWarmIsUsed(t *testing.T) {
	c := coldConductor(t)
	c.Apply(MemberLearned{Member: ownRecord()}, 0)
	c.Apply(EndpointChecked{Endpoint: "i-1", Known: true}, 5)
	assert.Assert(t, runsPerSecond(c, "i-1", 10, 1200) > 150)
}

// An endpoint that gives no clear answer is asked again: taken for cold for the whole cold start, a fleet whose processes were
// all killed would refuse nearly everything for three seconds beside endpoints that are warm.
func TestAssumedEndpointIsAskedAgain(t *testing.T) {
	c := coldConductor(t)
	c.Apply(MemberLearned{Member: ownRecord()}, 0)
	c.Apply(EndpointChecked{Endpoint: "i-1"}, 5)
	asked := 0
	for now := clock.Time(25); now <= 1000; now += 25 {
		for _, e := range c.Apply(Ticked{}, now) {
			if _, ok := e.(CheckEndpoint); ok {
				asked++
			}
		}
	}
	assert.Equal(t, asked, 4)
	c.Apply(EndpointChecked{Endpoint: "i-1", Known: true}, 1005)
	assert.Assert(t, runsPerSecond(c, "i-1", 1010, 2500) > 150)
}

// An endpoint that has warmed up must be used in full at once; measured while it was cold, it would pass for slow for seconds.
func TestWarmEndpointIsUsedInFull(t *testing.T) {
	c := coldConductor(t)
	announceCold(c, "i-1", 1, coldStartTime, 0)
	runsPerSecond(c, "i-1", 10, 3100)
	c.Apply(Ticked{}, 3125)
	assert.Equal(t, c.throttler.Excess(), 0.0)
	assert.Assert(t, runsPerSecond(c, "i-1", 3130, 4200) > 150)
}

// Requests go to warm endpoints while there are any, and to a cold one rather than to none.
func TestColdEndpointIsTheLastChoice(t *testing.T) {
	c := coldConductor(t)
	cold, warm := peer("a", "desk"), peer("b", "desk")
	cold.ColdLeft = coldStartTime
	learn(c, cold)
	assert.Equal(t, one[Send](t, c.Apply(arrival(1, "/obs/x"), 0)).Endpoint, identifier.Endpoint("i-a"))
	learn(c, warm)
	for id := range CallID(20) {
		assert.Equal(t, one[Send](t, c.Apply(arrival(id+2, "/obs/x"), 0)).Endpoint, identifier.Endpoint("i-b"))
	}
	// The node beside it says that it is warm.
	report := exchanger.Report{Member: cold, Number: 1}
	c.Apply(ReportsHeard{Reports: []exchanger.Report{report}}, 100)
	used := map[identifier.Endpoint]bool{}
	for id := range CallID(40) {
		used[one[Send](t, c.Apply(arrival(id+30, "/obs/x"), 100)).Endpoint] = true
	}
	assert.Assert(t, used["i-a"] && used["i-b"])
}
