// Three nodes of each domain, chosen by the hash of their names so that all agree without a word, keep the
// member tables of all other domains. They push changes to the relays of other domains at once and compare
// hashes every second, so that a lost push costs a second and no more. All others stay out of that traffic:
// a relay's grows with the number of domains, an ordinary node's doesn't.
//
// Example: an endpoint in domain east becomes Leaving: gossip brings it to the three relays of east, each
// tells one relay in every other domain, and those tell their own domain's subscribers.

package gossiper

import (
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	relayCount   = 3
	probeRemote  = clock.Second
	maxContacts  = 4
	silenceLimit = 3 * clock.Second
	// unknownLimit is the same for a domain that a new relay has not heard yet.
	unknownLimit = 1500 * clock.Millisecond
	// urgentAfter is the silence after which all contacts of a domain are probed, every urgentProbe: taking a
	// whole domain out of use because a few probes got lost would be worse than the fault it guards against.
	urgentAfter = 1200 * clock.Millisecond
	urgentProbe = 300 * clock.Millisecond
	// repeatsAfterSilence is how many urgent probes a relay sends to a domain when it has just been chosen, after it stood
	// still, and after the domain was silent: what changed meanwhile was pushed in vain.
	repeatsAfterSilence = 10
	askAroundInterval   = 2 * clock.Second
	subscribeTerm       = 12 * clock.Second
	// pushCopies is how often a change is pushed to a subscriber, to the other relays of the own domain, and to relayFanout
	// relays of each other domain, as pushes are not acknowledged and a comparison may come too late for a leaving server.
	pushCopies  = 4
	relayFanout = 2
)

type subscriber struct {
	services []identifier.Service
	until    clock.Time
}

type remote struct {
	contacts []Contact
	// heard is when a node of that domain, or a relay of the own one on its behalf, was last heard.
	heard  clock.Time
	urgent clock.Time
	// repeats is how many urgent probes are still due because the table differs or may be old. The exchange takes four
	// messages, and with a fifth of them lost the next regular probe would often come too late.
	repeats int
	silent  bool
	asked   clock.Time
	// known tells that heard is of a real message, not of when this node began to listen.
	known bool
	// named tells that the domain itself has named the contacts.
	named bool
}

type relayer struct {
	relays      []identifier.Node
	active      bool
	listening   bool
	tables      map[identifier.FailureDomain]*table
	remotes     map[identifier.FailureDomain]*remote
	subscribers map[identifier.Node]*subscriber
	// own and pushes are the members changed since the last flush, of the own domain and of others. A node that
	// is no relay has only itself in own: it tells other domains of its own changes, as its relays may be dead.
	own       []push
	pushes    []push
	nextProbe clock.Time
}

type push struct {
	domain identifier.FailureDomain
	node   identifier.Node
	copies int
	// siblings tells that the other relays of the own domain get it as well.
	siblings bool
}

func newRelayer() relayer {
	return relayer{
		tables:      map[identifier.FailureDomain]*table{},
		remotes:     map[identifier.FailureDomain]*remote{},
		subscribers: map[identifier.Node]*subscriber{},
	}
}

func (r *relayer) addressOf(n identifier.Node) (string, bool) {
	for _, t := range r.tables {
		if e := t.members[n]; e != nil {
			return e.Address, true
		}
	}
	for _, o := range r.remotes {
		for _, c := range o.contacts {
			if c.Node == n {
				return c.Address, true
			}
		}
	}
	return "", false
}

// excuse leaves a pause of this process out of the silence of others. A message that was taken in right after the pause has
// already moved a domain's time on.
func (r *relayer) excuse(gap clock.Duration, now clock.Time) {
	for _, o := range r.remotes {
		o.heard = min(now, o.heard.Add(gap))
		o.repeats = repeatsAfterSilence
	}
}

func (r *relayer) domains() []identifier.FailureDomain {
	names := make([]identifier.FailureDomain, 0, len(r.remotes))
	for d := range r.remotes {
		names = append(names, d)
	}
	slices.Sort(names)
	return names
}

func (r *relayer) changedOwn(n identifier.Node) {
	r.own = slices.DeleteFunc(r.own, func(p push) bool { return p.node == n })
	r.own = append(r.own, push{node: n})
}

func (g *Gossiper) tickRelay(now clock.Time) []Effect {
	r := &g.relayer
	effects := g.flushOwn()
	if !r.active {
		return effects
	}
	effects = append(effects, g.flushPushes(now)...)
	g.listen(now)
	for _, d := range r.domains() {
		effects = append(effects, g.probeUrgently(d, now)...)
		effects = append(effects, g.noteSilence(d, now)...)
		effects = append(effects, g.askAround(d, now)...)
	}
	if now < r.nextProbe {
		return effects
	}
	r.nextProbe = now.Add(probeRemote*3/4 + g.jitter(probeRemote/2))
	for _, d := range r.domains() {
		effects = append(effects, g.probeDomain(d)...)
	}
	return effects
}

// listen begins to count silence when this node becomes a relay, as before it was told by others. What it was told counts
// until its own tables are filled: it would otherwise drop living members, and use those of a silent domain again.
func (g *Gossiper) listen(now clock.Time) {
	if g.relayer.listening {
		return
	}
	g.relayer.listening = true
	g.confirmAll(now)
	for _, o := range g.relayer.remotes {
		o.known = false
		o.repeats = repeatsAfterSilence
		if !o.silent {
			o.heard = now
		}
	}
}

