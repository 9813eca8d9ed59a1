// A node knows the endpoints only of the services that it calls. The first call to a service finds none and would be
// refused although there is capacity, so it waits while the node subscribes to the service's endpoints.
//
// Example: a node's first call to "ice" waits about one round trip for the answer to the subscription.

package reducer

import (
	"slices"
	"strings"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	endpointWaitTimeout = 500 * clock.Millisecond
	maxWaitingCalls     = 1000
)

// waitForEndpoints queues the call if no endpoint of its service is known, the call has not waited yet and fewer than
// maxWaitingCalls calls wait for the service. It reports whether it queued the call.
func (s *State) waitForEndpoints(c *call) bool {
	if !s.interests[c.service] {
		s.interests[c.service] = true
		s.applyGossip(s.gossiper.AddInterest(c.service, s.now))
	}
	if s.router.Count(c.service) > 0 || c.endpointWaitUntil != 0 || len(s.waitingForEndpoints[c.service]) >= maxWaitingCalls {
		return false
	}
	c.endpointWaitUntil = s.now.Add(endpointWaitTimeout)
	s.waitingForEndpoints[c.service] = append(s.waitingForEndpoints[c.service], c)
	return true
}

func (s *State) resumeWaiting(service identifier.Service) {
	waiting := s.waitingForEndpoints[service]
	if len(waiting) == 0 || s.router.Count(service) == 0 {
		return
	}
	delete(s.waitingForEndpoints, service)
	for _, c := range waiting {
		if s.calls[c.id] == c {
			s.forward(c)
		}
	}
}

func (s *State) expireWaiting() {
	if len(s.waitingForEndpoints) == 0 {
		return
	}
	services := make([]identifier.Service, 0, len(s.waitingForEndpoints))
	for service := range s.waitingForEndpoints {
		services = append(services, service)
	}
	slices.SortFunc(services, func(a, b identifier.Service) int { return strings.Compare(string(a), string(b)) })
	for _, service := range services {
		s.expireWaitingFor(service)
	}
}

func (s *State) expireWaitingFor(service identifier.Service) {
	waiting := s.waitingForEndpoints[service]
	kept := waiting[:0]
	var expired []*call
	for _, c := range waiting {
		if s.now < c.endpointWaitUntil {
			kept = append(kept, c)
			continue
		}
		expired = append(expired, c)
	}
	s.waitingForEndpoints[service] = kept
	if len(kept) == 0 {
		delete(s.waitingForEndpoints, service)
	}
	for _, c := range expired {
		if s.calls[c.id] == c {
			s.forward(c)
		}
	}
}
