// A call that was declined may be offered only to the endpoints that it has reached. Picked by excluding all others, a
// call would cost time in proportion to the square of their number.
//
// Example: 300 endpoints, of which a call has reached two: only these two are compared.

package router

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// PickAmong chooses one of the given endpoints of a service by the rules of PickWithin.
func (r *Router) PickAmong(name identifier.Service, now clock.Time, among []identifier.Endpoint, need Need) (Choice, bool) {
	s, ok := r.services[name]
	if !ok {
		return Choice{}, false
	}
	m, crossing := r.choose(r.subset(s, among), pickRequest{now: now, need: need})
	return r.take(m, crossing)
}

// subset returns a service with only the given endpoints, for a single choice. The endpoints stay in their own groups.
func (r *Router) subset(s *service, among []identifier.Endpoint) *service {
	only := &service{meanUtilization: s.meanUtilization, latency: s.latency}
	for _, id := range among {
		m, ok := r.members[id]
		if !ok {
			continue
		}
		var g *group
		switch m.group {
		case &s.local:
			g = &only.local
		case &s.remote:
			g = &only.remote
		case &s.ejected:
			g = &only.ejected
		case &s.limited:
			g = &only.limited
		case &s.stopping:
			g = &only.stopping
		case &s.suspect:
			g = &only.suspect
		default:
			// Leaving or full, or of another service.
			continue
		}
		g.members = append(g.members, m)
		only.count++
	}
	return only
}
