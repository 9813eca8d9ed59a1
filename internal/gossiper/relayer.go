// Three nodes of each domain, selected by the hash of their names so that all nodes agree without communication, keep
// the member tables of all other domains. They push changes to the relays of other domains at once and compare hashes
// every second, so that a lost push is repaired within about a second. The other nodes take no part in that traffic: a
// relay's traffic grows with the number of domains, an ordinary node's doesn't.
//
// Example: an endpoint in domain east becomes Leaving: gossip brings the record to the three relays of east, each
// pushes it to two relays in every other domain, and those push it to the subscribers in their own domain.

package gossiper

import (
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	relayCount          = 3
	remoteProbeInterval = clock.Second
	maxContacts         = 4
	silenceLimit        = 3 * clock.Second
	// newRelaySilenceLimit replaces silenceLimit for a domain that a new relay has not been in contact with yet.
	newRelaySilenceLimit = 1500 * clock.Millisecond
	// urgentProbeDelay is the silence after which all contacts of a domain are probed, every urgentProbeInterval, so
	// that a few lost probes don't take a whole domain out of use: that would be worse than using a dead one.
	urgentProbeDelay    = 1200 * clock.Millisecond
	urgentProbeInterval = 300 * clock.Millisecond
	// urgentProbesAfterSilence is how many urgent probes a relay sends to a domain after it became a relay, after its
	// process was paused, and after the domain was silent: pushes sent in the meantime were missed.
	urgentProbesAfterSilence = 10
	contactRequestInterval   = 2 * clock.Second
	subscriptionTerm         = 12 * clock.Second
	// pushCopies is how often a change is pushed to a subscriber, to the other relays of the local failure domain, and
	// to relayFanout relays of each other domain: pushes are not acknowledged, and for an endpoint that leaves, the
	// comparison of tables may come too late.
	pushCopies  = 4
	relayFanout = 2
)

type subscriber struct {
	services []identifier.Service
	until    clock.Time
}

type remoteDomain struct {
	contacts []Contact
	// lastContact is when a message last came from a node of that domain, or from a relay of the local failure domain
	// that is in contact with it.
	lastContact     clock.Time
	nextUrgentProbe clock.Time
	// remainingProbes is how many urgent probes are still to be sent because the table differs or may be old. The
	// exchange takes four messages; with a message loss of a fifth it often fails, and the next regular probe would come
	// too late.
	remainingProbes    int
	silent             bool
	nextContactRequest clock.Time
	// contacted means that lastContact is the time of a message, not the time when this node started to track silence.
	contacted bool
	// selfReported means that the domain itself has reported the contacts.
	selfReported bool
}

type relayer struct {
	relays        []identifier.Node
	isRelay       bool
	tracksSilence bool
	tables        map[identifier.FailureDomain]*table
	remotes       map[identifier.FailureDomain]*remoteDomain
	subscribers   map[identifier.Node]*subscriber
	// ownPushes and remotePushes are the changes still to be pushed, of members of the local failure domain and of
	// others. A node that is no relay only pushes its own record: it sends it to other domains itself, since its relays
	// may be dead.
	ownPushes    []push
	remotePushes []push
	nextProbe    clock.Time
}

type push struct {
	domain identifier.FailureDomain
	node   identifier.Node
	copies int
	// toOwnRelays means that the change is also pushed to the other relays of the local failure domain.
	toOwnRelays bool
}

