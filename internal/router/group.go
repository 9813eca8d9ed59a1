// Picking must cost the same for 5 endpoints as for 500. So the endpoints that may be picked are kept in slices, of
// which two elements are drawn at random; a removed endpoint is replaced by the last one.
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
	// local and remote are the usable endpoints in the local failure domain and in the others.
	local, remote group
	// Ejected endpoints are probed. Limited, stopping, ejected and suspect endpoints, in this order, are the last
	// resort. Leaving and evacuated endpoints are never picked. Endpoints at their connection limit are kept in full
	// until one of their calls ends, so that no pick has to search past them.
	ejected, limited, stopping, suspect, leaving, full group
	count                                              int
	// meanUtilization is the mean utilization that answers reported, latency the mean latency of answered calls.
	meanUtilization float64
	latency         float64
}

// usable returns how many endpoints take ordinary calls.
func (s *service) usable() int {
	return len(s.local.members) + len(s.remote.members)
}
