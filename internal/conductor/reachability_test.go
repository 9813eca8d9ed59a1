package conductor

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

func memberIn(domain identifier.FailureDomain, m exchanger.Member) exchanger.Member {
	m.Domain = domain
	return m
}

// A failure domain is partitioned off while idempotent requests and a non-idempotent one are in flight there. Without an
// abort, the callers of the idempotent requests would wait until their deadline; the non-idempotent one may have run and
// must not be answered as not run. After that, no further request may go there: a non-idempotent request sent on a dead
// connection can't be sent again.
func TestUnreachableDomainIsAvoidedWithinASecond(t *testing.T) {
	c := newConductor("desk")
	configure(t, c, configuration(3, route("obs", "portal", matcher.Idempotent), route("ord", "clock", matcher.NonIdempotent)), 0)
	learnMembers(c, memberIn("east", peer("a", "portal")), memberIn("east", peer("b", "clock")))
	assert.Equal(t, onlyEffect[Send](t, c.Apply(arrival(1, "/obs/x"), 1000)).Node, identifier.Node("a"))
	assert.Equal(t, onlyEffect[Send](t, c.Apply(arrival(2, "/ord/x"), 1000)).Node, identifier.Node("b"))
	learnMembers(c, memberIn("north", peer("c", "portal")), memberIn("north", peer("d", "clock")))
	var probes []identifier.Node
	for now := clock.Time(1025); now <= 1300; now += 25 {
		for _, e := range c.Apply(Ticked{}, now) {
			probes = append(probes, e.(Probe).Node)
		}
	}
	assert.DeepEqual(t, probes, []identifier.Node{"a", "b"})
	assert.Equal(t, onlyEffect[Abort](t, c.Apply(Probed{Node: "a"}, 1550)).ID, CallID(1))
	onlyEffect[Abort](t, c.Apply(Probed{Node: "b"}, 1550))
	// The idempotent request is sent elsewhere, and so are all new requests.
	assert.Equal(t, onlyEffect[Send](t, c.Apply(AttemptEnded{ID: 1, Outcome: Broken, Replayable: true}, 1551)).Node, identifier.Node("c"))
	for id := CallID(10); id < 30; id++ {
		assert.Equal(t, onlyEffect[Send](t, c.Apply(arrival(id, "/ord/x"), 1600)).Node, identifier.Node("d"))
	}
	// When its attempt ends, the non-idempotent request is answered as possibly run.
	assert.Equal(t, onlyEffect[Refuse](t, c.Apply(AttemptEnded{ID: 2, Outcome: Late, Replayable: true}, 6000)).Status, 504)
}

// A node answers again after a partition. It gets requests as before, without waiting for a report.
func TestReachableNodeIsUsedAgain(t *testing.T) {
	c := readyConductor(t, matcher.Idempotent, memberIn("east", peer("a", "portal")))
	c.Apply(arrival(1, "/obs/x"), 1000)
	c.Apply(Probed{Node: "a"}, 1550)
	assert.Assert(t, c.detector.Lost("a"))
	c.Apply(Probed{Node: "a", Reached: true}, 2100)
	c.Apply(ReportsReceived{Reports: []exchanger.Report{{Member: memberIn("east", peer("a", "portal")), Number: 1}}}, 2200)
	c.Apply(Ticked{}, 2500)
	assert.Equal(t, onlyEffect[Send](t, c.Apply(arrival(2, "/obs/x"), 2600)).Node, identifier.Node("a"))
}
