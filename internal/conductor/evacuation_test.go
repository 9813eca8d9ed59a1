package conductor

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

func inDomain(m exchanger.Member, domain identifier.FailureDomain) exchanger.Member {
	m.Domain = domain
	return m
}

func evacuate(c *Conductor, now clock.Time, domains ...identifier.FailureDomain) []Effect {
	return c.Apply(DomainsEvacuated{Domains: domains}, now)
}

// The endpoints of an evacuated domain must get no requests, regardless of the state of the other endpoints.
func TestEvacuatedDomainGetsNoRequests(t *testing.T) {
	c := coldConductor(t)
	learnMembers(c, inDomain(peer("a", "desk"), "west"), inDomain(peer("b", "desk"), "east"))
	evacuate(c, 0, "west")
	for id := range CallID(20) {
		assert.Equal(t, onlyEffect[Send](t, c.Apply(arrival(id, "/obs/x"), 0)).Endpoint, identifier.Endpoint("i-b"))
		again := c.Apply(AttemptEnded{ID: id, Outcome: Moved, Replayable: true}, 5)
		for _, e := range again {
			s, ok := e.(Send)
			assert.Assert(t, !ok || s.Endpoint != "i-a")
		}
		c.Apply(RequestClosed{ID: id}, 10)
	}
}

// If the only domain of a service is evacuated, its requests are refused as not run.
func TestEvacuationOfTheOnlyDomain(t *testing.T) {
	c := coldConductor(t)
	learnMembers(c, inDomain(peer("a", "desk"), "west"))
	evacuate(c, 0, "west", "east")
	onlyEffect[Hold](t, c.Apply(arrival(1, "/obs/x"), 0))
	effects := c.Apply(Ticked{}, 600)
	refused := onlyEffect[Refuse](t, effects)
	assert.Equal(t, refused.Status, 503)
	assert.Equal(t, refused.Reason, Evacuated)
	evacuate(c, 700)
	onlyEffect[Send](t, c.Apply(arrival(2, "/obs/x"), 700))
}

// A node in an evacuated domain turns away queued requests and those still sent by nodes that do not know of the
// evacuation yet; running requests finish.
func TestEvacuatedNodeTurnsDeliveriesAway(t *testing.T) {
	c := coldConductor(t)
	announceEndpoint(c, 1, 1, false, 0)
	onlyEffect[Run](t, c.Apply(DeliveryArrived{ID: 1, Endpoint: "i-self", Deadline: 700, QueueTimeout: 300, Due: 300}, 0))
	onlyEffect[Hold](t, c.Apply(DeliveryArrived{ID: 2, Endpoint: "i-self", Deadline: 700, QueueTimeout: 300, Due: 300}, 0))
	turned := onlyEffect[TurnAway](t, evacuate(c, 10, "west"))
	assert.Equal(t, turned.ID, CallID(2))
	assert.Equal(t, turned.Outcome, Moved)
	late := onlyEffect[TurnAway](t, c.Apply(DeliveryArrived{ID: 3, Endpoint: "i-self", Deadline: 700, QueueTimeout: 300, Due: 300}, 20))
	assert.Equal(t, late.Outcome, Moved)
	assert.Equal(t, len(c.Apply(DeliveryEnded{ID: 1, Outcome: Answered}, 50)), 0)
}

// The endpoints of a domain that returns from evacuation may be cold. Their own node and the sending nodes limit them
// to their cold rate.
func TestReturnedDomainIsCold(t *testing.T) {
	c := coldConductor(t)
	announceCold(c, "i-1", 1, 0, 0)
	evacuate(c, 100, "west")
	checked := false
	for _, e := range evacuate(c, 8000) {
		_, asks := e.(CheckEndpoint)
		checked = checked || asks
	}
	assert.Assert(t, checked)
	most := runsPerSecond(c, "i-1", 8010, 10000)
	assert.Assert(t, most >= 8 && most <= maxColdRunsPerSecond, "%d runs began within one second, expected 8 to maxColdRunsPerSecond", most)
}

// An endpoint that reports itself as warm after the evacuation is used in full at once.
func TestReturnedDomainReportedWarm(t *testing.T) {
	c := coldConductor(t)
	announceCold(c, "i-1", 1, 0, 0)
	evacuate(c, 100, "west")
	evacuate(c, 8000)
	c.Apply(EndpointChecked{Endpoint: "i-1", Known: true}, 8005)
	assert.Assert(t, runsPerSecond(c, "i-1", 8010, 9500) > 150)
}

// Requests are not sent to a domain that has just returned from evacuation while another domain has warm endpoints.
func TestReturnedDomainIsLastChoice(t *testing.T) {
	c := coldConductor(t)
	learnMembers(c, inDomain(peer("a", "desk"), "east"), inDomain(peer("b", "desk"), "west"))
	evacuate(c, 0, "west")
	evacuate(c, 100)
	for id := range CallID(20) {
		assert.Equal(t, onlyEffect[Send](t, c.Apply(arrival(id, "/obs/x"), 100)).Endpoint, identifier.Endpoint("i-a"))
	}
}

// A node that learns of later orders than its own reads them from the store; otherwise it would send requests to an
// evacuated domain until its open read returns.
func TestNewerOrdersTriggerStoreRead(t *testing.T) {
	c := coldConductor(t)
	learnMembers(c, peer("a", "desk"))
	c.Apply(ReportsReceived{Reports: []exchanger.Report{{Member: peer("a", "desk"), Number: 1}}}, 0)
	c.Apply(OrdersRead{Next: 5}, 0)
	c.Apply(ProofReceived{From: "a", Version: 3, AsOf: boot, Next: 5}, 0)
	assert.Assert(t, !c.lacksNewer(1000))
	c.Apply(ProofReceived{From: "a", Version: 3, AsOf: boot + 1000, Next: 6}, 1000)
	assert.Assert(t, c.lacksNewer(clock.Time(1001+newerTimeout)))
	_, ok := c.ConfigurationSource(clock.Time(1001+newerTimeout), boot+1000)
	assert.Assert(t, !ok)
	c.Apply(OrdersRead{Next: 6}, 1300)
	assert.Assert(t, !c.lacksNewer(1400))
}
