package conductor

// A run whose failure domain has no endpoint of a service that it calls several times sends each of these calls elsewhere. So
// the run itself is sent where they find one: one message leaves the domain instead of several, and the run waits for the
// way between domains once.
//
// Example: "ledger" calls "rack" four times, and no endpoint of rack's service is in this domain: ledger runs elsewhere.

import (
	"maps"
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// usableDomains is in which failure domains each service has endpoints that may be used.
type serviceDomains map[identifier.Service]map[identifier.FailureDomain]bool

// usableDomains is taken from what members say themselves and from who can't be reached. Members that are merely silent count as
// there: a fleet that took silence for absence would refuse everything whenever reports are late.
func (c *Conductor) usableDomains() serviceDomains {
	available := serviceDomains{}
	for _, m := range c.members {
		usable := m.State == exchanger.Ready || m.State == exchanger.Stopping
		if !usable || c.detector.Lost(m.Node) || c.evacuated[m.Domain] {
			continue
		}
		domains, ok := available[m.Service]
		if !ok {
			domains = map[identifier.FailureDomain]bool{}
			available[m.Service] = domains
		}
		domains[m.Domain] = true
	}
	return available
}

// minRemoteCalls is how many calls a run must make to services that are missing here for it to be sent elsewhere.
const minRemoteCalls = 1.5

// planPreferredDomains works out, for the runs that are sent from here and whose calls find no endpoint in this domain, in which
// domains they do.
func (c *Conductor) planPreferredDomains(available serviceDomains) {
	for from := range c.sentOrigins {
		callsServed := map[identifier.FailureDomain]float64{}
		for service, times := range c.callGraph.directCalls(from) {
			for domain := range available[service] {
				callsServed[domain] += times
			}
		}
		minServed := callsServed[c.self.Domain] + minRemoteCalls
		var preferredDomains []identifier.FailureDomain
		for _, domain := range slices.Sorted(maps.Keys(callsServed)) {
			if callsServed[domain] >= minServed && available[from.service][domain] {
				preferredDomains = append(preferredDomains, domain)
			}
		}
		if len(preferredDomains) > 0 {
			c.plan.preferredDomains[from] = preferredDomains
		}
	}
}
