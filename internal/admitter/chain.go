// A call that needs a nested call is doomed when the nested service refuses its rank. So a delivery node
// answers with the lowest threshold along the route, but only for routes whose calls really make the nested
// call: one slow deep service must not close routes that never ask it.
//
// Example: own threshold 60000, route 2 needs "ice" at 30000: Effective(60000, 2) is 30000, of route 1 60000.

package admitter

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	// minDependencyShare is the part of a route's calls that must make the nested call for it to count as needed.
	minDependencyShare = 0.5
	// maxRouteCalls is how many calls of a route are weighed before their counts are halved.
	maxRouteCalls = 256
)

// Chain aggregates, for one local service, the thresholds of the services that its routes call.
type Chain struct {
	options ThresholdCacheOptions
	routes  map[Route]*chainRoute
}

type chainRoute struct {
	calls        float64
	dependencies []dependency
}

type dependency struct {
	service identifier.Service
	count   float64
	learned learnedThreshold
}

// NewChain returns a chain without nested calls.
func NewChain(o ThresholdCacheOptions) *Chain {
	return &Chain{options: o.withDefaults(), routes: make(map[Route]*chainRoute)}
}

// CountCall counts a call of the route that was handed to the backend server.
func (c *Chain) CountCall(route Route) {
	r := c.route(route)
	r.calls++
	if r.calls < maxRouteCalls {
		return
	}
	r.calls /= 2
	for i := range r.dependencies {
		r.dependencies[i].count /= 2
	}
}

// LearnThreshold takes over the threshold of a service, when a call of the route needed it; refused calls count too.
func (c *Chain) LearnThreshold(route Route, service identifier.Service, t identifier.Threshold, now clock.Time) {
	n := c.route(route).dependencyOn(service)
	n.count++
	n.learned = n.learned.updatedWith(t, now, c.options)
}

// Effective returns the highest rank that has a chance on the route, given the service's own threshold.
func (c *Chain) Effective(own identifier.Threshold, route Route, now clock.Time) identifier.Threshold {
	r, ok := c.routes[route]
	if !ok {
		return own
	}
	lowest := own
	for i := range r.dependencies {
		n := &r.dependencies[i]
		if n.count >= minDependencyShare*r.calls {
			lowest = min(lowest, n.learned.at(now, c.options))
		}
	}
	return lowest
}

func (c *Chain) route(route Route) *chainRoute {
	r, ok := c.routes[route]
	if !ok {
		r = &chainRoute{}
		c.routes[route] = r
	}
	return r
}

func (r *chainRoute) dependencyOn(service identifier.Service) *dependency {
	for i := range r.dependencies {
		if r.dependencies[i].service == service {
			return &r.dependencies[i]
		}
	}
	r.dependencies = append(r.dependencies, dependency{service: service})
	return &r.dependencies[len(r.dependencies)-1]
}
