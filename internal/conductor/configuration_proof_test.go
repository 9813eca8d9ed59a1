package conductor

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

func TestReadWait(t *testing.T) {
	const receivedAt, revoke = clock.Time(10_000), clock.Duration(5000)
	tests := map[string]struct {
		version int
		age     clock.Duration
		after   clock.Duration
		want    clock.Duration
	}{
		"recent proof from a peer":            {version: 3, age: 900, after: 300, want: coveredWait},
		"old proof from a peer":               {version: 3, age: 3100, after: 0, want: revoke / revokeWaitDivisor},
		"proof became too old":                {version: 3, age: 2200, after: 1000, want: revoke / revokeWaitDivisor},
		"proof slightly older than allowed":   {version: 3, age: 1500, after: 200, want: revoke / revokeWaitDivisor},
		"no exchange for too long":            {version: 3, age: 0, after: 1600, want: revoke / revokeWaitDivisor},
		"newer configuration, within timeout": {version: 4, age: 100, after: 100, want: coveredWait},
		"newer configuration, after timeout":  {version: 4, age: 100, after: 300, want: newerWait},
		"peer has older configuration":        {version: 2, age: 100, after: 300, want: coveredWait},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newConductor("desk")
			configure(t, c, configuration(3, route("obs", "portal", matcher.Idempotent)), 0)
			c.Apply(MemberLearned{Member: peer("a", "portal")}, receivedAt)
			c.Apply(ReportsReceived{Reports: []exchanger.Report{{Member: peer("a", "portal"), Number: 1}}}, receivedAt)
			c.Apply(ProofReceived{Version: identifier.Version(test.version), AsOf: boot.Add(-test.age)}, receivedAt)
			assert.Equal(t, c.ReadWait(receivedAt.Add(test.after), boot.Add(test.after)), test.want)
		})
	}
	// A node without a peer that answers is the fleet's collector.
	c := newConductor("desk")
	assert.Equal(t, c.ReadWait(receivedAt, boot), firstWait)
	configure(t, c, configuration(3, route("obs", "portal", matcher.Idempotent)), 0)
	assert.Equal(t, c.ReadWait(receivedAt, boot), 2000*collectorWaitTenths/10*clock.Millisecond)
}

// The node that provides the proofs loses contact with the store unnoticed, and a new configuration is accepted. The
// other nodes must read the store while there is still time to apply the configuration.
func TestStaleProofTriggersStoreRead(t *testing.T) {
	c := newConductor("desk")
	configure(t, c, configuration(3, route("obs", "portal", matcher.Idempotent)), 0)
	learnMembers(c, peer("a", "portal"))
	proved := boot
	for after := clock.Duration(0); after < 2000; after += 100 {
		now := clock.Time(10_000).Add(after)
		c.Apply(PeerAnswered{Node: "a", Answer: exchanger.Answer{Reports: []exchanger.Report{
			{Member: peer("a", "portal"), Number: int64(after) + 1},
		}}}, now)
		c.Apply(ProofReceived{From: "a", Version: 3, AsOf: proved}, now)
		source, relayed := c.ConfigurationSource(now, proved.Add(after))
		assert.Equal(t, relayed, after <= 1600, "%d ms after the proof", after)
		assert.Equal(t, relayed, c.ReadWait(now, proved.Add(after)) == coveredWait, "%d ms after the proof", after)
		assert.Equal(t, relayed, source.Node == "a", "%d ms after the proof", after)
	}
}

// A failed collector, or one that does not pass on a newer configuration, must not keep a node from reading the store.
func TestConfigurationSourceIsAbandoned(t *testing.T) {
	tests := map[string]Event{
		"no answer":       PeerFailed{Node: "a"},
		"a newer version": ProofReceived{From: "a", Version: 4, AsOf: boot},
	}
	for name, event := range tests {
		t.Run(name, func(t *testing.T) {
			c := newConductor("desk")
			configure(t, c, configuration(3, route("obs", "portal", matcher.Idempotent)), 0)
			learnMembers(c, peer("a", "portal"))
			c.Apply(PeerAnswered{Node: "a", Answer: exchanger.Answer{Reports: []exchanger.Report{{Member: peer("a", "portal"), Number: 1}}}}, 1000)
			c.Apply(ProofReceived{From: "a", Version: 3, AsOf: boot}, 1000)
			_, relayed := c.ConfigurationSource(1000, boot)
			assert.Assert(t, relayed)
			c.Apply(event, 1000)
			_, relayed = c.ConfigurationSource(1000+clock.Time(newerTimeout)+1, boot)
			assert.Assert(t, !relayed)
		})
	}
}

// The fleet's collector searches for missing members, but must not accept their proofs in place of the store's: they
// rely on its own.
func TestFleetCollectorReadsStore(t *testing.T) {
	c := newConductor("desk")
	configure(t, c, configuration(3, route("obs", "portal", matcher.Idempotent)), 0)
	announceEndpoint(c, 10, 1, false, 0)
	z := peer("z", "portal")
	learnMembers(c, z)
	c.Apply(PeerAnswered{Node: "z", Answer: exchanger.Answer{Reports: []exchanger.Report{{Member: z, Number: 1}}}}, 1000)
	c.Apply(ProofReceived{From: "z", Version: 3, AsOf: boot}, 1000)
	assert.Assert(t, c.CollectsForFleet(1000))
	_, relayed := c.ConfigurationSource(1000, boot)
	assert.Assert(t, !relayed)
}