// probeDomain compares the table of a domain with one of its relays, or now and then with a relay of the own
// domain, which may have been reached by what this one missed.
func (g *Gossiper) probeDomain(d identifier.FailureDomain) []Effect {
	o := g.relayer.remotes[d]
	t := g.relayer.tables[d]
	if t == nil {
		t = newTable(d)
		g.relayer.tables[d] = t
	}
	message := Probe{Domain: d, Hash: t.hash(), Relays: g.ownRelays()}
	if g.options.Rand.IntN(4) == 0 {
		for _, n := range g.relayer.relays {
			if n != g.self.Node {
				return []Effect{g.send(n, message)}
			}
		}
	}
	if len(o.contacts) == 0 {
		return nil
	}
	c := o.contacts[g.options.Rand.IntN(len(o.contacts))]
	return []Effect{Send{To: c.Node, Address: c.Address, Message: message}}
}

func (g *Gossiper) probeUrgently(d identifier.FailureDomain, now clock.Time) []Effect {
	o := g.relayer.remotes[d]
	t := g.relayer.tables[d]
	quiet := now.Sub(o.heard) >= o.patience(urgentAfter, 0)
	if t == nil || now < o.urgent || !(quiet || o.repeats > 0) {
		return nil
	}
	o.urgent = now.Add(urgentProbe)
	if o.repeats > 0 && !quiet {
		o.repeats--
		return g.probeDomain(d)
	}
	var effects []Effect
	message := Probe{Domain: d, Hash: t.hash(), Relays: g.ownRelays()}
	for _, c := range o.contacts {
		effects = append(effects, Send{To: c.Node, Address: c.Address, Message: message})
	}
	// All the relays that it named may have died at once, and its others live.
	for range min(relayFanout, len(t.up)) {
		effects = append(effects, g.send(t.up[g.options.Rand.IntN(len(t.up))], message))
	}
	return effects
}

// noteSilence takes a domain out of use that hasn't been heard for a while: when it dies whole, no member of
// it is left to tell that the others are dead.
func (g *Gossiper) noteSilence(d identifier.FailureDomain, now clock.Time) []Effect {
	o := g.relayer.remotes[d]
	silent := now.Sub(o.heard) > o.patience(silenceLimit, unknownLimit)
	if silent == o.silent {
		return nil
	}
	o.silent = silent
	effects := g.view.hide(d, silent)
	if !silent {
		return effects
	}
	for _, n := range g.activeSubscribers(now) {
		push := Subscription{Answer: true, Same: true, Silent: []identifier.FailureDomain{d}}
		effects = append(effects, g.send(n, push))
	}
	return effects
}

func (r *remote) patience(known, unknown clock.Duration) clock.Duration {
	if r.known {
		return known
	}
	return unknown
}

// askAround asks the other domains for contacts in a silent one: while it was cut off from this one, all its
// nodes that are known here may have been replaced, and then nobody here could ever reach it again.
func (g *Gossiper) askAround(d identifier.FailureDomain, now clock.Time) []Effect {
	o := g.relayer.remotes[d]
	if !o.silent || now < o.asked {
		return nil
	}
	o.asked = now.Add(askAroundInterval)
	var effects []Effect
	for _, other := range g.relayer.domains() {
		contacts := g.relayer.remotes[other].contacts
		if other == d || len(contacts) == 0 {
			continue
		}
		c := contacts[g.options.Rand.IntN(len(contacts))]
		message := Join{Self: g.self, Hash: g.joinHash()}
		effects = append(effects, Send{To: c.Node, Address: c.Address, Message: message})
	}
	return effects
}

func (g *Gossiper) hearDomain(d identifier.FailureDomain, now clock.Time) []Effect {
	if d == g.self.Domain {
		return nil
	}
	o := g.remoteOf(d, now)
	o.heard = max(o.heard, now)
	o.known = true
	if !o.silent {
		return nil
	}
	o.silent = false
	o.repeats = repeatsAfterSilence
	return g.view.hide(d, false)
}

func (g *Gossiper) receiveProbe(from identifier.Node, m Probe, now clock.Time) []Effect {
	effects := g.setContacts(m.Relays, now)
	if len(m.Relays) > 0 {
		effects = append(effects, g.hearDomain(m.Relays[0].Domain, now)...)
	}
	t := g.tableOf(m.Domain)
	if t == nil {
		// This node is no relay, or knows nothing of that domain: an empty answer only tells who is.
		return append(effects, g.send(from, ProbeAnswer{Domain: g.self.Domain, Relays: g.ownRelays()}))
	}
	effects = append(effects, g.send(from, ProbeAnswer{Domain: m.Domain, Relays: g.ownRelays()}))
	if m.Hash != t.hash() {
		effects = append(effects, g.send(from, digestOf(t)))
	}
	return effects
}

func (g *Gossiper) receiveProbeAnswer(m ProbeAnswer, now clock.Time) []Effect {
	effects := g.setContacts(m.Relays, now)
	for _, c := range m.Relays {
		if c.Domain != g.self.Domain {
			return append(effects, g.hearDomain(c.Domain, now)...)
		}
	}
	return effects
}
