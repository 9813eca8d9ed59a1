// A node that is no relay subscribes at two relays of its own domain to the endpoints, in other domains, of the
// services that it calls. Subscriptions expire unless renewed, so relays keep no state for dead nodes. Each renewal
// carries a hash of the records that the node holds, so that lost pushes are detected and repaired.
//
// Example: AddInterest("ice") leads to Subscribe{["ice"]} at the next tick; the answers bring the remote endpoints of
// "ice", and pushes keep them current.

package gossiper

import (
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	renewInterval = 3 * clock.Second
	// renewRetryInterval is the time between renewals until the first answer.
	renewRetryInterval = 300 * clock.Millisecond
	// confirmTerm is how long a member of another domain is used without a relay's confirmation, relayConfirmTerm how
	// long a relay uses one that its own table lacks.
	confirmTerm      = 15 * clock.Second
	relayConfirmTerm = 4 * clock.Second
)

type follower struct {
	interests   []identifier.Service
	nextRenewal clock.Time
	answered    bool
}

func newFollower() follower {
	return follower{}
}

// renewNow makes the subscription due now, and after each renewRetryInterval until it is answered.
func (f *follower) renewNow(now clock.Time) {
	f.nextRenewal = now
	f.answered = false
}

// AddInterest subscribes this node to the endpoints of a service that it calls in other domains.
func (g *Gossiper) AddInterest(s identifier.Service, now clock.Time) []Effect {
	i, found := slices.BinarySearch(g.follower.interests, s)
	if found {
		return nil
	}
	g.follower.interests = slices.Insert(g.follower.interests, i, s)
	g.follower.nextRenewal = 0
	g.follower.answered = false
	return g.applyRelayTables(now)
}

// applyRelayTables applies the records of the relay's tables to the node's own view.
func (g *Gossiper) applyRelayTables(now clock.Time) []Effect {
	var effects []Effect
	for _, d := range g.relayer.domains() {
		t := g.relayer.tables[d]
		if t == nil {
			continue
		}
		for _, n := range t.up {
			effects = append(effects, g.applyRemoteRecord(t.members[n].Member, now)...)
		}
	}
	return effects
}

// applyRemoteRecord applies a record of another domain to the view, without the services that this node does not call.
func (g *Gossiper) applyRemoteRecord(m Member, now clock.Time) []Effect {
	filtered, wanted := filterServices(m, g.follower.interests)
	s := g.view.members[m.Node]
	if s == nil && (!wanted || len(filtered.Endpoints) == 0) {
		return nil
	}
	effects := g.view.apply(filtered, now)
	if o := g.relayer.remotes[m.Domain]; o != nil && o.silent {
		effects = append(effects, g.view.setHidden(m.Domain, true)...)
	}
	return effects
}

func (g *Gossiper) tickFollow(now clock.Time) []Effect {
	f := &g.follower
	if now < f.nextRenewal {
		return nil
	}
	f.nextRenewal = now.Add(renewInterval*3/4 + g.jitter(renewInterval/2))
	if !f.answered {
		f.nextRenewal = now.Add(renewRetryInterval)
	}
	if g.relayer.isRelay {
		f.answered = true
		f.nextRenewal = now.Add(clock.Second)
		effects := g.applyRelayTables(now)
		effects = append(effects, g.refreshFromTables(now)...)
		return append(effects, g.dropUnconfirmed(now, relayConfirmTerm)...)
	}
	effects := g.dropUnconfirmed(now, confirmTerm)
	relays := g.relayer.relays
	first := g.options.Rand.IntN(len(relays))
	message := Subscribe{Services: f.interests, Hash: g.subscribedHash()}
	for i := range min(2, len(relays)) {
		effects = append(effects, g.send(relays[(first+i)%len(relays)], message))
	}
	return effects
}

// subscribedHash hashes the remote members with endpoints in the view, by version and number of endpoints, and the
// contacts; the order of the members does not matter.
func (g *Gossiper) subscribedHash() uint64 {
	h := uint64(0)
	for n, s := range g.view.members {
		if s.Domain != g.self.Domain && s.up() && len(s.Endpoints) > 0 {
			h ^= memberHash(n, s.Member)
		}
	}
	return h ^ g.contactsHash()
}

func (g *Gossiper) contactsHash() uint64 {
	h := uint64(0)
	for _, d := range g.relayer.domains() {
		for _, c := range g.relayer.remotes[d].contacts {
			h = h*31 + xxh3.HashString(string(c.Node))
		}
	}
	return h
}

func memberHash(n identifier.Node, m Member) uint64 {
	return versionHash(n, m.Incarnation) * uint64(2*len(m.Endpoints)+1)
}

