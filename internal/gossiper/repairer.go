// Gossip is probabilistic, so a change can miss a member. Every ping therefore carries a hash of the sender's table; if
// it differs and the table has settled, the two nodes compare bucket hashes and exchange only the records that differ.
// Without this anti-entropy a member could keep sending requests to a server that left long ago.
//
// Example: n1 has missed that n7 left. The next ping from n2 has another hash; Digest, Summary and Members follow,
// about 1 kB in a domain of 482.

package gossiper

import (
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	// repairInterval is the minimum time between two comparisons that a node starts.
	repairInterval = 500 * clock.Millisecond
	// settleTime is how long a table must be unchanged before a difference starts a comparison. While the table keeps
	// changing, one difference in unsettledOdds starts one all the same.
	settleTime    = 300 * clock.Millisecond
	unsettledOdds = 4
	// maxMembers is the upper bound of records in one Members message.
	maxMembers = 64
)

type repairer struct {
	next clock.Time
}

func (g *Gossiper) startComparison(with identifier.Node, hash uint64, now clock.Time) []Effect {
	if hash == g.ownTable.hash() || now < g.repairer.next {
		return nil
	}
	if now.Sub(g.ownTable.lastChange) < settleTime && g.options.Rand.IntN(unsettledOdds) > 0 {
		return nil
	}
	g.repairer.next = now.Add(repairInterval)
	return []Effect{g.send(with, digestOf(g.ownTable))}
}

func digestOf(t *table) Digest {
	return Digest{Domain: t.domain, Buckets: slices.Clone(t.buckets[:])}
}

// tableOf returns this node's table of a domain, nil if it has none.
func (g *Gossiper) tableOf(d identifier.FailureDomain) *table {
	if d == g.ownTable.domain {
		return g.ownTable
	}
	return g.relayer.tables[d]
}

func (g *Gossiper) receiveDigest(from identifier.Node, m Digest) []Effect {
	t := g.tableOf(m.Domain)
	if t == nil || len(m.Buckets) != bucketCount {
		return nil
	}
	mask := uint32(0)
	for i, b := range m.Buckets {
		if b != t.buckets[i] {
			mask |= 1 << i
		}
	}
	if mask == 0 {
		return nil
	}
	if o := g.relayer.remotes[m.Domain]; o != nil {
		o.remainingProbes = max(o.remainingProbes, 1)
	}
	s := Summary{Domain: m.Domain, Mask: mask}
	for _, n := range t.namesInBuckets(mask) {
		e := t.members[n]
		s.Entries = append(s.Entries, Entry{Node: n, Incarnation: e.Incarnation, State: e.State})
	}
	return []Effect{g.send(from, s)}
}

func (g *Gossiper) receiveSummary(from identifier.Node, m Summary) []Effect {
	t := g.tableOf(m.Domain)
	if t == nil {
		return nil
	}
	remoteEntries := make(map[identifier.Node]Entry, len(m.Entries))
	var wanted []identifier.Node
	for _, e := range m.Entries {
		remoteEntries[e.Node] = e
		o := t.members[e.Node]
		record := Member{Incarnation: e.Incarnation, State: e.State}
		if (o == nil && record.up()) || (o != nil && supersedes(record, o.Member)) {
			wanted = append(wanted, e.Node)
		}
	}
	var newerLocally []identifier.Node
	for _, n := range t.namesInBuckets(m.Mask) {
		own := t.members[n].Member
		e, known := remoteEntries[n]
		if (!known && own.up()) || (known && supersedes(own, Member{Incarnation: e.Incarnation, State: e.State})) {
			newerLocally = append(newerLocally, n)
		}
	}
	if len(wanted)+len(newerLocally) == 0 {
		return nil
	}
	return g.sendMembers(from, t, newerLocally, wanted)
}

func (g *Gossiper) receiveMembers(from identifier.Node, m Members, now clock.Time) []Effect {
	var effects []Effect
	if m.Domain == g.ownTable.domain {
		effects = g.applyUpdates(g.suspectUnconfirmed(from, m.Members), now)
	} else {
		effects = g.applyRemoteMembers(m, now)
	}
	t := g.tableOf(m.Domain)
	if t == nil || len(m.Wanted) == 0 {
		return effects
	}
	return append(effects, g.sendMembers(from, t, m.Wanted, nil)...)
}

// suspectUnconfirmed marks members as suspect that only another domain reports as alive. If a whole domain has died,
// other domains still hold its old records, and the domain's first new node would use the dead members until it has
// pinged them all.
func (g *Gossiper) suspectUnconfirmed(from identifier.Node, members []Member) []Member {
	if g.ownTable.members[from] != nil {
		return members
	}
	suspected := slices.Clone(members)
	for i, m := range suspected {
		e := g.ownTable.members[m.Node]
		if m.State == Alive && m.Node != from && m.Node != g.self.Node && (e == nil || !e.up()) {
			suspected[i].State = Suspect
		}
	}
	return suspected
}

func (g *Gossiper) sendMembers(to identifier.Node, t *table, names, wanted []identifier.Node) []Effect {
	var effects []Effect
	m := Members{Domain: t.domain, Wanted: wanted}
	for _, n := range names {
		e := t.members[n]
		if e == nil {
			continue
		}
		m.Members = append(m.Members, e.Member)
		if len(m.Members) == maxMembers {
			effects = append(effects, g.send(to, m))
			m = Members{Domain: t.domain}
		}
	}
	if len(m.Members)+len(m.Wanted) > 0 {
		effects = append(effects, g.send(to, m))
	}
	return effects
}
