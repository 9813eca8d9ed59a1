// Each node pings one member per interval, by turns the next one by name and a random one. The next one makes
// sure that every member is pinged by somebody within two intervals; the random one reaches past a run of
// neighbours that died together. A member that answers neither directly nor through two others is suspect,
// and only one that doesn't refute in time is dead.
//
// Example: n4 dies at 0 ms; n3 pings it by 1000 ms at the latest, suspects it at 1500 ms, and the domain
// drops it at about 3100 ms.

package gossiper

import (
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	// repeatInterval is how long an answer may take before the ping is repeated and others are asked to ping
	// too. With one message in five lost, a single ping misses more than a third of all answers; the domain
	// would be busy with suspecting and refuting, and the queue of changes would outgrow what is sent.
	repeatInterval = 100 * clock.Millisecond
	indirectFanout = 2
	// confirmInterval is how often a suspect member is pinged by those who confirm the suspicion.
	confirmInterval = 300 * clock.Millisecond
	// confirmers is about how many members confirm a suspicion.
	confirmers = 4
	// healInterval is how often a dead member is pinged, as it may have been cut off only.
	healInterval = 5 * clock.Second
)

type probe struct {
	sequence uint32
	target   identifier.Node
	sent     clock.Time
	repeat   clock.Time
	// requester is the node that asked for this ping, and requested its sequence.
	requester identifier.Node
	requested uint32
}

type prober struct {
	sequence  uint32
	pending   []probe
	nextProbe clock.Time
	nextHeal  clock.Time
	random    bool
	// suspects lists the members that were suspected last.
	suspects []identifier.Node
}

func (p *prober) forget() {
	p.pending = nil
}

func (p *prober) answered(sequence uint32, target identifier.Node) {
	p.pending = slices.DeleteFunc(p.pending, func(o probe) bool {
		return o.target == target && o.sequence == sequence
	})
}

func (g *Gossiper) tickProbes(now clock.Time) []Effect {
	effects := g.judgeProbes(now)
	p := &g.prober
	if now >= p.nextHeal {
		p.nextHeal = now.Add(healInterval/2 + g.jitter(healInterval))
		effects = append(effects, g.heal()...)
	}
	if now < p.nextProbe {
		return effects
	}
	// A small jitter keeps the nodes of a domain that were started together from pinging in step.
	p.nextProbe = now.Add(g.options.ProbeInterval - TickInterval/2 + g.jitter(TickInterval))
	target := g.nextTarget()
	if target == "" {
		return effects
	}
	return append(effects, g.ping(target, "", 0, now))
}

func (g *Gossiper) nextTarget() identifier.Node {
	up := g.own.up
	if len(up) < 2 {
		return ""
	}
	g.prober.random = !g.prober.random
	if g.prober.random {
		return g.somePeer()
	}
	// Suspect members are pinged anyway; waiting for the end of one suspicion before the next member is looked at
	// would take too long where neighbours died together.
	i, _ := slices.BinarySearch(up, g.self.Node)
	for step := 1; step < len(up); step++ {
		if n := up[(i+step)%len(up)]; g.own.members[n].State == Alive {
			return n
		}
	}
	return g.somePeer()
}

func (g *Gossiper) somePeer() identifier.Node {
	i := g.options.Rand.IntN(len(g.own.up) - 1)
	own, _ := slices.BinarySearch(g.own.up, g.self.Node)
	if i >= own {
		i++
	}
	return g.own.up[i]
}

// ping sends a ping; the newest record of a suspect target goes first, so that it can refute.
func (g *Gossiper) ping(target, requester identifier.Node, requested uint32, now clock.Time) Effect {
	g.prober.sequence++
	g.prober.pending = append(g.prober.pending, probe{
		sequence:  g.prober.sequence,
		target:    target,
		sent:      now,
		repeat:    now.Add(repeatInterval),
		requester: requester,
		requested: requested,
	})
	return g.send(target, Ping{
		Sequence: g.prober.sequence,
		News:     g.news,
		Hash:     g.own.hash(),
		Updates:  g.updatesFor(target),
	})
}

func (g *Gossiper) updatesFor(target identifier.Node) []Member {
	updates := g.updates(1)
	e := g.own.members[target]
	if e == nil || e.State == Alive {
		return updates
	}
	return slices.Insert(updates, 0, e.Member)
}

func (g *Gossiper) judgeProbes(now clock.Time) []Effect {
	var effects []Effect
	var late []identifier.Node
	kept := g.prober.pending[:0]
	for _, p := range g.prober.pending {
		age := now.Sub(p.sent)
		if age >= g.options.ProbeInterval {
			if p.requester == "" {
				late = append(late, p.target)
			}
			continue
		}
		if now >= p.repeat && p.requester == "" {
			p.repeat = now.Add(repeatInterval)
			effects = append(effects, g.insist(p)...)
		}
		kept = append(kept, p)
	}
	g.prober.pending = kept
	for _, n := range late {
		effects = append(effects, g.suspect(n, now)...)
	}
	return effects
}

