// A node keeps only the endpoints of the services that it calls. The first call to a service would find none and be
// refused although capacity is there; so it waits a moment while the fleet is asked.
//
// Example: the first call to "ice" in a node's life waits about one round trip for the subscription's answer.

package reducer

import (
	"slices"
	"strings"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	searchBound  = 500 * clock.Millisecond
	maxSearching = 1000
)

// search parks the call if its service was not asked for yet, and tells whether it did.
func (s *State) search(c *call) bool {
	if !s.interests[c.service] {
		s.interests[c.service] = true
		s.gossip(s.gossiper.AddInterest(c.service, s.now))
	}
	if s.router.Count(c.service) > 0 || c.searchUntil != 0 || len(s.searching[c.service]) >= maxSearching {
		return false
	}
	c.searchUntil = s.now.Add(searchBound)
	s.searching[c.service] = append(s.searching[c.service], c)
	return true
}

func (s *State) resumeSearch(service identifier.Service) {
	waiting := s.searching[service]
	if len(waiting) == 0 || s.router.Count(service) == 0 {
		return
	}
	delete(s.searching, service)
	for _, c := range waiting {
		if s.calls[c.id] == c {
			s.forward(c)
		}
	}
}

func (s *State) tickSearch() {
	if len(s.searching) == 0 {
		return
	}
	services := make([]identifier.Service, 0, len(s.searching))
	for service := range s.searching {
		services = append(services, service)
	}
	slices.SortFunc(services, func(a, b identifier.Service) int { return strings.Compare(string(a), string(b)) })
	for _, service := range services {
		s.expireSearch(service)
	}
}

func (s *State) expireSearch(service identifier.Service) {
	waiting := s.searching[service]
	kept := waiting[:0]
	var expired []*call
	for _, c := range waiting {
		if s.now < c.searchUntil {
			kept = append(kept, c)
			continue
		}
		expired = append(expired, c)
	}
	s.searching[service] = kept
	if len(kept) == 0 {
		delete(s.searching, service)
	}
	for _, c := range expired {
		if s.calls[c.id] == c {
			s.forward(c)
		}
	}
}
