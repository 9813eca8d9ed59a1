// A node finds its fleet through the seed addresses in its settings and through the log's records of started nodes;
// either is enough, so that a node can start while the log is down. A record in the log only makes a candidate, not a
// member: the node may have died long ago, and every newcomer that read the record would revive it throughout the
// domain.
//
// Example: settings name 10.0.0.7:7000 of another domain; its JoinAnswer names three relays of the local failure
// domain, and a Join to those brings the member table.

package gossiper

import (
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

const (
	joinRetry = clock.Second
	// rejoinInterval is how often a node that has peers still contacts a seed or a candidate: two groups of nodes that
	// started in separate partitions would otherwise never merge.
	rejoinInterval = 30 * clock.Second
	joinFanout     = 3
	maxCandidates  = 64
)

type joiner struct {
	joinRecorded bool
	nextJoin     clock.Time
	candidates   []Contact
}

func newJoiner() joiner {
	return joiner{}
}

func (g *Gossiper) tickJoin(now clock.Time) []Effect {
	j := &g.joiner
	var effects []Effect
	if !j.joinRecorded {
		j.joinRecorded = true
		effects = append(effects, Append{Record: Joined{Contact: contactOf(g.self)}})
	}
	if now < j.nextJoin {
		return effects
	}
	j.nextJoin = now.Add(joinRetry/2 + g.jitter(joinRetry))
	fanout := joinFanout
	if len(g.ownTable.up) > 1 {
		j.nextJoin = now.Add(rejoinInterval/2 + g.jitter(rejoinInterval))
		fanout = 1
	}
	message := Join{Self: g.self, Hash: g.joinHash()}
	targets := g.joinTargets()
	g.options.Rand.Shuffle(len(targets), func(a, b int) { targets[a], targets[b] = targets[b], targets[a] })
	for _, t := range targets[:min(fanout, len(targets))] {
		effects = append(effects, Send{To: t.Node, Address: t.Address, Message: message})
	}
	return effects
}

func (g *Gossiper) joinHash() uint64 {
	if len(g.ownTable.up) == 1 {
		return 0
	}
	return g.ownTable.hash()
}

func (g *Gossiper) joinTargets() []Contact {
	var targets []Contact
	for _, s := range g.options.Seeds {
		if s != g.self.Address {
			targets = append(targets, Contact{Address: s})
		}
	}
	for _, c := range g.joiner.candidates {
		if e := g.ownTable.members[c.Node]; e == nil || !e.up() {
			targets = append(targets, c)
		}
	}
	return targets
}

// ReadRecord applies a membership record read from the log.
func (g *Gossiper) ReadRecord(record any, now clock.Time) []Effect {
	switch r := record.(type) {
	case Joined:
		return g.addCandidate(r.Contact, now)
	case Departed:
		return g.applyDeparted(r, now)
	}
	return nil
}

func (g *Gossiper) addCandidate(c Contact, now clock.Time) []Effect {
	if c.Node == g.self.Node {
		return nil
	}
	if c.Domain != g.self.Domain {
		return g.addContact(c, now)
	}
	j := &g.joiner
	known := slices.ContainsFunc(j.candidates, func(o Contact) bool { return o.Node == c.Node })
	if known {
		return nil
	}
	if len(j.candidates) == maxCandidates {
		j.candidates = slices.Delete(j.candidates, 0, 1)
	}
	j.candidates = append(j.candidates, c)
	if len(g.ownTable.up) == 1 {
		j.nextJoin = min(j.nextJoin, now.Add(TickInterval))
	}
	return nil
}

func (g *Gossiper) applyDeparted(r Departed, now clock.Time) []Effect {
	isDeparted := func(c Contact) bool { return c.Node == r.Node }
	g.joiner.candidates = slices.DeleteFunc(g.joiner.candidates, isDeparted)
	if r.Domain != g.self.Domain {
		if o := g.relayer.remotes[r.Domain]; o != nil {
			o.contacts = slices.DeleteFunc(slices.Clone(o.contacts), isDeparted)
		}
		return nil
	}
	e := g.ownTable.members[r.Node]
	if e == nil || r.Node == g.self.Node {
		return nil
	}
	m := e.Member
	m.State = Left
	return g.applyRecord(m, now)
}

func (g *Gossiper) receiveJoin(m Join, now clock.Time) []Effect {
	replyWith := func(answer any) Effect {
		return Send{To: m.Self.Node, Address: m.Self.Address, Message: answer}
	}
	if m.Self.Domain != g.self.Domain {
		contacts := append(g.ownRelays(), g.Contacts()...)
		answer := replyWith(JoinAnswer{Contacts: contacts})
		return append(g.addContact(contactOf(m.Self), now), answer)
	}
	effects := g.applyUpdates([]Member{m.Self}, now)
	if e := g.ownTable.members[m.Self.Node]; m.Hash != 0 && e != nil && e.up() {
		// A periodic rejoin only compares hashes: sending the whole table each time would make up most of the node's
		// traffic.
		effects = append(effects, replyWith(JoinAnswer{Contacts: g.Contacts()}))
		return append(effects, g.startComparison(m.Self.Node, m.Hash, now)...)
	}
	// A node that was declared dead during a partition is sent its own record, so that it refutes with a newer one.
	var members []Member
	for _, n := range g.ownTable.up {
		if n != m.Self.Node {
			members = append(members, g.ownTable.members[n].Member)
		}
	}
	if e := g.ownTable.members[m.Self.Node]; e != nil && !e.up() {
		members = append(members, e.Member)
	}
	for len(members) > maxMembers {
		effects = append(effects, replyWith(JoinAnswer{Members: members[:maxMembers]}))
		members = members[maxMembers:]
	}
	return append(effects, replyWith(JoinAnswer{Members: members, Contacts: g.Contacts()}))
}

func (g *Gossiper) receiveJoinAnswer(m JoinAnswer, now clock.Time) []Effect {
	effects := g.applyUpdates(m.Members, now)
	for _, c := range m.Contacts {
		if c.Domain != g.self.Domain {
			effects = append(effects, g.addContact(c, now)...)
			continue
		}
		known := g.ownTable.members[c.Node] != nil || c.Node == g.self.Node
		if !known {
			effects = append(effects, g.addCandidate(c, now)...)
			effects = append(effects, Send{To: c.Node, Address: c.Address, Message: Join{Self: g.self, Hash: g.joinHash()}})
		}
	}
	return effects
}
