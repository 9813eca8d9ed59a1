// Nodes announce new records with hints of a few bytes; a node that is behind requests the records from the sender. A
// lost hint or answer is made up for by the next hint or ping, since each of them carries the sender's position.
//
// Example: ReceivePeerStatus("n7", 42, contact, now), called for a ping while the own tail's next is 40, returns
// Send{To: "n7", Message: TailRequest{From: 40}}.

package configurer

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Intervals and counts of hints and of requests to peers.
const (
	hintInterval = 50 * clock.Millisecond
	// hintRounds is how many times a hint of new records is sent; a single round misses one member in twenty.
	hintRounds         = 3
	remoteHintInterval = clock.Second
	remoteFanout       = 4
	pullTimeout        = 150 * clock.Millisecond
	idlePullInterval   = 2 * clock.Second
	skipDelay          = 3 * clock.Second
)

type relay struct {
	local, remote []identifier.Node
	// next is the local peer whose name follows this node's name; after the last name comes the first.
	next identifier.Node
	// hinted is the position that the newest hints carry.
	hinted     identifier.Offset
	rounds     int
	nextHint   clock.Time
	nextRemote clock.Time
	// pullDeadline is the time until which no other TailRequest is sent, because an answer may still arrive.
	pullDeadline clock.Time
	nextIdle     clock.Time
	// newest is the highest offset that a peer reported, and newestPeer is that peer.
	newest     identifier.Offset
	newestPeer identifier.Node
}

// Tick performs the periodic work that is due; the caller calls it every 50 to 100 ms.
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

// needsPull reports whether this node must request records, because it can't rely on hints to bring them.
func (c *Configurer) needsPull(now clock.Time) bool {
	return c.hasGap || c.reader.catchingUp || c.Freshness(now) > staleContactAge
}

// Receive processes a message from another node.
func (c *Configurer) Receive(from identifier.Node, message any, now clock.Time, wall clock.Wall) []Effect {
	switch m := message.(type) {
	case Hint:
		return c.ReceivePeerStatus(from, m.Next-1, m.Contact, now)
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

// ReceivePeerStatus processes what a ping carries: the offset up to which a peer has read and the newest log contact
// that it knows of.
func (c *Configurer) ReceivePeerStatus(from identifier.Node, offset identifier.Offset, n Contact, now clock.Time) []Effect {
	if offset < c.tail.next {
		// The peer's log contact proves freshness only for a node that has all records that the peer has.
		c.recordContact(n, now)
		if !c.hasGap {
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
	m := TailRequest{From: c.tail.next, State: c.hasGap || c.lacksConfiguration(), Skip: c.maySkip(now)}
	return []Effect{Send{To: to, Message: m}}
}

func (c *Configurer) lacksConfiguration() bool {
	return c.reader.catchingUp && c.through < c.options.First
}

// maySkip reports whether the log has been failing for so long that this node gives up records that only the log may
// have.
func (c *Configurer) maySkip(now clock.Time) bool {
	return c.reader.failed && now.Sub(c.reader.failedSince) >= skipDelay
}

// pull sends a request to a random peer: of the local failure domain, or of another one if the local one has no other
// node and in a third of all cases.
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
	if (m.State || behind) && !c.hasGap && c.through >= c.options.First {
		effects = append(effects, Send{To: to, Message: State{Snapshot: c.configuration.snapshot(c.through)}})
	}
	if behind && m.Skip {
		from = c.tail.start
	}
	// An empty tail is also sent: it carries the log contact and ends the requester's wait for an answer.
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
		// This is a late answer to an older request, or the peer's tail begins after the needed offset while the log may
		// still have the missing records. Skipping them would lose records that are available.
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
	r := &c.relay
	if r.hinted < c.tail.next {
		r.hinted = c.tail.next
		r.rounds = hintRounds
		r.nextRemote = min(r.nextRemote, now)
	}
	if r.rounds == 0 || now < r.nextHint || len(r.local) == 0 {
		return nil
	}
	r.rounds--
	r.nextHint = now.Add(hintInterval)
	// The next member by name always gets a hint, so that without message loss random selection leaves no node out.
	next := Send{To: r.next, Message: c.hint(now)}
	return append(c.hintSome(r.local, c.options.Fanout-1, now), next)
}

// hintRemote keeps failure domains up to date that can't reach the log but can reach this domain.
func (c *Configurer) hintRemote(now clock.Time) []Effect {
	r := &c.relay
	if !c.reader.elected || now < r.nextRemote {
		return nil
	}
	r.nextRemote = now.Add(remoteHintInterval)
	return c.hintSome(r.remote, remoteFanout, now)
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
