// Each node pings one member per interval, alternating between the next one by name and a random one. Pinging the next
// one ensures that every member is pinged within two intervals; pinging a random one detects failures beyond a run of
// neighbours that died together. A member that answers neither directly nor through two other members becomes suspect,
// and dead if it does not refute in time.
//
// Example: n4 dies at 0 ms; n3 pings it by 1000 ms at the latest, suspects it at 1500 ms, and the domain drops it at
// about 3100 ms.

package gossiper

import (
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	// repeatInterval is how long to wait for an ack before the ping is repeated and other members are asked to ping
	// too. With one message in five lost, a single ping goes unanswered more than a third of the time; the domain would
	// be busy with suspicions and refutations, and changes would queue up faster than they are sent.
	repeatInterval = 100 * clock.Millisecond
	indirectFanout = 2
	// confirmInterval is how often each confirming member pings a suspect member.
	confirmInterval = 300 * clock.Millisecond
	// confirmerCount is the approximate number of members that confirm a suspicion.
	confirmerCount = 4
	// deadPingInterval is the average interval at which a node pings a dead member, which may only have been
	// partitioned.
	deadPingInterval = 5 * clock.Second
)

type pendingPing struct {
	sequence uint32
	target   identifier.Node
	sentAt   clock.Time
	repeatAt clock.Time
	// requester is the node that asked for this ping, and requesterSequence the sequence number of its own ping.
	requester         identifier.Node
	requesterSequence uint32
}

type prober struct {
	sequence     uint32
	pendingPings []pendingPing
	nextProbe    clock.Time
	nextDeadPing clock.Time
	randomTarget bool
	// suspectMembers lists the members under suspicion; settled ones are removed at the next tick.
	suspectMembers []identifier.Node
}

func (p *prober) clearPending() {
	p.pendingPings = nil
}

func (p *prober) removePending(sequence uint32, target identifier.Node) {
	p.pendingPings = slices.DeleteFunc(p.pendingPings, func(o pendingPing) bool {
		return o.target == target && o.sequence == sequence
	})
}

func (g *Gossiper) tickPings(now clock.Time) []Effect {
	effects := g.checkPendingPings(now)
	p := &g.prober
	if now >= p.nextDeadPing {
		p.nextDeadPing = now.Add(deadPingInterval/2 + g.jitter(deadPingInterval))
		effects = append(effects, g.pingDeadMember()...)
	}
	if now < p.nextProbe {
		return effects
	}
	// The jitter keeps nodes that were started together from pinging in step.
	p.nextProbe = now.Add(g.options.ProbeInterval - TickInterval/2 + g.jitter(TickInterval))
	target := g.nextTarget()
	if target == "" {
		return effects
	}
	return append(effects, g.ping(target, "", 0, now))
}

func (g *Gossiper) nextTarget() identifier.Node {
	up := g.ownTable.up
	if len(up) < 2 {
		return ""
	}
	g.prober.randomTarget = !g.prober.randomTarget
	if g.prober.randomTarget {
		return g.randomPeer()
	}
	// Suspect members are skipped because they are pinged anyway; otherwise, if neighbours died together, each would
	// only be pinged after the suspicion of the one before it has ended.
	i, _ := slices.BinarySearch(up, g.self.Node)
	for step := 1; step < len(up); step++ {
		if n := up[(i+step)%len(up)]; g.ownTable.members[n].State == Alive {
			return n
		}
	}
	return g.randomPeer()
}

func (g *Gossiper) randomPeer() identifier.Node {
	i := g.options.Rand.IntN(len(g.ownTable.up) - 1)
	ownIndex, _ := slices.BinarySearch(g.ownTable.up, g.self.Node)
	if i >= ownIndex {
		i++
	}
	return g.ownTable.up[i]
}

// ping sends a ping. If the target is suspect or dead, its record goes first, so that it can refute.
func (g *Gossiper) ping(target, requester identifier.Node, requesterSequence uint32, now clock.Time) Effect {
	g.prober.sequence++
	g.prober.pendingPings = append(g.prober.pendingPings, pendingPing{
		sequence:          g.prober.sequence,
		target:            target,
		sentAt:            now,
		repeatAt:          now.Add(repeatInterval),
		requester:         requester,
		requesterSequence: requesterSequence,
	})
	return g.send(target, Ping{
		Sequence: g.prober.sequence,
		Status:   g.status,
		Hash:     g.ownTable.hash(),
		Updates:  g.updatesForTarget(target),
	})
}

func (g *Gossiper) updatesForTarget(target identifier.Node) []Member {
	updates := g.nextUpdates(1)
	e := g.ownTable.members[target]
	if e == nil || e.State == Alive {
		return updates
	}
	return slices.Insert(updates, 0, e.Member)
}

func (g *Gossiper) checkPendingPings(now clock.Time) []Effect {
	var effects []Effect
	var unanswered []identifier.Node
	kept := g.prober.pendingPings[:0]
	for _, p := range g.prober.pendingPings {
		age := now.Sub(p.sentAt)
		if age >= g.options.ProbeInterval {
			if p.requester == "" {
				unanswered = append(unanswered, p.target)
			}
			continue
		}
		if now >= p.repeatAt && p.requester == "" {
			p.repeatAt = now.Add(repeatInterval)
			effects = append(effects, g.repeatPing(p)...)
		}
		kept = append(kept, p)
	}
	g.prober.pendingPings = kept
	for _, n := range unanswered {
		effects = append(effects, g.markSuspect(n, now)...)
	}
	return effects
}

