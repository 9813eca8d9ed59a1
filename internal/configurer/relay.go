// News spreads as hints of a few bytes; whoever is behind asks the sender for the records. A hint or an
// answer that gets lost is made good by the next hint or ping, since each of them carries the position.
//
// Example: PeerNews("n7", 42, 300, now) from a ping, with the own next at 40, returns
// Send{To: "n7", Message: TailRequest{From: 40}}.

package configurer

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// The rhythm of passing on.
const (
	hintInterval = 50 * clock.Millisecond
	// hintRounds is how often new records are hinted at; one round alone misses a member in twenty.
	hintRounds         = 3
	remoteHintInterval = clock.Second
	remoteFanout       = 4
	pullTimeout        = 150 * clock.Millisecond
	idlePullInterval   = 2 * clock.Second
	skipDelay       = 3 * clock.Second
)

type relay struct {
	local, remote []identifier.Node
	// next is the local peer that follows this node by name, around the end of the list.
	next identifier.Node
	// hinted is the position of the last hint sent.
	hinted     identifier.Offset
	rounds     int
	nextHint   clock.Time
	nextRemote clock.Time
	// pullDeadline is the moment until which an answer to a TailRequest is awaited.
	pullDeadline  clock.Time
	nextIdle clock.Time
	// newest is the furthest position heard of, and the peer that has it.
	newest     identifier.Offset
	newestPeer identifier.Node
}

// Tick does what is due; call it every 50 to 100 ms.
func (c *Configurer) Tick(now clock.Time, wall clock.Wall) []Effect {
	effects := c.tickReader(now)
	effects = append(effects, c.tickSnapshot(now, wall)...)
	effects = append(effects, c.hintIfNew(now)...)
	effects = append(effects, c.hintRemote(now)...)
	if c.relay.newest >= c.tail.next {
		effects = append(effects, c.request(c.relay.newestPeer, now)...)
	}
	if c.needsPull(now) && now >= c.relay.nextIdle {
		c.relay.nextIdle = now.Add(idlePullInterval/2 + c.jitter(idlePullInterval))
		effects = append(effects, c.pull(now)...)
	}
	return effects
}

// needsPull tells that this node can't expect the next news to come by itself.
func (c *Configurer) needsPull(now clock.Time) bool {
	return c.waiting || c.reader.catchingUp || c.Freshness(now) > staleContactAge
}

// Receive takes in a message from another node.
func (c *Configurer) Receive(from identifier.Node, message any, now clock.Time, wall clock.Wall) []Effect {
	switch m := message.(type) {
	case Hint:
		return c.PeerStatus(from, m.Next-1, m.Contact, now)
	case TailRequest:
		return c.answer(from, m, now)
	case Tail:
		return c.receiveTail(from, m, now, wall)
	case State:
		effects := c.adopt(m.Snapshot)
		return append(effects, c.hintIfNew(now)...)
	}
	return nil
}

// PeerStatus takes in, from a ping, the offset that a peer has read up to and its newest contact with the log.
func (c *Configurer) PeerStatus(from identifier.Node, offset identifier.Offset, n Contact, now clock.Time) []Effect {
	if offset < c.tail.next {
		// Only one who has all that the peer had knows what the log's end was at that contact.
		c.recordContact(n, now)
		if !c.waiting {
			return nil
		}
	}
	if offset >= c.relay.newest {
		c.relay.newest = offset
		c.relay.newestPeer = from
	}
	return c.request(from, now)
}

func (c *Configurer) request(to identifier.Node, now clock.Time) []Effect {
	if now < c.relay.pullDeadline {
		return nil
	}
	c.relay.pullDeadline = now.Add(pullTimeout)
	m := TailRequest{From: c.tail.next, State: c.waiting || c.lacksConfiguration(), Skip: c.maySkip(now)}
	return []Effect{Send{To: to, Message: m}}
}

func (c *Configurer) lacksConfiguration() bool {
	return c.reader.catchingUp && c.through < c.options.First
}

