// Each node that first receives a change sends it to random members a limited number of times. That reaches all n
// members in about log n rounds, and costs each node about 3 log n copies. The comparison of table hashes finds the
// changes that a member still misses because of message loss.
//
// Example: with 482 members each node sends a change 19 times, three copies per tick, and all members have it after
// five or six ticks.

package gossiper

import (
	"cmp"
	"math"
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	// gossipFanout is how many members get a Gossip message per tick.
	gossipFanout = 3
	// maxUpdates and maxUpdateBytes limit the records in one message.
	maxUpdates     = 16
	maxUpdateBytes = 1200
	// maxRumors limits the changes being spread; when a whole domain starts at once, most records are left to the
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

// startSpreading starts to spread a member's newest record, and restarts its count of copies if it is already being
// spread.
func (s *spreader) startSpreading(n identifier.Node) {
	s.rumors = slices.DeleteFunc(s.rumors, func(r rumor) bool { return r.node == n })
	s.rumors = append(s.rumors, rumor{node: n})
	if len(s.rumors) > maxRumors {
		s.dropMostSent()
	}
}

// dropMostSent stops spreading the record with the most copies sent.
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

// nextUpdates returns the records with the fewest copies sent, and adds copies to their counts.
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

// randomPeers draws distinct members of the local failure domain, without this node and the excepted one.
//
// The member list is empty once the last node of a domain has left; drawing from it would panic during the planned stop
// and cut off uploads in progress.
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