func (g *Gossiper) repeatPing(p pendingPing) []Effect {
	repeated := Ping{Sequence: p.sequence, Status: g.status, Hash: g.ownTable.hash()}
	effects := []Effect{g.send(p.target, repeated)}
	for _, n := range g.randomPeers(indirectFanout, p.target) {
		effects = append(effects, g.send(n, PingRequest{Sequence: p.sequence, Target: p.target}))
	}
	return effects
}

func (g *Gossiper) markSuspect(n identifier.Node, now clock.Time) []Effect {
	e := g.ownTable.members[n]
	if e == nil || e.State != Alive {
		return nil
	}
	m := e.Member
	m.State = Suspect
	effects := g.applyRecord(m, now)
	e.confirming = true
	return effects
}

// startSuspicion starts the wait for a refutation. A few of the members that learn of the suspicion ping the member
// too: with one in five messages lost, the first suspicion alone is wrong too often.
func (g *Gossiper) startSuspicion(n identifier.Node, now clock.Time) {
	e := g.ownTable.members[n]
	e.deadline = now.Add(g.options.Suspicion)
	e.confirming = g.options.Rand.IntN(len(g.ownTable.up)) < confirmerCount
	e.nextPing = now
	if !slices.Contains(g.prober.suspectMembers, n) {
		g.prober.suspectMembers = append(g.prober.suspectMembers, n)
	}
}

func (g *Gossiper) tickSuspects(now clock.Time) []Effect {
	var effects []Effect
	isSettled := func(n identifier.Node) bool {
		e := g.ownTable.members[n]
		return e == nil || e.State != Suspect
	}
	g.prober.suspectMembers = slices.DeleteFunc(g.prober.suspectMembers, isSettled)
	for _, n := range g.prober.suspectMembers {
		e := g.ownTable.members[n]
		if now >= e.deadline {
			m := e.Member
			m.State = Dead
			effects = append(effects, g.applyRecord(m, now)...)
			continue
		}
		if e.confirming && now >= e.nextPing {
			e.nextPing = now.Add(confirmInterval)
			effects = append(effects, g.ping(n, "", 0, now))
		}
	}
	return effects
}

// pingDeadMember pings a random dead member. After a partition within the domain, each half considers the other dead,
// and without these pings the halves would never exchange messages again.
func (g *Gossiper) pingDeadMember() []Effect {
	if len(g.ownTable.dead) == 0 {
		return nil
	}
	n := g.ownTable.dead[g.options.Rand.IntN(len(g.ownTable.dead))]
	message := Ping{Status: g.status, Hash: g.ownTable.hash(), Updates: g.updatesForTarget(n)}
	return []Effect{g.send(n, message)}
}

func (g *Gossiper) receivePing(from identifier.Node, m Ping, now clock.Time) []Effect {
	effects := g.applyUpdates(m.Updates, now)
	effects = append(effects, g.receiveStatus(from, m.Status, now)...)
	e := g.ownTable.members[from]
	if e == nil {
		// The sender knows this node but this node does not know the sender: request its record.
		return append(effects, Send{To: from, Message: Ack{Sequence: m.Sequence, Status: g.status}},
			Send{To: from, Message: Members{Domain: g.ownTable.domain, Wanted: []identifier.Node{from}}})
	}
	ack := Ack{Sequence: m.Sequence, Status: g.status, Updates: g.updatesForTarget(from)}
	effects = append(effects, g.send(from, ack))
	return append(effects, g.startComparison(from, m.Hash, now)...)
}

func (g *Gossiper) receiveAck(from identifier.Node, m Ack, now clock.Time) []Effect {
	var effects []Effect
	for _, p := range g.prober.pendingPings {
		if p.sequence == m.Sequence && p.target == from && p.requester != "" {
			effects = append(effects, g.send(p.requester, IndirectAck{Sequence: p.requesterSequence, Target: from}))
		}
	}
	g.prober.removePending(m.Sequence, from)
	effects = append(effects, g.applyUpdates(m.Updates, now)...)
	return append(effects, g.receiveStatus(from, m.Status, now)...)
}

func (g *Gossiper) receivePingRequest(from identifier.Node, m PingRequest, now clock.Time) []Effect {
	if g.ownTable.members[m.Target] == nil {
		return nil
	}
	return []Effect{g.ping(m.Target, from, m.Sequence, now)}
}

func (g *Gossiper) receiveStatus(from identifier.Node, received Status, now clock.Time) []Effect {
	if e := g.ownTable.members[from]; e != nil {
		e.status = ReceivedStatus{Status: received, At: now}
	}
	return []Effect{StatusReceived{Node: from, Status: received}}
}

func (g *Gossiper) jitter(span clock.Duration) clock.Duration {
	return clock.Duration(g.options.Rand.Int64N(int64(span) + 1))
}
