// The view holds the endpoints that the node can route to: all endpoints of the local failure domain, and of other
// domains those of the services that it calls. Records come from the local failure domain's table, from a relay's
// tables and from subscriptions; the incarnation decides which record is newer, whatever its source.
//
// Example: n9's endpoint "ice-3" becomes Leaving: the record of incarnation 6 replaces that of 5 and one
// EndpointChanged results, however often the record arrives.

package gossiper

import (
	"cmp"
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

type viewEntry struct {
	Member
	// confirmed is when the member's record was last received or confirmed by a relay.
	confirmed clock.Time
	// hidden means that the member's domain is silent.
	hidden bool
}

type view struct {
	members   map[identifier.Node]*viewEntry
	byService map[identifier.Service][]PlacedEndpoint
}

func newView() view {
	return view{members: map[identifier.Node]*viewEntry{}, byService: map[identifier.Service][]PlacedEndpoint{}}
}

// apply stores a record if it is newer, and returns the changes of the endpoints.
func (v *view) apply(m Member, now clock.Time) []Effect {
	s := v.members[m.Node]
	if s == nil {
		if !m.up() {
			return nil
		}
		s = &viewEntry{}
		v.members[m.Node] = s
	}
	s.confirmed = now
	old := s.Member
	switch {
	case m.Incarnation == old.Incarnation && m.up() && old.up():
		// Records of one incarnation differ only in the services that they were filtered by.
		m.Endpoints = union(old.Endpoints, m.Endpoints)
	case old.State != 0 && !supersedes(m, old):
		return nil
	}
	s.Member = m
	if s.hidden {
		return nil
	}
	return v.diffEndpoints(old, m)
}

func union(a, b []Endpoint) []Endpoint {
	all := slices.Clone(a)
	for _, e := range b {
		known := slices.ContainsFunc(a, func(o Endpoint) bool { return o.ID == e.ID })
		if !known {
			all = append(all, e)
		}
	}
	return all
}

func (v *view) diffEndpoints(old, m Member) []Effect {
	var effects []Effect
	before := usableEndpoints(old)
	after := usableEndpoints(m)
	for _, e := range before {
		gone := !slices.ContainsFunc(after, func(o Endpoint) bool { return o.ID == e.ID })
		if gone {
			v.updateService(e, m, false)
			effects = append(effects, EndpointGone{ID: e.ID, Node: m.Node})
		}
	}
	for _, e := range after {
		if slices.Contains(before, e) {
			continue
		}
		v.updateService(e, m, true)
		p := PlacedEndpoint{Endpoint: e, Node: m.Node, Domain: m.Domain}
		effects = append(effects, EndpointChanged{Endpoint: p})
	}
	return effects
}

func usableEndpoints(m Member) []Endpoint {
	if m.up() {
		return m.Endpoints
	}
	return nil
}

// updateService replaces the list of a service instead of changing it, as callers may still hold the old one.
func (v *view) updateService(e Endpoint, m Member, present bool) {
	list := slices.DeleteFunc(slices.Clone(v.byService[e.Service]), func(p PlacedEndpoint) bool {
		return p.ID == e.ID && p.Node == m.Node
	})
	if present {
		list = append(list, PlacedEndpoint{Endpoint: e, Node: m.Node, Domain: m.Domain})
		slices.SortFunc(list, func(a, b PlacedEndpoint) int {
			return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Node, b.Node))
		})
	}
	v.byService[e.Service] = list
}

// drop removes a member that no relay confirms any more.
func (v *view) drop(n identifier.Node) []Effect {
	s := v.members[n]
	delete(v.members, n)
	if s == nil || s.hidden {
		return nil
	}
	gone := s.Member
	gone.State = Dead
	return v.diffEndpoints(s.Member, gone)
}

// setHidden takes the endpoints of a silent domain out of use, or back into use when the domain is reachable again.
func (v *view) setHidden(domain identifier.FailureDomain, hidden bool) []Effect {
	var effects []Effect
	for _, n := range v.sortedNames() {
		s := v.members[n]
		if s.Domain != domain || s.hidden == hidden {
			continue
		}
		s.hidden = hidden
		down := s.Member
		down.State = Dead
		if hidden {
			effects = append(effects, v.diffEndpoints(s.Member, down)...)
		} else {
			effects = append(effects, v.diffEndpoints(down, s.Member)...)
		}
	}
	return effects
}

func (v *view) sortedNames() []identifier.Node {
	names := make([]identifier.Node, 0, len(v.members))
	for n := range v.members {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}