func (g *Gossiper) insist(p probe) []Effect {
	again := Ping{Sequence: p.sequence, News: g.news, Hash: g.own.hash()}
	effects := []Effect{g.send(p.target, again)}
	for _, n := range g.somePeers(indirectFanout, p.target) {
		effects = append(effects, g.send(n, PingRequest{Sequence: p.sequence, Target: p.target}))
	}
	return effects
}

func (g *Gossiper) suspect(n identifier.Node, now clock.Time) []Effect {
	e := g.own.members[n]
	if e == nil || e.State != Alive {
		return nil
	}
	m := e.Member
	m.State = Suspect
	effects := g.take(m, now)
	e.confirming = true
	return effects
}

// suspected starts the wait for a refutation. A few of those who hear of the suspicion ping the member too:
// with one in five messages lost, the one that suspects first is wrong too often to be trusted alone.
func (g *Gossiper) suspected(n identifier.Node, now clock.Time) {
	e := g.own.members[n]
	e.deadline = now.Add(g.options.Suspicion)
	e.confirming = g.options.Rand.IntN(len(g.own.up)) < confirmers
	e.nextPing = now
	if !slices.Contains(g.prober.suspects, n) {
		g.prober.suspects = append(g.prober.suspects, n)
	}
}

func (g *Gossiper) tickSuspects(now clock.Time) []Effect {
	var effects []Effect
	isSettled := func(n identifier.Node) bool {
		e := g.own.members[n]
		return e == nil || e.State != Suspect
	}
	g.prober.suspects = slices.DeleteFunc(g.prober.suspects, isSettled)
	for _, n := range g.prober.suspects {
		e := g.own.members[n]
		if now >= e.deadline {
			m := e.Member
			m.State = Dead
			effects = append(effects, g.take(m, now)...)
			continue
		}
		if e.confirming && now >= e.nextPing {
			e.nextPing = now.Add(confirmInterval)
			effects = append(effects, g.ping(n, "", 0, now))
		}
	}
	return effects
}

// heal pings a dead member now and then. Two halves of a domain that were cut off from each other hold each
// other for dead, and without this no message would ever cross again.
func (g *Gossiper) heal() []Effect {
	if len(g.own.down) == 0 {
		return nil
	}
	n := g.own.down[g.options.Rand.IntN(len(g.own.down))]
	message := Ping{News: g.news, Hash: g.own.hash(), Updates: g.updatesFor(n)}
	return []Effect{g.send(n, message)}
}

func (g *Gossiper) receivePing(from identifier.Node, m Ping, now clock.Time) []Effect {
	effects := g.learn(m.Updates, now)
	effects = append(effects, g.hearNews(from, m.News, now)...)
	e := g.own.members[from]
	if e == nil {
		// It knows this node, but not the other way round: ask for its record.
		return append(effects, Send{To: from, Message: Ack{Sequence: m.Sequence, News: g.news}},
			Send{To: from, Message: Members{Domain: g.own.domain, Wanted: []identifier.Node{from}}})
	}
	ack := Ack{Sequence: m.Sequence, News: g.news, Updates: g.updatesFor(from)}
	effects = append(effects, g.send(from, ack))
	return append(effects, g.compare(from, m.Hash, now)...)
}

func (g *Gossiper) receiveAck(from identifier.Node, m Ack, now clock.Time) []Effect {
	var effects []Effect
	for _, p := range g.prober.pending {
		if p.sequence == m.Sequence && p.target == from && p.requester != "" {
			effects = append(effects, g.send(p.requester, IndirectAck{Sequence: p.requested, Target: from}))
		}
	}
	g.prober.answered(m.Sequence, from)
	effects = append(effects, g.learn(m.Updates, now)...)
	return append(effects, g.hearNews(from, m.News, now)...)
}

func (g *Gossiper) receivePingRequest(from identifier.Node, m PingRequest, now clock.Time) []Effect {
	if g.own.members[m.Target] == nil {
		return nil
	}
	return []Effect{g.ping(m.Target, from, m.Sequence, now)}
}

func (g *Gossiper) hearNews(from identifier.Node, n News, now clock.Time) []Effect {
	if e := g.own.members[from]; e != nil {
		e.news = HeardNews{News: n, At: now}
	}
	return []Effect{NewsHeard{Node: from, News: n}}
}

func (g *Gossiper) jitter(span clock.Duration) clock.Duration {
	return clock.Duration(g.options.Rand.Int64N(int64(span) + 1))
}
