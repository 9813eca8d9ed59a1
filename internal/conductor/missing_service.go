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

// missingAfter is how long a service has been without an endpoint before it counts as missing: nested calls wait about as
// long for one to come back.
const missingAfter = 300 * clock.Millisecond

// planMissing works out which part of the requests of each origin meets a missing service.
func (c *Conductor) planMissing(costs map[origin]map[identifier.Service]float64, available serviceDomains, now clock.Time) {
	for from, services := range costs {
		for below, times := range services {
			if below != from.service && c.isMissing(below, len(available[below]) > 0, now) {
				c.plan.missingRatio[from] = max(c.plan.missingRatio[from], min(1, times))
			}
		}
	}
}

// missingRatio tells whether a service has been without an endpoint for long enough.
func (c *Conductor) isMissing(service identifier.Service, available bool, now clock.Time) bool {
	if available {
		delete(c.missingSince, service)
		return false
	}
	since, known := c.missingSince[service]
	if !known {
		c.missingSince[service] = now
		return false
	}
	return now.Sub(since) >= missingAfter
}

// lacksService tells whether a request is refused since what it leads to is not there.
func (c *Conductor) lacksService(r *call) bool {
	part := c.plan.missingRatio[r.origin()]
	return part > 0 && c.random.Float64() < part
}
