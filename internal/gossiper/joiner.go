// A node finds its fleet through the addresses in its settings and through the log's records of nodes that
// started; either is enough, so it boots with the log down. A record on the log makes no member: the node it
// names may be long dead, and each newcomer that read it would bring it back to everyone.
//
// Example: settings name 10.0.0.7:7000 of another domain; its JoinAnswer names three relays of the own
// domain, and a Join to those brings the member table.

package gossiper

import (
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

const (
	joinRetry = clock.Second
	// rejoinInterval is how often a node that has peers asks a seed or a candidate all the same: two groups
	// that started apart would otherwise never meet.
	rejoinInterval = 30 * clock.Second
	joinFanout     = 3
	maxCandidates  = 64
)

type joiner struct {
	announced  bool
	next       clock.Time
	candidates []Contact
}

func newJoiner() joiner {
	return joiner{}
}

func (g *Gossiper) tickJoin(now clock.Time) []Effect {
	j := &g.joiner
	var effects []Effect
	if !j.announced {
		j.announced = true
		effects = append(effects, Append{Record: Joined{Contact: contactOf(g.self)}})
	}
	if now < j.next {
		return effects
	}
	j.next = now.Add(joinRetry/2 + g.jitter(joinRetry))
	fanout := joinFanout
	if len(g.own.up) > 1 {
		j.next = now.Add(rejoinInterval/2 + g.jitter(rejoinInterval))
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
	if len(g.own.up) == 1 {
		return 0
	}
	return g.own.hash()
}

func (g *Gossiper) joinTargets() []Contact {
	var targets []Contact
	for _, s := range g.options.Seeds {
		if s != g.self.Address {
			targets = append(targets, Contact{Address: s})
		}
	}
	for _, c := range g.joiner.candidates {
		if e := g.own.members[c.Node]; e == nil || !e.up() {
			targets = append(targets, c)
		}
	}
	return targets
}

// ReadRecord takes in a record of this matter from the log.
func (g *Gossiper) ReadRecord(record any, now clock.Time) []Effect {
	switch r := record.(type) {
	case Joined:
		return g.addCandidate(r.Contact, now)
	case Departed:
		return g.readDeparted(r, now)
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
	if len(g.own.up) == 1 {
		j.next = min(j.next, now.Add(TickInterval))
	}
	return nil
}

func (g *Gossiper) readDeparted(r Departed, now clock.Time) []Effect {
	isIt := func(c Contact) bool { return c.Node == r.Node }
	g.joiner.candidates = slices.DeleteFunc(g.joiner.candidates, isIt)
	if r.Domain != g.self.Domain {
		if o := g.relayer.remotes[r.Domain]; o != nil {
			o.contacts = slices.DeleteFunc(slices.Clone(o.contacts), isIt)
		}
		return nil
	}
	e := g.own.members[r.Node]
	if e == nil || r.Node == g.self.Node {
		return nil
	}
	m := e.Member
	m.State = Left
	return g.take(m, now)
}

func (g *Gossiper) receiveJoin(m Join, now clock.Time) []Effect {
	reply := func(answer any) Effect {
		return Send{To: m.Self.Node, Address: m.Self.Address, Message: answer}
	}
	if m.Self.Domain != g.self.Domain {
		contacts := append(g.ownRelays(), g.Contacts()...)
		answer := reply(JoinAnswer{Contacts: contacts})
		return append(g.addContact(contactOf(m.Self), now), answer)
	}
	effects := g.learn([]Member{m.Self}, now)
	if e := g.own.members[m.Self.Node]; m.Hash != 0 && e != nil && e.up() {
		// It asks now and then whether it knows all; the whole table each time would be most of its traffic.
		effects = append(effects, reply(JoinAnswer{Contacts: g.Contacts()}))
		return append(effects, g.compare(m.Self.Node, m.Hash, now)...)
	}
	// A node that was taken for dead while it was cut off gets told, so that it writes a newer record.
	var members []Member
	for _, n := range g.own.up {
		if n != m.Self.Node {
			members = append(members, g.own.members[n].Member)
		}
	}
	if e := g.own.members[m.Self.Node]; e != nil && !e.up() {
		members = append(members, e.Member)
	}
	for len(members) > maxMembers {
		effects = append(effects, reply(JoinAnswer{Members: members[:maxMembers]}))
		members = members[maxMembers:]
	}
	return append(effects, reply(JoinAnswer{Members: members, Contacts: g.Contacts()}))
}

func (g *Gossiper) receiveJoinAnswer(m JoinAnswer, now clock.Time) []Effect {
	effects := g.learn(m.Members, now)
	for _, c := range m.Contacts {
		if c.Domain != g.self.Domain {
			effects = append(effects, g.addContact(c, now)...)
			continue
		}
		known := g.own.members[c.Node] != nil || c.Node == g.self.Node
		if !known {
			effects = append(effects, g.addCandidate(c, now)...)
			effects = append(effects, Send{To: c.Node, Address: c.Address, Message: Join{Self: g.self, Hash: g.joinHash()}})
		}
	}
	return effects
}
