// Candidates for a claim without a holder. Each candidate waits according to its place in a rendezvous-hashing order,
// so that a fleet that starts all at once appends one record for each name and not thousands.
//
// Example: of members a, b, c the order for "rates/alfa/2" is b, a, c: b claims at once, a after 3 s, c after 6 s,
// each with some jitter and only if it has read no record of the claim until then.

package claimer

import (
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	rankDelay = 3 * clock.Second
	maxJitter = 500 * clock.Millisecond
	maxRank   = 10
)

// score returns the weight of a node for a name in rendezvous hashing; the highest weight wins.
func score(n Name, m identifier.Node) uint64 {
	return xxh3.HashStringSeed(string(m), xxh3.HashString(string(n)))
}

// pickWitness returns the member with the highest score as the holder's witness. It never returns this node or the
// holder, and returns the node to avoid only if there is no other.
func (c *Claimer) pickWitness(l *claim, holder, avoid identifier.Node) identifier.Node {
	var best, fallback identifier.Node
	for _, m := range c.members {
		switch {
		case m == c.options.Self || m == holder:
		case m == avoid:
			fallback = m
		case best == "" || score(l.name, m) > score(l.name, best):
			best = m
		}
	}
	if best == "" {
		return fallback
	}
	return best
}

func (c *Claimer) pickSuccessor(l *claim) identifier.Node {
	if l.witness != "" && slices.Contains(c.members, l.witness) {
		return l.witness
	}
	return c.pickWitness(l, c.options.Self, "")
}

// rank returns the number of members with a higher score than this node, at most maxRank.
func (c *Claimer) rank(n Name) int {
	own := score(n, c.options.Self)
	before := 0
	for _, m := range c.members {
		if m != c.options.Self && score(n, m) > own {
			before++
		}
	}
	return min(before, maxRank)
}

// candidateDelay returns how long this node waits before it claims the name. The jitter is drawn once for each name,
// at the start, so that the sequence of random draws is reproducible.
func (c *Claimer) candidateDelay(l *claim) clock.Duration {
	return clock.Duration(c.rank(l.name))*rankDelay + l.jitter
}

func (c *Claimer) scheduleCandidate(l *claim, now clock.Time) {
	switch {
	case l.known || !c.logUp || len(c.members) == 0:
		l.candidateAt = clock.Never
	default:
		l.candidateAt = now.Add(c.candidateDelay(l))
	}
}

func (c *Claimer) tickCandidate(l *claim, now clock.Time, effects []Effect) []Effect {
	if c.leaving || l.watched || !c.mayAppend(l, now) {
		return effects
	}
	r := Claim{Epoch: l.epoch + 1, Holder: c.options.Self}
	switch {
	case !l.known && now >= l.candidateAt:
		r.Kind = Found
		r.Start = c.logStart
		// Every record that the log has dropped has an epoch of at most its offset plus one.
		r.Epoch = identifier.Epoch(c.logStart) + 1
	case l.known && l.holder != c.options.Self && c.maySeize(l, now):
		r.Kind = Seizure
		r.After = l.lastOffset
	default:
		return effects
	}
	// The witness is picked only when a record is due. With 80 nodes in a domain, ranking all members for each claim
	// at each tick would take 88% of the processor time of the nodes' state machines (package reducer).
	r.Witness = c.pickWitness(l, c.options.Self, l.holder)
	return c.appendRecord(l, r, now, effects)
}

// maySeize reports whether even a holder that is partitioned from all other nodes has stopped by itself, and this
// node's candidate delay after that has passed.
func (c *Claimer) maySeize(l *claim, now clock.Time) bool {
	holderStoppedAt := max(l.readAt, c.logUpAt).Add(c.options.LongTerm + c.options.Margin)
	return now >= holderStoppedAt && now >= holderStoppedAt.Add(c.candidateDelay(l))
}