func (g *Gossiper) confirmAll(now clock.Time) {
	for _, s := range g.view.members {
		if s.Domain != g.self.Domain {
			s.confirmed = now
		}
	}
}

// refreshFromTables applies the tables' records of all members in a relay's view, including members that are down: one
// that died before this node became a relay is in no table's list of living members.
func (g *Gossiper) refreshFromTables(now clock.Time) []Effect {
	var effects []Effect
	for _, n := range g.view.sortedNames() {
		s := g.view.members[n]
		t := g.relayer.tables[s.Domain]
		if t == nil || !s.up() {
			continue
		}
		if e := t.members[n]; e != nil {
			effects = append(effects, g.applyRemoteRecord(e.Member, now)...)
		}
	}
	return effects
}

func (g *Gossiper) dropUnconfirmed(now clock.Time, term clock.Duration) []Effect {
	var effects []Effect
	for _, n := range g.view.sortedNames() {
		s := g.view.members[n]
		if s.Domain != g.self.Domain && now.Sub(s.confirmed) > term {
			effects = append(effects, g.view.drop(n)...)
		}
	}
	return effects
}

func (g *Gossiper) receiveSubscribe(from identifier.Node, m Subscribe, now clock.Time) []Effect {
	if !g.relayer.isRelay {
		return nil
	}
	g.relayer.subscribers[from] = &subscriber{services: m.Services, until: now.Add(subscriptionTerm)}
	answer := Subscription{IsAnswer: true, Contacts: g.Contacts()}
	hash := g.contactsHash()
	for _, d := range g.relayer.domains() {
		if o := g.relayer.remotes[d]; o.silent {
			answer.SilentDomains = append(answer.SilentDomains, d)
		} else if o.contacted {
			answer.ReachableDomains = append(answer.ReachableDomains, d)
		}
		t := g.relayer.tables[d]
		if t == nil {
			continue
		}
		for _, n := range t.up {
			record, _ := filterServices(t.members[n].Member, m.Services)
			if len(record.Endpoints) > 0 {
				answer.Members = append(answer.Members, record)
				hash ^= memberHash(n, record)
			}
		}
	}
	if hash == m.Hash {
		answer.Unchanged = true
		answer.Members = nil
		answer.Contacts = nil
	}
	return []Effect{g.send(from, answer)}
}

func (g *Gossiper) receiveSubscription(from identifier.Node, m Subscription, now clock.Time) []Effect {
	effects := g.setContacts(m.Contacts, now)
	if m.Unchanged {
		g.confirmAll(now)
	}
	for _, record := range m.Members {
		if record.Domain != g.self.Domain {
			effects = append(effects, g.applyRemoteRecord(record, now)...)
		}
	}
	// Only an answer to a subscription says which domains are silent; a push of changes doesn't.
	if !m.IsAnswer {
		return effects
	}
	g.follower.answered = true
	if missing := g.requestMissing(from, m.Members); !m.Unchanged && len(missing) > 0 {
		// The request or its answer may get lost, and the next regular renewal would come too late.
		effects = append(effects, missing...)
		g.follower.nextRenewal = min(g.follower.nextRenewal, now.Add(renewRetryInterval))
	}
	return append(effects, g.applyReachability(m, now)...)
}

// applyReachability marks domains as reachable or silent. A relay's report that a domain is silent is ignored if the
// domain was in contact within the last second: another relay may still reach it.
func (g *Gossiper) applyReachability(m Subscription, now clock.Time) []Effect {
	var effects []Effect
	for _, d := range m.ReachableDomains {
		effects = append(effects, g.recordContact(d, now)...)
	}
	for _, d := range m.SilentDomains {
		o := g.remoteOf(d, now)
		if !o.silent && now.Sub(o.lastContact) >= clock.Second {
			o.silent = true
			effects = append(effects, g.view.setHidden(d, true)...)
		}
	}
	return effects
}

// requestMissing requests the records that the view holds but a relay's answer lacks. The members may have died or lost
// their endpoints; or the relay is new and does not have the records yet, and then it sends none.
func (g *Gossiper) requestMissing(relay identifier.Node, answer []Member) []Effect {
	answered := map[identifier.Node]bool{}
	for _, m := range answer {
		answered[m.Node] = true
	}
	missing := map[identifier.FailureDomain][]identifier.Node{}
	for _, n := range g.view.sortedNames() {
		s := g.view.members[n]
		if s.Domain != g.self.Domain && s.up() && !answered[n] {
			missing[s.Domain] = append(missing[s.Domain], n)
		}
	}
	var effects []Effect
	for _, d := range g.relayer.domains() {
		if len(missing[d]) > 0 {
			effects = append(effects, g.send(relay, Members{Domain: d, Wanted: missing[d]}))
		}
	}
	return effects
}
