// Changes in a domain are pushed to the relays of other domains, and from relays to the subscribers of the services
// concerned. A push can get lost, so it is repeated a few times; the comparison of tables repairs the rest.
//
// Example: an endpoint of "ice" starts to leave; its relays push the member's record, and each relay elsewhere pushes
// it on to the nodes that call "ice".

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

// remainingPushes counts a copy of each push and returns those that must be repeated.
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

// applyRemoteMembers applies records of another domain; only a relay stores all of them, other nodes just those of
// services that they call.
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
	// Large updates, as of a whole table, are left to the comparison between relays; otherwise each relay would send
	// the table to all others.
	toOwnRelays := len(changed) > 0 && len(changed) <= maxMembers/2
	for _, n := range changed {
		g.relayer.remotePushes = append(g.relayer.remotePushes, push{domain: m.Domain, node: n, toOwnRelays: toOwnRelays})
	}
	if toOwnRelays {
		effects = append(effects, g.pushToOwnRelays(m.Domain, changed)...)
	}
	return effects
}

// pushToOwnRelays sends records of another domain to the other relays of the local failure domain.
func (g *Gossiper) pushToOwnRelays(d identifier.FailureDomain, changed []identifier.Node) []Effect {
	var effects []Effect
	for _, n := range g.relayer.relays {
		if n != g.self.Node {
			effects = append(effects, g.sendMembers(n, g.relayer.tables[d], changed, nil)...)
		}
	}
	return effects
}

// repeatToOwnRelays repeats the pushes to the other relays: a relay may have lost the first copies of both others, and
// the other domain itself pushes only to some of the relays.
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

// filterServices keeps only the endpoints of some services, and reports whether a subscriber of these needs the record.
// A member that is down is always needed, as it may have had such endpoints.
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
	endpointCount := len(m.Endpoints)
	m.Endpoints = kept
	// A member whose last endpoints were removed is needed too, so that the subscriber removes them.
	return m, len(kept) > 0 || endpointCount == 0
}