// A configuration arrives by a read that has been open for long, so its answer proves nothing about the last seconds.
// What another node proved a second ago still holds; if it were dropped, all keyed requests would be refused after
// every change until the next proof.
func TestNewConfigurationKeepsTheProof(t *testing.T) {
	c := newConductor("desk")
	configure(t, c, configuration(3, route("obs", "portal", matcher.Idempotent)), 0)
	m, err := matcher.New(configuration(4, route("obs", "portal", matcher.Idempotent)))
	assert.NilError(t, err)
	c.Apply(ConfigurationRead{Matcher: m, At: boot.Add(1000)}, 1000)
	assert.Assert(t, c.keysProved(boot.Add(1000)))
	// A proof of a version that this node lacks proves nothing here.
	c.Apply(ConfigurationProved{Version: 5, AsOf: boot.Add(9000)}, 9000)
	assert.Assert(t, !c.keysProved(boot.Add(9000)))
	// A proof of an older version holds up to the moment when the newer one arrived: until then there was nothing
	// newer.
	c.Apply(ConfigurationProved{Version: 3, AsOf: boot.Add(900)}, 9000)
	assert.Assert(t, c.keysProved(boot.Add(5800)))
	c.Apply(ConfigurationProved{Version: 3, AsOf: boot.Add(9000)}, 9000)
	assert.Assert(t, !c.keysProved(boot.Add(9000)))
}

// Nodes that exchange reports leave it to the fleet's collector to follow the members' topic. When the collector fails,
// each node follows the topic itself; otherwise a node started in the meantime would stay unknown.
func TestNodeFollowsStoreWithoutReports(t *testing.T) {
	c := newConductor("desk")
	learnMembers(c, peer("a", "portal"))
	assert.Assert(t, c.FollowsStore(0))
	report := exchanger.Report{Member: peer("a", "portal"), Number: 1}
	c.Apply(PeerAnswered{Node: "a", Answer: exchanger.Answer{Reports: []exchanger.Report{report}}}, 1000)
	assert.Assert(t, !c.FollowsStore(1100))
	assert.Assert(t, c.FollowsStore(2600))
	c.Apply(PeerAnswered{Node: "a", Answer: exchanger.Answer{Cursor: exchanger.Cursor{Change: 1}}}, 2700)
	assert.Assert(t, !c.FollowsStore(2800))
	c.Apply(PeerFailed{Node: "a"}, 2900)
	assert.Assert(t, c.FollowsStore(2900))
}

// If reports spread slowly after a restart of all nodes, each node keeps an equal share of a team's rate and refuses
// callers within the rate; if they spread slowly between collectors, a failure domain works with outdated reports.
func TestExchangePeriods(t *testing.T) {
	c := newConductor("desk")
	announceEndpoint(c, 10, 1, false, 0)
	learnMembers(c, peer("a", "portal"))
	other := peer("b", "portal")
	other.Domain = "east"
	learnMembers(c, other)
	receiveReport := func(m exchanger.Member, now clock.Time) {
		report := exchanger.Report{Member: m, Number: int64(now)}
		c.Apply(PeerAnswered{Node: m.Node, Answer: exchanger.Answer{Reports: []exchanger.Report{report}}}, now)
	}
	receiveReport(peer("a", "portal"), 100)
	assert.Equal(t, c.ExchangePeriod(100), shortPeriod)
	receiveReport(peer("a", "portal"), 4000)
	assert.Equal(t, c.ExchangePeriod(4000), exchangePeriod)
	// The domain's other node is silent, so this node collects for its domain and asks the other domain's collector.
	receiveReport(other, 8000)
	assert.Equal(t, c.ExchangePeriod(8000), shortPeriod)
}

// Guards against a node that asks the store ten times a second for ever, since another node once knew an offset of a topic that
// was created again.
func TestOffsetsOfATopicThatIsGoneAreForgotten(t *testing.T) {
	c := newConductor("desk")
	configure(t, c, configuration(3, route("obs", "portal", matcher.Idempotent)), 0)
	learnMembers(c, peer("a", "desk"))
	c.Apply(OrdersRead{Next: 57}, 0)
	c.Apply(OrdersRead{Next: 1, Restarted: true}, 1000)
	assert.Equal(t, c.OrdersNext(), identifier.Offset(1))
	c.Apply(ProofReceived{From: "a", Version: 3, AsOf: boot, Next: 57}, 1100)
	assert.Assert(t, c.lacksNewer(1400))
	for now := clock.Time(1600); now <= 3100; now += 500 {
		c.Apply(ProofReceived{From: "a", Version: 3, AsOf: boot, Next: 1}, now)
	}
	assert.Assert(t, !c.lacksNewer(3100))
}

// Guards against a node that serves withdrawn keys since it proves its version the newest, although it knows of a newer one: it reads
// a topic that was created again at the offset of the one before.
func TestVersionOlderThanAKnownOneIsNotProved(t *testing.T) {
	c := newConductor("desk")
	configure(t, c, configuration(3, route("obs", "portal", matcher.Idempotent)), 0)
	learnMembers(c, peer("a", "desk"))
	c.Apply(ProofReceived{From: "a", Version: 4, AsOf: boot + 1000}, 1000)
	c.Apply(ConfigurationProved{Version: 3, AsOf: boot + 2000}, 2000)
	_, at, _ := c.ProvedAt()
	assert.Equal(t, at, boot)
	m, err := matcher.New(configuration(4, route("obs", "portal", matcher.Idempotent)))
	assert.NilError(t, err)
	c.Apply(ConfigurationRead{Matcher: m, At: boot + 3000}, 3000)
	c.Apply(ConfigurationProved{Version: 4, AsOf: boot + 3000}, 3000)
	_, at, _ = c.ProvedAt()
	assert.Equal(t, at, boot+3000)
}