// maySkip tells that the log has been failing for long enough to go on without what only it may still have.
func (c *Configurer) maySkip(now clock.Time) bool {
	return c.reader.failed && now.Sub(c.reader.failedSince) >= skipDelay
}

// pull asks a random peer, of another domain where there is none in the own or now and then.
func (c *Configurer) pull(now clock.Time) []Effect {
	peers := c.relay.local
	if len(peers) == 0 || (len(c.relay.remote) > 0 && c.options.Rand.IntN(3) == 0) {
		peers = c.relay.remote
	}
	if len(peers) == 0 {
		return nil
	}
	return c.request(peers[c.options.Rand.IntN(len(peers))], now)
}

func (c *Configurer) answer(to identifier.Node, m TailRequest, now clock.Time) []Effect {
	var effects []Effect
	from := m.From
	behind := from < c.tail.start
	if (m.State || behind) && !c.waiting && c.through >= c.options.First {
		effects = append(effects, Send{To: to, Message: State{Snapshot: c.configuration.snapshot(c.through)}})
	}
	if behind && m.Skip {
		from = c.tail.start
	}
	// An empty tail is sent too: it carries the age, and ends the wait for an answer.
	if from < c.tail.start || from > c.tail.next {
		return effects
	}
	t := c.tail.from(from)
	t.Contact = c.Contact(now)
	return append(effects, Send{To: to, Message: t})
}

func (c *Configurer) receiveTail(from identifier.Node, m Tail, now clock.Time, wall clock.Wall) []Effect {
	c.relay.pullDeadline = now
	var effects []Effect
	if m.From > c.tail.next {
		// A late answer to an older request; or the peer's tail begins too late while the log may still have
		// what is missing. Skipping then would lose records that can be had.
		if !c.maySkip(now) {
			c.reader.catchingUp = true
			return nil
		}
		effects = c.skip(m.From)
	}
	for _, r := range m.Records {
		effects = append(effects, c.applyRecord(r, now, wall)...)
	}
	if c.tail.next >= m.End {
		c.recordContact(m.Contact, now)
		c.reader.catchingUp = c.reader.catchingUp && m.Contact.Age > staleContactAge
	} else {
		effects = append(effects, c.request(from, now)...)
	}
	if c.relay.newest >= c.tail.next {
		effects = append(effects, c.request(c.relay.newestPeer, now)...)
	}
	return append(effects, c.hintIfNew(now)...)
}

func (c *Configurer) hint(now clock.Time) Hint {
	return Hint{Next: c.tail.next, Contact: c.Contact(now)}
}

func (c *Configurer) hintIfNew(now clock.Time) []Effect {
	p := &c.relay
	if p.hinted < c.tail.next {
		p.hinted = c.tail.next
		p.rounds = hintRounds
		p.nextRemote = min(p.nextRemote, now)
	}
	if p.rounds == 0 || now < p.nextHint || len(p.local) == 0 {
		return nil
	}
	p.rounds--
	p.nextHint = now.Add(hintInterval)
	// The next member by name is always told, so that without losses nobody is left out by chance.
	next := Send{To: p.next, Message: c.hint(now)}
	return append(c.hintSome(p.local, c.options.Fanout-1, now), next)
}

// hintRemote keeps domains current that are cut off from the log but not from this one.
func (c *Configurer) hintRemote(now clock.Time) []Effect {
	p := &c.relay
	if !c.reader.elected || now < p.nextRemote {
		return nil
	}
	p.nextRemote = now.Add(remoteHintInterval)
	return c.hintSome(p.remote, remoteFanout, now)
}

func (c *Configurer) hintSome(peers []identifier.Node, fanout int, now clock.Time) []Effect {
	if len(peers) == 0 {
		return nil
	}
	h := c.hint(now)
	fanout = min(fanout, len(peers))
	effects := make([]Effect, 0, fanout)
	first := c.options.Rand.IntN(len(peers))
	stride := 1
	if len(peers) > 2*fanout {
		stride = 1 + c.options.Rand.IntN((len(peers)-1)/fanout)
	}
	for i := range fanout {
		effects = append(effects, Send{To: peers[(first+i*stride)%len(peers)], Message: h})
	}
	return effects
}
