package conductor

// If a run's failure domain has no endpoint of a service that the run calls several times, each of these calls crosses
// to another failure domain. The run itself is therefore sent to a failure domain that has such endpoints: one message
// crosses instead of several, and the latency between failure domains is paid once.
//
// Example: "ledger" calls "rack" four times, and no endpoint of rack's service is in this domain: ledger runs
// elsewhere.

import (
	"maps"
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// serviceDomains holds the failure domains in which each service has usable endpoints.
type serviceDomains map[identifier.Service]map[identifier.FailureDomain]bool

// usableDomains is derived from the members' own records and from the detector's unreachable nodes. Members that are
// only silent count as present: otherwise a fleet would refuse everything whenever reports are late.
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

// minRemoteCalls is by how many more nested calls a remote failure domain must serve than the local one for a run to be
// sent there.
const minRemoteCalls = 1.5

// planPreferredDomains determines, for requests sent from here whose nested calls find no endpoint in the local failure
// domain, the failure domains that serve these calls.
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
