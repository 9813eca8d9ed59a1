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
	node identifier.Node
	sent int
}

type spreader struct {
	rumors   []rumor
	nextSend clock.Time
}

// add starts the spreading of a member's newest record, from zero if it was already under way.
func (s *spreader) add(n identifier.Node) {
	s.rumors = slices.DeleteFunc(s.rumors, func(r rumor) bool { return r.node == n })
	s.rumors = append(s.rumors, rumor{node: n})
	if len(s.rumors) > maxRumors {
		s.dropOldest()
	}
}

// dropOldest ends the spreading of the record that was sent most often.
func (s *spreader) dropOldest() {
	oldest := 0
	for i, r := range s.rumors {
		if r.sent > s.rumors[oldest].sent {
			oldest = i
		}
	}
	s.rumors = slices.Delete(s.rumors, oldest, oldest+1)
}

func (g *Gossiper) transmitLimit() int {
	return max(minTransmits, int(math.Ceil(3*math.Log(float64(len(g.own.up)+1)))))
}

// updates returns the records spread least so far, and counts them as sent to that many members.
func (g *Gossiper) updates(copies int) []Member {
	s := &g.spreader
	if len(s.rumors) == 0 {
		return nil
	}
	slices.SortStableFunc(s.rumors, func(a, b rumor) int { return cmp.Compare(a.sent, b.sent) })
	var records []Member
	bytes := 0
	for i := range s.rumors {
		e := g.own.members[s.rumors[i].node]
		if e == nil {
			s.rumors[i].sent = math.MaxInt32
			continue
		}
		size := sizeOf(e.Member)
		if len(records) == maxUpdates || (len(records) > 0 && bytes+size > maxUpdateBytes) {
			break
		}
		bytes += size
		records = append(records, e.Member)
		s.rumors[i].sent += copies
	}
	limit := g.transmitLimit()
	s.rumors = slices.DeleteFunc(s.rumors, func(r rumor) bool { return r.sent >= limit })
	return records
}

// sizeOf estimates the encoded size of a record.
func sizeOf(m Member) int {
	size := 16 + len(m.Node) + len(m.Domain) + len(m.Address) + len(m.AdminAddress)
	for _, e := range m.Endpoints {
		size += 12 + len(e.ID) + len(e.Service)
	}
	return size
}

func (g *Gossiper) spread(now clock.Time) []Effect {
	if len(g.spreader.rumors) == 0 || now < g.spreader.nextSend {
		return nil
	}
	peers := g.somePeers(gossipFanout, "")
	if len(peers) == 0 {
		return nil
	}
	g.spreader.nextSend = now.Add(TickInterval)
	message := Gossip{Updates: g.updates(len(peers))}
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

// somePeers draws distinct members of the own domain other than this node and the one excepted.
//
// The last node of a domain is no longer among the members once it has left itself; a draw from nobody would end the
// process in the middle of its planned stop, with uploads under way.
func (g *Gossiper) somePeers(count int, except identifier.Node) []identifier.Node {
	if len(g.own.up) == 0 {
		return nil
	}
	var peers []identifier.Node
	for range 4 * count {
		n := g.own.up[g.options.Rand.IntN(len(g.own.up))]
		if n != g.self.Node && n != except && !slices.Contains(peers, n) {
			peers = append(peers, n)
		}
		if len(peers) == count {
			break
		}
	}
	return peers
}