func newRelayer() relayer {
	return relayer{
		tables:      map[identifier.FailureDomain]*table{},
		remotes:     map[identifier.FailureDomain]*remoteDomain{},
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

// excludePause leaves a pause of this process out of the silence of other domains. The last contact never moves past
// now, as it may stem from a message received after the pause.
func (r *relayer) excludePause(gap clock.Duration, now clock.Time) {
	for _, o := range r.remotes {
		o.lastContact = min(now, o.lastContact.Add(gap))
		o.remainingProbes = urgentProbesAfterSilence
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

func (r *relayer) pushOwn(n identifier.Node) {
	r.ownPushes = slices.DeleteFunc(r.ownPushes, func(p push) bool { return p.node == n })
	r.ownPushes = append(r.ownPushes, push{node: n})
}

func (g *Gossiper) tickRelay(now clock.Time) []Effect {
	r := &g.relayer
	effects := g.flushOwnPushes()
	if !r.isRelay {
		return effects
	}
	effects = append(effects, g.flushRemotePushes(now)...)
	g.startTrackingSilence(now)
	for _, d := range r.domains() {
		effects = append(effects, g.probeUrgently(d, now)...)
		effects = append(effects, g.updateSilence(d, now)...)
		effects = append(effects, g.requestContacts(d, now)...)
	}
	if now < r.nextProbe {
		return effects
	}
	r.nextProbe = now.Add(remoteProbeInterval*3/4 + g.jitter(remoteProbeInterval/2))
	for _, d := range r.domains() {
		effects = append(effects, g.probeDomain(d)...)
	}
	return effects
}

// startTrackingSilence starts to measure the silence of other domains when this node becomes a relay; before, it relied
// on the relays' answers. Members from these answers stay confirmed and silent domains stay silent until the node's own
// tables are filled: otherwise it would drop living members, and use those of a silent domain again.
func (g *Gossiper) startTrackingSilence(now clock.Time) {
	if g.relayer.tracksSilence {
		return
	}
	g.relayer.tracksSilence = true
	g.confirmAll(now)
	for _, o := range g.relayer.remotes {
		o.contacted = false
		o.remainingProbes = urgentProbesAfterSilence
		if !o.silent {
			o.lastContact = now
		}
	}
}

// probeDomain compares the table of a domain with one of that domain's relays, or, one time in four, with a relay of
// the local failure domain, which may have received what this node missed.
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
	urgentDelayPassed := now.Sub(o.lastContact) >= o.silenceThreshold(urgentProbeDelay, 0)
	if t == nil || now < o.nextUrgentProbe || !(urgentDelayPassed || o.remainingProbes > 0) {
		return nil
	}
	o.nextUrgentProbe = now.Add(urgentProbeInterval)
	if o.remainingProbes > 0 && !urgentDelayPassed {
		o.remainingProbes--
		return g.probeDomain(d)
	}
	var effects []Effect
	message := Probe{Domain: d, Hash: t.hash(), Relays: g.ownRelays()}
	for _, c := range o.contacts {
		effects = append(effects, Send{To: c.Node, Address: c.Address, Message: message})
	}
	// All reported relays of the domain may have died at once while other members live.
	for range min(relayFanout, len(t.up)) {
		effects = append(effects, g.send(t.up[g.options.Rand.IntN(len(t.up))], message))
	}
	return effects
}

// updateSilence takes a domain out of use after silenceLimit without contact, and back into use afterwards: when a
// whole domain dies, no member of it is left to report the others as dead.
func (g *Gossiper) updateSilence(d identifier.FailureDomain, now clock.Time) []Effect {
	o := g.relayer.remotes[d]
	silent := now.Sub(o.lastContact) > o.silenceThreshold(silenceLimit, newRelaySilenceLimit)
	if silent == o.silent {
		return nil
	}
	o.silent = silent
	effects := g.view.setHidden(d, silent)
	if !silent {
		return effects
	}
	for _, n := range g.activeSubscribers(now) {
		notice := Subscription{IsAnswer: true, Unchanged: true, SilentDomains: []identifier.FailureDomain{d}}
		effects = append(effects, g.send(n, notice))
	}
	return effects
}

func (r *remoteDomain) silenceThreshold(contactedThreshold, uncontactedThreshold clock.Duration) clock.Duration {
	if r.contacted {
		return contactedThreshold
	}
	return uncontactedThreshold
}

// requestContacts asks the other domains for contacts in a silent one. During a partition all its known nodes may have
// been replaced, and then no node of this domain could ever reach it again.
func (g *Gossiper) requestContacts(d identifier.FailureDomain, now clock.Time) []Effect {
	o := g.relayer.remotes[d]
	if !o.silent || now < o.nextContactRequest {
		return nil
	}
	o.nextContactRequest = now.Add(contactRequestInterval)
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

func (g *Gossiper) recordContact(d identifier.FailureDomain, now clock.Time) []Effect {
	if d == g.self.Domain {
		return nil
	}
	o := g.remoteOf(d, now)
	o.lastContact = max(o.lastContact, now)
	o.contacted = true
	if !o.silent {
		return nil
	}
	o.silent = false
	o.remainingProbes = urgentProbesAfterSilence
	return g.view.setHidden(d, false)
}

func (g *Gossiper) receiveProbe(from identifier.Node, m Probe, now clock.Time) []Effect {
	effects := g.setContacts(m.Relays, now)
	if len(m.Relays) > 0 {
		effects = append(effects, g.recordContact(m.Relays[0].Domain, now)...)
	}
	t := g.tableOf(m.Domain)
	if t == nil {
		// This node is no relay or has no table of that domain: it only answers with its domain's relays.
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
			return append(effects, g.recordContact(c.Domain, now)...)
		}
	}
	return effects
}
