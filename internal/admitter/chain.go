// A call fails if a nested call that it needs is refused. A delivery node therefore answers with the lowest threshold
// among its own service and the services that the route needs. Thresholds are kept by route, so that one overloaded
// nested service does not cause refusals on routes that never call it.
//
// Example: own threshold 60000, route 2 needs "ice" at 30000: Effective(60000, 2) is 30000, of route 1 60000.

package admitter

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	// minDependencyShare is the share of a route's calls that must call a nested service for the route to depend on it.
	minDependencyShare = 0.5
	// maxRouteCalls is the call count at which a route's counts are halved, so that recent calls weigh more.
	maxRouteCalls = 256
)

// Chain aggregates, for one local service, the thresholds of the services that its routes call.
type Chain struct {
	options ThresholdCacheOptions
	routes  map[Route]*chainRoute
}

// chainRoute counts the recent calls of one route and the nested calls that they made.
type chainRoute struct {
	calls        float64
	dependencies []dependency
}

// dependency is a service that calls of a route call, with the number of those calls and the learned threshold.
type dependency struct {
	service identifier.Service
	count   float64
	learned learnedThreshold
}

// NewChain returns a chain that knows of no nested calls.
func NewChain(o ThresholdCacheOptions) *Chain {
	return &Chain{options: o.withDefaults(), routes: make(map[Route]*chainRoute)}
}

// CountCall counts a call of the route that was dispatched to the backend server.
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

// LearnThreshold counts a nested call of the route to the service and updates the service's threshold; nested calls that
// were refused count too.
func (c *Chain) LearnThreshold(route Route, service identifier.Service, t identifier.Threshold, now clock.Time) {
	n := c.route(route).dependencyOn(service)
	n.count++
	n.learned = n.learned.updatedWith(t, now, c.options)
}

// Effective returns the highest rank that the service and all dependencies of the route accept, given the service's own
// threshold.
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
