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

func (g *Gossiper) flushOwnPushes() []Effect {
	if len(g.relayer.ownPushes) == 0 {
		return nil
	}
	var names []identifier.Node
	for _, p := range g.relayer.ownPushes {
		names = append(names, p.node)
	}
	g.relayer.ownPushes = remainingPushes(g.relayer.ownPushes)
	var effects []Effect
	for _, d := range g.relayer.domains() {
		contacts := g.relayer.remotes[d].contacts
		if len(contacts) == 0 {
			continue
		}
		first := g.options.Rand.IntN(len(contacts))
		for i := range min(relayFanout, len(contacts)) {
			c := contacts[(first+i)%len(contacts)]
			effects = append(effects, g.sendMembers(c.Node, g.ownTable, names, nil)...)
		}
	}
	return effects
}

// remainingPushes returns the pushes that are to go out once more.
func remainingPushes(pushes []push) []push {
	var remaining []push
	for _, p := range pushes {
		p.copies++
		if p.copies < pushCopies {
			remaining = append(remaining, p)
		}
	}
	return remaining
}

// applyRemoteMembers takes in records of another domain; only a relay keeps those of no interest to itself.
func (g *Gossiper) applyRemoteMembers(m Members, now clock.Time) []Effect {
	if !g.relayer.isRelay {
		return g.applyRemoteRecords(m.Members, now)
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
		effects = append(effects, g.applyRemoteRecord(t.members[record.Node].Member, now)...)
	}
	// A whole table is left to the comparison between relays, or each would send it to each.
	toOwnRelays := len(changed) > 0 && len(changed) <= maxMembers/2
	for _, n := range changed {
		g.relayer.remotePushes = append(g.relayer.remotePushes, push{domain: m.Domain, node: n, toOwnRelays: toOwnRelays})
	}
	if toOwnRelays {
		effects = append(effects, g.pushToOwnRelays(m.Domain, changed)...)
	}
	return effects
}

// pushToOwnRelays tells the other relays of the own domain of members of another one.
func (g *Gossiper) pushToOwnRelays(d identifier.FailureDomain, changed []identifier.Node) []Effect {
	var effects []Effect
	for _, n := range g.relayer.relays {
		if n != g.self.Node {
			effects = append(effects, g.sendMembers(n, g.relayer.tables[d], changed, nil)...)
		}
	}
	return effects
}

// repeatToOwnRelays tells the other relays once more: each of them may have lost the first word of both of the others, and
// what the domain itself pushes reaches only some of the relays.
func (g *Gossiper) repeatToOwnRelays() []Effect {
	changed := map[identifier.FailureDomain][]identifier.Node{}
	for _, p := range g.relayer.remotePushes {
		if p.toOwnRelays && p.copies > 0 {
			changed[p.domain] = append(changed[p.domain], p.node)
		}
	}
	var effects []Effect
	for _, d := range g.relayer.domains() {
		if len(changed[d]) > 0 {
			effects = append(effects, g.pushToOwnRelays(d, changed[d])...)
		}
	}
	return effects
}

func (g *Gossiper) applyRemoteRecords(members []Member, now clock.Time) []Effect {
	var effects []Effect
	for _, m := range members {
		if m.Domain != g.self.Domain {
			effects = append(effects, g.applyRemoteRecord(m, now)...)
		}
	}
	return effects
}

func (g *Gossiper) flushRemotePushes(now clock.Time) []Effect {
	remotePushes := g.relayer.remotePushes
	if len(remotePushes) == 0 {
		return nil
	}
	effects := g.repeatToOwnRelays()
	for _, n := range g.activeSubscribers(now) {
		var records []Member
		for _, p := range remotePushes {
			e := g.relayer.tables[p.domain].members[p.node]
			if e == nil {
				continue
			}
			if m, wanted := filterServices(e.Member, g.relayer.subscribers[n].services); wanted {
				records = append(records, m)
			}
		}
		if len(records) > 0 {
			effects = append(effects, g.send(n, Subscription{Members: records}))
		}
	}
	g.relayer.remotePushes = remainingPushes(remotePushes)
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

// filterServices keeps the endpoints of some services; a member that is down is always wanted, as it may have had some.
func filterServices(m Member, services []identifier.Service) (Member, bool) {
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
