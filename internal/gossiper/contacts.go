// Every node selects the same few members of its failure domain as relays, by one rule, and keeps a few contacts in
// each other domain. Both lists are short, so that the traffic between domains doesn't grow with the fleet.
//
// Example: of 482 members the three with the highest hashes of their names are relays; if all known relays of a domain
// have died, other domains are asked for contacts in it.

package gossiper

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Contacts returns a few nodes of each other domain, ordered by domain.
func (g *Gossiper) Contacts() []Contact {
	var all []Contact
	for _, d := range g.relayer.domains() {
		all = append(all, g.relayer.remotes[d].contacts...)
	}
	return all
}

// IsRelay reports whether this node is a relay of its domain.
func (g *Gossiper) IsRelay() bool {
	return g.relayer.isRelay
}

// electRelays selects the members with the highest hashes of their names as relays.
func (g *Gossiper) electRelays() {
	var best []candidate
	for _, n := range g.ownTable.up {
		c := candidate{node: n, hash: xxh3.HashString(string(n))}
		i, _ := slices.BinarySearchFunc(best, c, candidate.compare)
		if i < relayCount {
			best = slices.Insert(best, i, c)
			best = best[:min(relayCount, len(best))]
		}
	}
	var relays []identifier.Node
	for _, c := range best {
		relays = append(relays, c.node)
	}
	if slices.Equal(relays, g.relayer.relays) {
		return
	}
	g.relayer.relays = relays
	// A new relay has no subscribers yet, and a former relay no longer gets records of other domains, so the
	// subscription must be renewed at once.
	g.follower.nextRenewal = 0
	g.follower.answered = false
	isRelay := slices.Contains(g.relayer.relays, g.self.Node)
	g.relayer.tracksSilence = g.relayer.tracksSilence && isRelay
	if g.relayer.isRelay && !isRelay {
		clear(g.relayer.tables)
		clear(g.relayer.subscribers)
		g.relayer.ownPushes = nil
		g.relayer.remotePushes = nil
	}
	g.relayer.isRelay = isRelay
}

type candidate struct {
	node identifier.Node
	hash uint64
}

func (c candidate) compare(o candidate) int {
	return cmp.Or(cmp.Compare(o.hash, c.hash), cmp.Compare(o.node, c.node))
}

func (g *Gossiper) ownRelays() []Contact {
	contacts := make([]Contact, 0, relayCount)
	for _, n := range g.relayer.relays {
		contacts = append(contacts, contactOf(g.ownTable.members[n].Member))
	}
	return contacts
}

func contactOf(m Member) Contact {
	return Contact{Node: m.Node, Domain: m.Domain, Address: m.Address}
}

func (g *Gossiper) remoteOf(d identifier.FailureDomain, now clock.Time) *remoteDomain {
	r := g.relayer.remotes[d]
	if r == nil {
		r = &remoteDomain{lastContact: now}
		g.relayer.remotes[d] = r
	}
	return r
}

// setContacts replaces the contacts in other domains with the relays that these domains have reported themselves.
func (g *Gossiper) setContacts(contacts []Contact, now clock.Time) []Effect {
	byDomain := map[identifier.FailureDomain][]Contact{}
	for _, c := range contacts {
		if c.Domain != g.self.Domain {
			byDomain[c.Domain] = append(byDomain[c.Domain], c)
		}
	}
	var effects []Effect
	for d, list := range byDomain {
		r := g.remoteOf(d, now)
		r.selfReported = true
		list = list[:min(len(list), maxContacts)]
		if !slices.Equal(r.contacts, list) {
			r.contacts = list
			effects = append(effects, MembersChanged{Domain: d})
		}
	}
	slices.SortFunc(effects, func(a, b Effect) int {
		return cmp.Compare(a.(MembersChanged).Domain, b.(MembersChanged).Domain)
	})
	return effects
}

// addContact adds a contact learned from another source, unless the domain has reported its own relays or the list is
// full. For a silent domain it is added in any case, and replaces the oldest contact if the list is full.
func (g *Gossiper) addContact(c Contact, now clock.Time) []Effect {
	r := g.remoteOf(c.Domain, now)
	known := slices.ContainsFunc(r.contacts, func(o Contact) bool { return o.Node == c.Node })
	if known || (len(r.contacts) >= maxContacts && !r.silent) || (r.selfReported && !r.silent) {
		return nil
	}
	if len(r.contacts) >= maxContacts {
		r.contacts = slices.Clone(r.contacts[1:])
	}
	r.contacts = append(r.contacts, c)
	return []Effect{MembersChanged{Domain: c.Domain}}
}
