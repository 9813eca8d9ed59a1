package conductor

// When a service has no reachable endpoint left, every request that needs it fails after the work of all services above
// it: callers wait for an error, and requests that do not need the service lack capacity. Requests that lead to it are
// therefore refused before any work, with a time to retry.
//
// Example: each "browse" calls desk, whose last endpoint became unreachable: they are refused with noEndpoint; one in
// ten "search" calls it: one in ten of them is refused.

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// missingAfter is how long a service must have been without an endpoint to count as missing; nested calls wait about as
// long for one to return.
const missingAfter = 300 * clock.Millisecond

// planMissing computes the part of the requests of each origin that needs a missing service.
func (c *Conductor) planMissing(costs map[origin]map[identifier.Service]float64, available serviceDomains, now clock.Time) {
	for from, services := range costs {
		for below, times := range services {
			if below != from.service && c.isMissing(below, len(available[below]) > 0, now) {
				c.plan.missingRatio[from] = max(c.plan.missingRatio[from], min(1, times))
			}
		}
	}
}

// isMissing reports whether a service has been without an endpoint for at least missingAfter.
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

// lacksService decides whether a request is refused because a service that it leads to is missing.
func (c *Conductor) lacksService(r *call) bool {
	ratio := c.plan.missingRatio[r.origin()]
	return ratio > 0 && c.random.Float64() < ratio
}
