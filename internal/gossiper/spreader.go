// A change is passed on to random members a limited number of times by each node that hears it for the first
// time; that reaches all of n members in about log n rounds, and costs each node about 3 log n copies. What a
// lossy network keeps from a member nevertheless, the comparison of hashes finds.
//
// Example: with 482 members a change goes out 19 times from each node, three at a tick, and has reached all
// of them after five or six ticks.

package gossiper

import (
	"cmp"
	"math"
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	// gossipFanout is how many members get a gossip per tick.
	gossipFanout = 3
	// maxUpdates and maxUpdateBytes bound the records in one message.
	maxUpdates     = 16
	maxUpdateBytes = 1200
	// maxRumors bounds the changes under way; when a whole domain boots at once, most of it is left to the
	// comparison of tables.
	maxRumors = 64
	// minTransmits keeps a change from being lost in a domain of two or three members.
	minTransmits = 8
)

type rumor struct {
	node       identifier.Node
	sentCopies int
}

type spreader struct {
	rumors     []rumor
	nextGossip clock.Time
}

// startSpreading starts the spreading of a member's newest record, from zero if it was already under way.
func (s *spreader) startSpreading(n identifier.Node) {
	s.rumors = slices.DeleteFunc(s.rumors, func(r rumor) bool { return r.node == n })
	s.rumors = append(s.rumors, rumor{node: n})
	if len(s.rumors) > maxRumors {
		s.dropMostSent()
	}
}

// dropMostSent ends the spreading of the record that was sent most often.
func (s *spreader) dropMostSent() {
	mostSent := 0
	for i, r := range s.rumors {
		if r.sentCopies > s.rumors[mostSent].sentCopies {
			mostSent = i
		}
	}
	s.rumors = slices.Delete(s.rumors, mostSent, mostSent+1)
}

func (g *Gossiper) transmitLimit() int {
	return max(minTransmits, int(math.Ceil(3*math.Log(float64(len(g.ownTable.up)+1)))))
}

// nextUpdates returns the records spread least so far, and counts them as sent to that many members.
func (g *Gossiper) nextUpdates(copies int) []Member {
	s := &g.spreader
	if len(s.rumors) == 0 {
		return nil
	}
	slices.SortStableFunc(s.rumors, func(a, b rumor) int { return cmp.Compare(a.sentCopies, b.sentCopies) })
	var records []Member
	bytes := 0
	for i := range s.rumors {
		e := g.ownTable.members[s.rumors[i].node]
		if e == nil {
			s.rumors[i].sentCopies = math.MaxInt32
			continue
		}
		size := estimateSize(e.Member)
		if len(records) == maxUpdates || (len(records) > 0 && bytes+size > maxUpdateBytes) {
			break
		}
		bytes += size
		records = append(records, e.Member)
		s.rumors[i].sentCopies += copies
	}
	limit := g.transmitLimit()
	s.rumors = slices.DeleteFunc(s.rumors, func(r rumor) bool { return r.sentCopies >= limit })
	return records
}

// estimateSize estimates the encoded size of a record.
func estimateSize(m Member) int {
	size := 16 + len(m.Node) + len(m.Domain) + len(m.Address) + len(m.AdminAddress)
	for _, e := range m.Endpoints {
		size += 12 + len(e.ID) + len(e.Service)
	}
	return size
}

func (g *Gossiper) sendGossip(now clock.Time) []Effect {
	if len(g.spreader.rumors) == 0 || now < g.spreader.nextGossip {
		return nil
	}
	peers := g.randomPeers(gossipFanout, "")
	if len(peers) == 0 {
		return nil
	}
	g.spreader.nextGossip = now.Add(TickInterval)
	message := Gossip{Updates: g.nextUpdates(len(peers))}
	effects := make([]Effect, 0, len(peers))
	for _, p := range peers {
		effects = append(effects, g.send(p, message))
	}
	return effects
}

func (g *Gossiper) send(to identifier.Node, message any) Effect {
	address, _ := g.AddressOf(to)
	return Send{To: to, Address: address, Message: message}
}

// randomPeers draws distinct members of the own domain other than this node and the one excepted.
//
// The last node of a domain is no longer among the members once it has left itself; a draw from nobody would end the
// process in the middle of its planned stop, with uploads under way.
func (g *Gossiper) randomPeers(count int, except identifier.Node) []identifier.Node {
	if len(g.ownTable.up) == 0 {
		return nil
	}
	var peers []identifier.Node
	for range 4 * count {
		n := g.ownTable.up[g.options.Rand.IntN(len(g.ownTable.up))]
		if n != g.self.Node && n != except && !slices.Contains(peers, n) {
			peers = append(peers, n)
		}
		if len(peers) == count {
			break
		}
	}
	return peers
}
