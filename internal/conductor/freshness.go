package conductor

// Each node needs a proof, every few seconds, that its configuration is the newest. If each asked the store for it, the
// store would answer all nodes all the time: 18 nodes that asked every 1.7 s made 540 of the 966 calls of a calm day. So
// only the node that the others exchange reports with asks often, and its answers carry its proof. The others keep one
// long read open, by which they learn of a new configuration at once.
//
// Example: a node heard 300 ms ago that version 7 was the newest 900 ms before: its read may stay open. It then hears
// nothing for 1.5 s: the read is ended, and it asks for itself.

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	// A proof is as old as the read that brought it was open, and once more as old when the next one comes. So a node that
	// others rely on keeps reads open for a fifth of the time in which a withdrawn key must be dead: with the exchange's
	// period, a proof is half of that time old at most. One that asks only for itself keeps them open for a third.
	providePart = 5
	askPart     = 3
	// coveredTenths of that time are the age up to which another node's proof is enough; what is left is for an own read
	// and one more try.
	coveredTenths = 6
	// coveredFor is how long one exchange counts: three periods.
	coveredFor = 1500 * clock.Millisecond
	// longWait is how long a read stays open where others' proofs are enough; by it alone a silenced connection to the
	// store would not be noticed before. It is a little less than the longest that stores of this kind allow.
	longWait = 28 * clock.Second
	// newerPatience is how long after hearing of a newer configuration the node's own open read may take to bring it:
	// both come by different ways, with some tens of milliseconds between them on a busy VM.
	newerPatience = 200 * clock.Millisecond
	// newerWait is how long a read waits while a newer configuration is known of. It is not nothing, since one that can't be
	// put in force here would be asked for without pause.
	newerWait = 100 * clock.Millisecond
)

// proofs is what the node that reports are exchanged with said of the configuration.
type proofs struct {
	heard clock.Time
	asOf  clock.Time
	any   bool
	// newer is a version that this node lacks, since when it was first heard of.
	newer identifier.Version
	since clock.Time
}

func (c *Conductor) hearProof(e ProofHeard, now clock.Time) {
	c.prove(ConfigurationProved(e))
	if e.Version > c.Version() {
		if c.proofs.newer <= c.Version() {
			c.proofs.since = now
		}
		c.proofs.newer = e.Version
	}
	c.proofs.heard, c.proofs.asOf, c.proofs.any = now, e.AsOf, true
}

// ReadWait returns how long a read of the configuration may stay open at this moment, by both clocks.
func (c *Conductor) ReadWait(now, boot clock.Time) clock.Duration {
	revoke := c.options.Bounds.Revoke
	p := c.proofs
	switch {
	case p.newer > c.Version() && now.Sub(p.since) > newerPatience:
		return newerWait
	case p.any && now.Sub(p.heard) <= coveredFor && boot.Sub(p.asOf) <= revoke*coveredTenths/10:
		return longWait
	case c.IsAsked(now):
		return revoke / providePart
	default:
		return revoke / askPart
	}
}
