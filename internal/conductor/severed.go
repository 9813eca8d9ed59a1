package conductor

// When a service has no endpoint left that can be reached, every request that needs it fails, after the work of all
// services above it: callers wait for an error, and what does not need the service lacks the room. What leads there
// is refused before any work instead, with a time to come back.
//
// Example: each "browse" calls desk, whose last endpoint was behind a cut: they are refused with noEndpoint; one in ten
// "search" calls it: one in ten of them is refused.

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// severedAfter is how long a service has been without an endpoint before it counts as severed: nested calls wait about as
// long for one to come back.
const severedAfter = 300 * clock.Millisecond

// planSevered works out which part of the requests of each origin meets a severed service.
func (c *Conductor) planSevered(costs map[origin]map[identifier.Service]float64, there presence, now clock.Time) {
	for from, services := range costs {
		for below, times := range services {
			if below != from.service && c.missing(below, len(there[below]) > 0, now) {
				c.plan.severed[from] = max(c.plan.severed[from], min(1, times))
			}
		}
	}
}

// missing tells whether a service has been without an endpoint for long enough.
func (c *Conductor) missing(service identifier.Service, there bool, now clock.Time) bool {
	if there {
		delete(c.missed, service)
		return false
	}
	since, known := c.missed[service]
	if !known {
		c.missed[service] = now
		return false
	}
	return now.Sub(since) >= severedAfter
}

// isSevered tells whether a request is refused since what it leads to is not there.
func (c *Conductor) isSevered(r *call) bool {
	part := c.plan.severed[r.origin()]
	return part > 0 && c.random.Float64() < part
}
