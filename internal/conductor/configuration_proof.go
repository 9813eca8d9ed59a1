package conductor

// Each node needs a proof, every few seconds, that its configuration is the newest. The fleet's collector reads the
// operators' topic of the store often, and its answers carry its proof and a new configuration to the collectors of the
// failure domains, whose answers carry them to their nodes. So a change costs the store one call and not one of every node.
// A node whose proof grows old reads the store by itself, collectors before the others.
//
// Example: a node heard 300 ms ago that version 7 was the newest 900 ms before: it waits for version 8 at its collector. It
// then hears nothing for 1.5 s: that read is ended, and it asks the store.

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	// The fleet's collector keeps its reads open for provideTenths of the time in which a new configuration must be in
	// force. Its proof is twice that old at most, and the exchanges add less than half of that time on the way to a node.
	collectorWaitTenths = 2
	// collectorProofTenths and coveredTenths of that time are the ages up to which another node's proof is enough for a collector
	// and for any other node. Collectors read earlier, so that their nodes need not; what is left is for the read.
	collectorProofTenths = 6
	nodeProofTenths      = 8
	// proofTrustedFor is how long one exchange counts: three periods.
	proofTrustedFor = 1500 * clock.Millisecond
	// revokeWaitDivisor of the time in which a withdrawn key must be dead is how long a node keeps its reads open that asks only for
	// itself: a proof is as old as the read that brought it was open, and once more as old when the next one comes.
	revokeWaitDivisor = 3
	// coveredWait is how long a read stays open where others' proofs are enough, a little less than the longest that stores of
	// this kind allow.
	coveredWait = 28 * clock.Second
	// firstWait is how long a read stays open before there is any configuration, whose proof could grow old.
	firstWait = 10 * clock.Second
	// newerTimeout is how long after hearing of a newer configuration the node's own open read may take to bring it:
	// both come by different ways, with some tens of milliseconds between them on a busy VM.
	newerTimeout = 200 * clock.Millisecond
	// newerWait is how long a read waits while a newer configuration is known of. It is not nothing, since one that can't be
	// put in force here would be asked for without pause.
	newerWait = 100 * clock.Millisecond
)

// receivedProof is what the node that reports are exchanged with said of the configuration.
type receivedProof struct {
	receivedAt clock.Time
	asOf       clock.Time
	known      bool
	from       identifier.Node
	// newestVersion is a version that this node lacks, next an offset up to which it does not know the operators' orders, and since
	// when one of them was first heard of.
	newestVersion identifier.Version
	nextOrders    identifier.Offset
	newerSince    clock.Time
}

func (c *Conductor) learnProof(e ProofReceived, now clock.Time) {
	c.acceptProof(ConfigurationProved{Version: e.Version, AsOf: e.AsOf})
	if !c.knowsOfNewer() {
		c.receivedProof.newerSince = now
	}
	c.receivedProof.newestVersion = max(c.receivedProof.newestVersion, e.Version)
	c.receivedProof.nextOrders = max(c.receivedProof.nextOrders, e.Next)
	c.receivedProof.receivedAt, c.receivedProof.asOf, c.receivedProof.known, c.receivedProof.from = now, e.AsOf, true, e.From
}

// covered tells whether the proof of the node that reports were last exchanged with is enough. The fleet's collector has
// nobody to rely on: those that it asks rely on it.
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

// knowsOfNewer tells whether another node knows a newer configuration or later orders.
func (c *Conductor) knowsOfNewer() bool {
	return c.receivedProof.newestVersion > c.Version() || c.receivedProof.nextOrders > c.ordersNext
}

// lacksNewer tells whether a newer configuration or order has been known of for longer than it should take to come.
func (c *Conductor) lacksNewer(now clock.Time) bool {
	return c.knowsOfNewer() && now.Sub(c.receivedProof.newerSince) > newerTimeout
}

// OrdersNext returns up to which offset the operators' orders are known.
func (c *Conductor) OrdersNext() identifier.Offset {
	return c.ordersNext
}

// ReadWait returns how long a read of the configuration may stay open at this moment, by both clocks.
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

// ConfigurationSource returns the node to wait at for a newer configuration; with none the store has to be read.
func (c *Conductor) ConfigurationSource(now, boot clock.Time) (exchanger.Member, bool) {
	if c.exchangeFailed || c.lacksNewer(now) {
		return exchanger.Member{}, false
	}
	return c.ProvingNode(now, boot)
}

// ProvingNode returns the node whose proof is relied on.
func (c *Conductor) ProvingNode(now, boot clock.Time) (exchanger.Member, bool) {
	if !c.covered(now, boot) {
		return exchanger.Member{}, false
	}
	m, ok := c.members[c.receivedProof.from]
	return m, ok
}
