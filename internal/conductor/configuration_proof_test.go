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
	const heard, revoke = clock.Time(10_000), clock.Duration(5000)
	tests := map[string]struct {
		version int
		age     clock.Duration
		after   clock.Duration
		want    clock.Duration
	}{
		"a fresh proof elsewhere":           {version: 3, age: 900, after: 300, want: coveredWait},
		"an old proof elsewhere":            {version: 3, age: 3100, after: 0, want: revoke / revokeWaitDivisor},
		"a proof that has grown old":        {version: 3, age: 2200, after: 1000, want: revoke / revokeWaitDivisor},
		"a proof as old as a change may be": {version: 3, age: 1500, after: 200, want: revoke / revokeWaitDivisor},
		"nothing heard for long":            {version: 3, age: 0, after: 1600, want: revoke / revokeWaitDivisor},
		"a newer configuration, just now":   {version: 4, age: 100, after: 100, want: coveredWait},
		"a newer configuration, and again":  {version: 4, age: 100, after: 300, want: newerWait},
		"an older configuration elsewhere":  {version: 2, age: 100, after: 300, want: coveredWait},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newConductor("desk")
			configure(t, c, configuration(3, route("obs", "portal", matcher.Idempotent)), 0)
			c.Apply(MemberLearned{Member: peer("a", "portal")}, heard)
			c.Apply(ReportsReceived{Reports: []exchanger.Report{{Member: peer("a", "portal"), Number: 1}}}, heard)
			c.Apply(ProofReceived{Version: identifier.Version(test.version), AsOf: boot.Add(-test.age)}, heard)
			assert.Equal(t, c.ReadWait(heard.Add(test.after), boot.Add(test.after)), test.want)
		})
	}
	// A node that nobody answers is the one that the others will ask.
	c := newConductor("desk")
	assert.Equal(t, c.ReadWait(heard, boot), firstWait)
	configure(t, c, configuration(3, route("obs", "portal", matcher.Idempotent)), 0)
	assert.Equal(t, c.ReadWait(heard, boot), 2000*collectorWaitTenths/10*clock.Millisecond)
}

// The node that provides the proofs is cut off from the store without a word, and a new configuration is accepted. The others
// must read the store while there is still time to put it in force.
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
		assert.Equal(t, relayed, after <= 1600, "at %d", after)
		assert.Equal(t, relayed, c.ReadWait(now, proved.Add(after)) == coveredWait, "at %d", after)
		assert.Equal(t, relayed, source.Node == "a", "at %d", after)
	}
}

// A collector that is gone, or a newer configuration that it does not hand out, must not keep a node from reading the store.
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

// The fleet's collector looks for members that are missing, and must not take their word for the store's: they rely on it.
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

// A configuration comes by the read that has been open for long, so that its answer proves nothing of the last seconds.
// What another node proved a second ago still holds; were it forgotten, every change would be followed by refusals of
// all keyed requests until the next proof.
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
	// One of an older version does up to the moment when the newer one came: nothing newer was there before.
	c.Apply(ConfigurationProved{Version: 3, AsOf: boot.Add(900)}, 9000)
	assert.Assert(t, c.keysProved(boot.Add(5800)))
	c.Apply(ConfigurationProved{Version: 3, AsOf: boot.Add(9000)}, 9000)
	assert.Assert(t, !c.keysProved(boot.Add(9000)))
}

// Nodes that exchange reports leave the members' topic to the one that they ask. When that one is gone, each follows the
// topic itself, or a node that is started meanwhile would not be known.
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

// Slow news after a restart of all nodes keep each team at equal parts of its rate, and callers within it are refused; slow
// news between collectors would make a failure domain's view old.
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
	// Its collector is silent, so it collects for its domain and asks the other's.
	receiveReport(other, 8000)
	assert.Equal(t, c.ExchangePeriod(8000), shortPeriod)
}
