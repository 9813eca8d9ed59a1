package conductor

// Each node needs a proof, every few seconds, that its configuration is the newest. The fleet's collector reads the
// operators' topic of the store often. Its answers carry its proof and any new configuration to the collectors of the
// failure domains, whose answers carry them to their nodes. A change therefore costs one call to the store instead of
// one per node. A node whose proof becomes too old reads the store itself, collectors before other nodes.
//
// Example: a node learned 300 ms ago that version 7 was the newest 900 ms before: it waits for version 8 at its
// collector. It then receives no answer for 1.5 s: that read ends, and the node reads the store.

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	// The fleet's collector keeps its reads open for collectorWaitTenths tenths of ApplyWithin, the time in which a new
	// configuration must be in force. Its proof is at most twice that old, and the exchanges add less than half of
	// ApplyWithin on the way to a node.
	collectorWaitTenths = 2
	// collectorProofTenths and nodeProofTenths are the ages, in tenths of ApplyWithin, up to which another node's proof
	// suffices for a collector and for any other node. Collectors read the store earlier, so that their nodes need not;
	// the remaining time is for two reads, the first of which gets no answer.
	collectorProofTenths = 6
	nodeProofTenths      = 8
	// proofTrustedFor is how long one exchange counts: three exchange periods.
	proofTrustedFor = 1500 * clock.Millisecond
	// A node that relies on no other node's proof keeps its reads open for RevokeWithin divided by revokeWaitDivisor: a
	// proof is as old as its read was open, and twice as old when the next one arrives.
	revokeWaitDivisor = 3
	// coveredWait is how long a read stays open while other nodes' proofs suffice, slightly less than the longest that
	// stores of this kind allow.
	coveredWait = 28 * clock.Second
	// firstWait is how long a read stays open before there is any configuration whose proof could expire.
	firstWait = 10 * clock.Second
	// newerTimeout is how long after learning of a newer configuration the node's own open read may take to deliver it.
	// Both arrive by different paths, some tens of milliseconds apart on a busy VM.
	newerTimeout = 200 * clock.Millisecond
	// newerWait is how long a read stays open while a newer configuration is known to exist. It is not zero, because a
	// configuration that can't be applied here would be requested in a busy loop.
	newerWait = 100 * clock.Millisecond
)

// receivedProof is the latest proof received in an exchange of reports.
type receivedProof struct {
	receivedAt clock.Time
	asOf       clock.Time
	known      bool
	from       identifier.Node
	// newestVersion is the newest version known to other nodes, nextOrders the largest offset up to which one of them
	// knows the operators' orders, as last said at nextOrdersAt, and newerSince when this node first learned that it lacks one
	// of them.
	newestVersion identifier.Version
	nextOrders    identifier.Offset
	nextOrdersAt  clock.Time
	newerSince    clock.Time
}

func (c *Conductor) learnProof(e ProofReceived, now clock.Time) {
	c.acceptProof(ConfigurationProved{Version: e.Version, AsOf: e.AsOf, From: e.From})
	if !c.knowsOfNewer() {
		c.receivedProof.newerSince = now
	}
	c.receivedProof.newestVersion = max(c.receivedProof.newestVersion, e.Version)
	if p := &c.receivedProof; e.Next >= p.nextOrders || now.Sub(p.nextOrdersAt) > proofTrustedFor {
		// An offset that nobody names any more is that of a topic that was created again.
		p.nextOrders, p.nextOrdersAt = e.Next, now
	}
	c.receivedProof.receivedAt, c.receivedProof.asOf, c.receivedProof.known, c.receivedProof.from = now, e.AsOf, true, e.From
}

// covered reports whether the proof from the latest exchange of reports suffices. The fleet's collector can't rely on
// other nodes, because the nodes it asks rely on it.
func (c *Conductor) covered(now, boot clock.Time) bool {
	if c.CollectsForFleet(now) {
		return false
	}
	tenths := clock.Duration(nodeProofTenths)
	if c.CollectsForDomain(now) {
		tenths = collectorProofTenths
	}
	p := c.receivedProof
	return p.known && now.Sub(p.receivedAt) <= proofTrustedFor && boot.Sub(p.asOf) <= c.options.Bounds.ApplyWithin*tenths/10
}

// knowsOfNewer reports whether another node has a newer configuration or later orders.
func (c *Conductor) knowsOfNewer() bool {
	return c.receivedProof.newestVersion > c.Version() || c.receivedProof.nextOrders > c.ordersNext
}

// lacksNewer reports whether a newer configuration or order has been known of for longer than it should take to arrive.
func (c *Conductor) lacksNewer(now clock.Time) bool {
	return c.knowsOfNewer() && now.Sub(c.receivedProof.newerSince) > newerTimeout
}

func (c *Conductor) learnOrders(e OrdersRead) {
	if e.Restarted {
		c.ordersNext, c.receivedProof.nextOrders = e.Next, e.Next
		return
	}
	c.ordersNext = max(c.ordersNext, e.Next)
}

// OrdersNext returns the offset up to which the operators' orders are known.
func (c *Conductor) OrdersNext() identifier.Offset {
	return c.ordersNext
}

// ReadWait returns how long a read of the configuration may stay open, at a time given by both clocks.
func (c *Conductor) ReadWait(now, boot clock.Time) clock.Duration {
	switch {
	case c.lacksNewer(now):
		return newerWait
	case c.covered(now, boot):
		return coveredWait
	case c.matcher == nil:
		return firstWait
	case c.CollectsForDomain(now):
		return c.options.Bounds.ApplyWithin * collectorWaitTenths / 10
	default:
		return c.options.Bounds.RevokeWithin / revokeWaitDivisor
	}
}

// ConfigurationSource returns the node at which to wait for a newer configuration; without one the store has to be
// read.
func (c *Conductor) ConfigurationSource(now, boot clock.Time) (exchanger.Member, bool) {
	if c.exchangeFailed || c.lacksNewer(now) {
		return exchanger.Member{}, false
	}
	return c.ProvingNode(now, boot)
}

// ProvingNode returns the node on whose proof this node relies.
func (c *Conductor) ProvingNode(now, boot clock.Time) (exchanger.Member, bool) {
	if !c.covered(now, boot) {
		return exchanger.Member{}, false
	}
	m, ok := c.members[c.receivedProof.from]
	return m, ok
}
