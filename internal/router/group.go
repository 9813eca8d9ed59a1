// Picking must cost the same for 5 endpoints as for 500. So the endpoints that may be picked stand in plain
// slices, of which two are drawn at random; an endpoint that leaves is replaced by the last one.
//
// Example: slice [a b c], remove a: [c b].

package router

// group is a set of endpoints to draw from.
type group struct {
	members []*member
}

func (g *group) add(m *member) {
	m.group = g
	m.index = len(g.members)
	g.members = append(g.members, m)
}

func (g *group) remove(m *member) {
	last := len(g.members) - 1
	moved := g.members[last]
	g.members[m.index] = moved
	moved.index = m.index
	g.members[last] = nil
	g.members = g.members[:last]
	m.group = nil
}

// service holds the endpoints of one service.
type service struct {
	// local and far are the usable endpoints of the own failure domain and of the others.
	local, remote group
	// ejected endpoints are probed; limited, stopping, ejected and suspect ones, in this order, are the last resort; leaving
	// and evacuated ones are never picked; full ones wait for one of their calls to end, so that no pick has to search past them.
	ejected, limited, stopping, suspect, leaving, full group
	count                                              int
	// meanUtilization is the mean used part that answers told of, latency the mean over the answered calls.
	meanUtilization float64
	latency         float64
}

// usable returns how many endpoints take ordinary calls.
func (s *service) usable() int {
	return len(s.local.members) + len(s.remote.members)
}
