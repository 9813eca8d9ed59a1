// What changes in a domain is pushed to where it is needed: to the relays of other domains, and from relays to the
// subscribers of the services concerned. A push can get lost, so it is repeated a few times, and compared tables heal the
// rest.
//
// Example: an endpoint of "ice" starts to leave; its relays push the member's record, and each relay elsewhere pushes it on
// to the nodes that call "ice".

package gossiper

import (
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

func (g *Gossiper) flushOwn() []Effect {
	if len(g.relayer.own) == 0 {
		return nil
	}
	var names []identifier.Node
	for _, p := range g.relayer.own {
		names = append(names, p.node)
	}
	g.relayer.own = repeated(g.relayer.own)
	var effects []Effect
	for _, d := range g.relayer.domains() {
		contacts := g.relayer.remotes[d].contacts
		if len(contacts) == 0 {
			continue
		}
		first := g.options.Rand.IntN(len(contacts))
		for i := range min(relayFanout, len(contacts)) {
			c := contacts[(first+i)%len(contacts)]
			effects = append(effects, g.sendMembers(c.Node, g.own, names, nil)...)
		}
	}
	return effects
}

// repeated returns the pushes that are to go out once more.
func repeated(pushes []push) []push {
	var again []push
	for _, p := range pushes {
		p.copies++
		if p.copies < pushCopies {
			again = append(again, p)
		}
	}
	return again
}

// learnRemote takes in records of another domain; only a relay keeps those of no interest to itself.
func (g *Gossiper) learnRemote(m Members, now clock.Time) []Effect {
	if !g.relayer.active {
		return g.seeAll(m.Members, now)
	}
	t := g.relayer.tables[m.Domain]
	if t == nil {
		t = newTable(m.Domain)
		g.relayer.tables[m.Domain] = t
		g.remoteOf(m.Domain, now)
	}
	var effects []Effect
	var changed []identifier.Node
	for _, record := range m.Members {
		if _, ok := t.put(record, now); !ok || record.Domain != m.Domain {
			continue
		}
		changed = append(changed, record.Node)
		effects = append(effects, g.seeRemote(t.members[record.Node].Member, now)...)
	}
	// A whole table is left to the comparison between relays, or each would send it to each.
	siblings := len(changed) > 0 && len(changed) <= maxMembers/2
	for _, n := range changed {
		g.relayer.pushes = append(g.relayer.pushes, push{domain: m.Domain, node: n, siblings: siblings})
	}
	if siblings {
		effects = append(effects, g.pushToSiblings(m.Domain, changed)...)
	}
	return effects
}

// pushToSiblings tells the other relays of the own domain of members of another one.
func (g *Gossiper) pushToSiblings(d identifier.FailureDomain, changed []identifier.Node) []Effect {
	var effects []Effect
	for _, n := range g.relayer.relays {
		if n != g.self.Node {
			effects = append(effects, g.sendMembers(n, g.relayer.tables[d], changed, nil)...)
		}
	}
	return effects
}

// repeatToSiblings tells the other relays once more: each of them may have lost the first word of both of the others, and
// what the domain itself pushes reaches only some of the relays.
func (g *Gossiper) repeatToSiblings() []Effect {
	changed := map[identifier.FailureDomain][]identifier.Node{}
	for _, p := range g.relayer.pushes {
		if p.siblings && p.copies > 0 {
			changed[p.domain] = append(changed[p.domain], p.node)
		}
	}
	var effects []Effect
	for _, d := range g.relayer.domains() {
		if len(changed[d]) > 0 {
			effects = append(effects, g.pushToSiblings(d, changed[d])...)
		}
	}
	return effects
}

func (g *Gossiper) seeAll(members []Member, now clock.Time) []Effect {
	var effects []Effect
	for _, m := range members {
		if m.Domain != g.self.Domain {
			effects = append(effects, g.seeRemote(m, now)...)
		}
	}
	return effects
}

func (g *Gossiper) flushPushes(now clock.Time) []Effect {
	pushes := g.relayer.pushes
	if len(pushes) == 0 {
		return nil
	}
	effects := g.repeatToSiblings()
	for _, n := range g.activeSubscribers(now) {
		var records []Member
		for _, p := range pushes {
			e := g.relayer.tables[p.domain].members[p.node]
			if e == nil {
				continue
			}
			if m, wanted := filter(e.Member, g.relayer.subscribers[n].services); wanted {
				records = append(records, m)
			}
		}
		if len(records) > 0 {
			effects = append(effects, g.send(n, Subscription{Members: records}))
		}
	}
	g.relayer.pushes = repeated(pushes)
	return effects
}

func (g *Gossiper) activeSubscribers(now clock.Time) []identifier.Node {
	var names []identifier.Node
	for n, s := range g.relayer.subscribers {
		if now > s.until {
			delete(g.relayer.subscribers, n)
			continue
		}
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// filter keeps the endpoints of some services; a member that is down is always wanted, as it may have had some.
func filter(m Member, services []identifier.Service) (Member, bool) {
	if !m.up() {
		return m, true
	}
	var kept []Endpoint
	for _, e := range m.Endpoints {
		if slices.Contains(services, e.Service) {
			kept = append(kept, e)
		}
	}
	all := len(m.Endpoints)
	m.Endpoints = kept
	// A member whose endpoints of that service were removed must be told of too, so that they go.
	return m, len(kept) > 0 || all == 0
}
