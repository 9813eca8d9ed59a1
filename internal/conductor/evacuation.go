package conductor

// Operators evacuate a failure domain before maintenance on its VMs: its endpoints get no further requests, and running
// requests finish. Its nodes still accept requests and send them to other failure domains. After the evacuation ends,
// its endpoints may be cold.
//
// Example: DomainsEvacuated{Domains: ["west"]}: a delivery to an endpoint of west is turned away as moved.

import (
	"maps"
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

func (c *Conductor) evacuate(e DomainsEvacuated, now clock.Time) {
	before := c.evacuated
	c.evacuated = map[identifier.FailureDomain]bool{}
	for _, domain := range e.Domains {
		c.evacuated[domain] = true
	}
	ownDomain := c.self.Domain
	if c.evacuated[ownDomain] && !before[ownDomain] {
		c.shedQueue(now)
	}
	if before[ownDomain] && !c.evacuated[ownDomain] {
		c.endOwnEvacuation(now)
	}
	for node, m := range c.members {
		if c.evacuated[m.Domain] == before[m.Domain] {
			continue
		}
		if before[m.Domain] && node != c.self.Node {
			c.assumeOtherCold(m, now)
		}
		c.updateRouterFor(m, now)
	}
}

// onlyEvacuated reports whether a service has endpoints, all of them in evacuated failure domains.
func (c *Conductor) onlyEvacuated(service identifier.Service) bool {
	found := false
	for _, m := range c.members {
		if m.Service != service || m.Endpoint == "" || m.State == exchanger.Absent {
			continue
		}
		if !c.evacuated[m.Domain] {
			return false
		}
		found = true
	}
	return found
}

// EvacuatedDomains returns the failure domains whose endpoints get no requests, sorted.
func (c *Conductor) EvacuatedDomains() []identifier.FailureDomain {
	return slices.Sorted(maps.Keys(c.evacuated))
}

// endOwnEvacuation uses the local endpoint again, as a cold one unless it says that it is warm.
func (c *Conductor) endOwnEvacuation(now clock.Time) {
	local := c.registrar.Local()
	if !local.Usable() {
		return
	}
	c.startLimiter(local.Slots, 0, now)
	c.assumeCold(now)
}
