// A Gossiper holds a node's view of the fleet. It is a state machine without I/O: it takes messages and the time, and
// returns effects that the caller carries out. The node keeps all members of its own domain, since any of them may be
// asked to handle a call or to witness a claim; of other domains it keeps only a few contacts and the endpoints of the
// services that it calls, so that its traffic doesn't grow with the fleet.
//
// Example: g.Tick(now) every 100 ms returns Send effects; g.Receive("n2", Ping{…}, now) returns Send{Ack}.

package gossiper

import (
	"math/rand/v2"
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Options are the parameters of a Gossiper; the zero value of each number means its default.
type Options struct {
	Self Member
	// Seeds are addresses of nodes to join through first, so that a node can start while the log is down.
	Seeds []string
	Rand  *rand.Rand
	// ProbeInterval is the time between two pings that a node sends.
	ProbeInterval clock.Duration
	// Suspicion is how long a suspect member has to refute before it counts as dead.
	Suspicion clock.Duration
}

// Defaults of Options, and fixed intervals and limits.
const (
	DefaultProbeInterval = 500 * clock.Millisecond
	DefaultSuspicion     = 1500 * clock.Millisecond
	// TickInterval is the interval at which the caller must call Tick.
	TickInterval = 100 * clock.Millisecond
	// downRetention is how long the record of a dead or left member is kept, so that a late message can't revive it.
	downRetention = 10 * clock.Minute
	// maxTickGap is the gap between two ticks above which this process is assumed to have been paused.
	maxTickGap = clock.Second
)

// Gossiper is the state of the membership at one node; create it with New.
type Gossiper struct {
	options      Options
	self         Member
	ownTable     *table
	view         view
	status       Status
	lastTick     clock.Time
	ticked       bool
	spreader     spreader
	prober       prober
	repairer     repairer
	relayer      relayer
	joiner       joiner
	follower     follower
	nextEviction clock.Time
}

// New returns a Gossiper that knows only itself.
func New(o Options) *Gossiper {
	if o.ProbeInterval == 0 {
		o.ProbeInterval = DefaultProbeInterval
	}
	if o.Suspicion == 0 {
		o.Suspicion = DefaultSuspicion
	}
	o.Self.State = Alive
	o.Self.Incarnation = max(o.Self.Incarnation, 1)
	g := &Gossiper{
		options:  o,
		self:     o.Self,
		ownTable: newTable(o.Self.Domain),
		view:     newView(),
		relayer:  newRelayer(),
		follower: newFollower(),
		joiner:   newJoiner(),
	}
	g.ownTable.put(g.self, 0)
	g.view.apply(g.self, 0)
	g.electRelays()
	return g
}

// SetStatus sets the configuration status that this node's pings carry.
func (g *Gossiper) SetStatus(s Status) {
	g.status = s
}

// StatusOf returns the last status received from a node of the local failure domain.
func (g *Gossiper) StatusOf(n identifier.Node) (ReceivedStatus, bool) {
	if e := g.ownTable.members[n]; e != nil && e.status.At > 0 {
		return e.status, true
	}
	return ReceivedStatus{}, false
}

// Self returns this node's own record.
func (g *Gossiper) Self() Member {
	return g.self
}

// Members returns the names of the local failure domain's alive and suspect members, sorted; the caller must not change
// the slice.
func (g *Gossiper) Members() []identifier.Node {
	return g.ownTable.up
}

// Member returns the record of a member of the local failure domain.
func (g *Gossiper) Member(n identifier.Node) (Member, bool) {
	if e := g.ownTable.members[n]; e != nil {
		return e.Member, true
	}
	return Member{}, false
}

// Endpoints returns the known endpoints of a service, sorted by id; the caller must not change the slice.
func (g *Gossiper) Endpoints(s identifier.Service) []PlacedEndpoint {
	return g.view.byService[s]
}

// AddressOf returns the address of a node.
func (g *Gossiper) AddressOf(n identifier.Node) (string, bool) {
	if e := g.ownTable.members[n]; e != nil {
		return e.Address, true
	}
	if s := g.view.members[n]; s != nil {
		return s.Address, true
	}
	return g.relayer.addressOf(n)
}

// Tick performs the work that is due; the caller must call it every TickInterval.
func (g *Gossiper) Tick(now clock.Time) []Effect {
	g.compensatePause(now)
	if g.self.State == Left {
		return append(g.sendGossip(now), g.flushOwnPushes()...)
	}
	effects := g.tickJoin(now)
	effects = append(effects, g.tickPings(now)...)
	effects = append(effects, g.tickSuspects(now)...)
	effects = append(effects, g.tickRelay(now)...)
	effects = append(effects, g.tickFollow(now)...)
	effects = append(effects, g.sendGossip(now)...)
	if now >= g.nextEviction {
		g.nextEviction = now.Add(clock.Minute)
		g.evictDownMembers(now)
	}
	return effects
}

// compensatePause leaves a pause of this process out of its failure detection. During the pause it received no acks, so
// it would otherwise report all other members as dead to the whole domain.
func (g *Gossiper) compensatePause(now clock.Time) {
	gap := now.Sub(g.lastTick)
	if g.ticked && gap > maxTickGap {
		g.prober.clearPending()
		for _, e := range g.ownTable.members {
			if e.State == Suspect {
				// A suspicion received after the pause but before this tick must not be extended by the whole gap.
				e.deadline = min(e.deadline.Add(gap), now.Add(g.options.Suspicion))
			}
		}
		g.relayer.excludePause(gap, now)
		g.follower.renewNow(now)
	}
	g.ticked = true
	g.lastTick = now
}

func (g *Gossiper) evictDownMembers(now clock.Time) {
	g.ownTable.evictDown(now, downRetention)
	for _, t := range g.relayer.tables {
		t.evictDown(now, downRetention)
	}
	for n, s := range g.view.members {
		if !s.up() && now.Sub(s.confirmed) > downRetention {
			delete(g.view.members, n)
		}
	}
}

// Receive processes a message from another node.
func (g *Gossiper) Receive(from identifier.Node, message any, now clock.Time) []Effect {
	switch m := message.(type) {
	case Ping:
		return g.receivePing(from, m, now)
	case Ack:
		return g.receiveAck(from, m, now)
	case PingRequest:
		return g.receivePingRequest(from, m, now)
	case IndirectAck:
		g.prober.removePending(m.Sequence, m.Target)
		return nil
	case Gossip:
		return g.applyUpdates(m.Updates, now)
	case Digest:
		return g.receiveDigest(from, m)
	case Summary:
		return g.receiveSummary(from, m)
	case Members:
		return g.receiveMembers(from, m, now)
	case Probe:
		return g.receiveProbe(from, m, now)
	case ProbeAnswer:
		return g.receiveProbeAnswer(m, now)
	case Join:
		return g.receiveJoin(m, now)
	case JoinAnswer:
		return g.receiveJoinAnswer(m, now)
	case Subscribe:
		return g.receiveSubscribe(from, m, now)
	case Subscription:
		return g.receiveSubscription(from, m, now)
	}
	return nil
}

// SetEndpoint announces an endpoint of this node, or changes its record.
func (g *Gossiper) SetEndpoint(e Endpoint, now clock.Time) []Effect {
	list := slices.Clone(g.self.Endpoints)
	i := slices.IndexFunc(list, func(o Endpoint) bool { return o.ID == e.ID })
	if i >= 0 && list[i] == e {
		return nil
	}
	if i >= 0 {
		list[i] = e
	} else {
		list = append(list, e)
	}
	return g.updateSelf(list, Alive, now)
}

// LeaveEndpoint announces that an endpoint accepts no new requests.
func (g *Gossiper) LeaveEndpoint(id identifier.Endpoint, now clock.Time) []Effect {
	for _, e := range g.self.Endpoints {
		if e.ID == id {
			e.State = Leaving
			return g.SetEndpoint(e, now)
		}
	}
	return nil
}

// RemoveEndpoint removes an endpoint from this node's record.
func (g *Gossiper) RemoveEndpoint(id identifier.Endpoint, now clock.Time) []Effect {
	list := slices.DeleteFunc(slices.Clone(g.self.Endpoints), func(o Endpoint) bool { return o.ID == id })
	if len(list) == len(g.self.Endpoints) {
		return nil
	}
	return g.updateSelf(list, Alive, now)
}

// Leave announces that this node leaves the fleet; the caller must keep calling Tick for a second so that the record
// spreads.
func (g *Gossiper) Leave(now clock.Time) []Effect {
	effects := g.updateSelf(nil, Left, now)
	r := Departed{Node: g.self.Node, Domain: g.self.Domain}
	return append(effects, Append{Record: r})
}

func (g *Gossiper) updateSelf(endpoints []Endpoint, state MemberState, now clock.Time) []Effect {
	if g.self.State == Left {
		return nil
	}
	g.self.Endpoints = endpoints
	g.self.State = state
	g.self.Incarnation++
	effects := g.applyRecord(g.self, now)
	effects = append(effects, g.sendGossip(now)...)
	return append(effects, g.flushOwnPushes()...)
}

// applyUpdates applies records of the local failure domain and ignores others.
func (g *Gossiper) applyUpdates(updates []Member, now clock.Time) []Effect {
	var effects []Effect
	for _, m := range updates {
		if m.Domain != g.self.Domain {
			continue
		}
		if m.Node == g.self.Node {
			effects = append(effects, g.refute(m, now)...)
			continue
		}
		effects = append(effects, g.applyRecord(m, now)...)
	}
	return effects
}

// refute raises this node's incarnation above that of a record that another node has changed. Without it, a live node
// whose acks were lost would be declared dead.
func (g *Gossiper) refute(m Member, now clock.Time) []Effect {
	if !supersedes(m, g.self) || g.self.State == Left {
		return nil
	}
	g.self.Incarnation = m.Incarnation + 1
	return g.applyRecord(g.self, now)
}

// applyRecord stores a record of the local failure domain if it is newer, and starts to spread it.
func (g *Gossiper) applyRecord(m Member, now clock.Time) []Effect {
	old, ok := g.ownTable.put(m, now)
	if !ok {
		return nil
	}
	e := g.ownTable.members[m.Node]
	m = e.Member
	e.unverified = m.State == Suspect && (e.unverified || !old.up())
	g.spreader.startSpreading(m.Node)
	if g.relayer.isRelay || m.Node == g.self.Node {
		g.relayer.pushOwn(m.Node)
	}
	if m.State == Suspect {
		g.startSuspicion(m.Node, now)
	}
	var effects []Effect
	if !e.unverified {
		effects = g.view.apply(m, now)
	}
	if old.up() != m.up() {
		g.electRelays()
		effects = append(effects, MembersChanged{Domain: m.Domain})
	}
	return effects
}
