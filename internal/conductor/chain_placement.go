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

// presence is in which failure domains each service has endpoints that may be used.
type presence map[identifier.Service]map[identifier.FailureDomain]bool

// presence is taken from what members say themselves and from who can't be reached. Members that are merely silent count as
// there: a fleet that took silence for absence would refuse everything whenever reports are late.
func (c *Conductor) presence() presence {
	there := presence{}
	for _, m := range c.members {
		usable := m.State == exchanger.Ready || m.State == exchanger.Stopping
		if !usable || c.detector.Lost(m.Node) || c.evacuated[m.Domain] {
			continue
		}
		domains, ok := there[m.Service]
		if !ok {
			domains = map[identifier.FailureDomain]bool{}
			there[m.Service] = domains
		}
		domains[m.Domain] = true
	}
	return there
}

// leastAway is how many calls a run must make to services that are missing here for it to be sent elsewhere.
const leastAway = 1.5

// planHomes works out, for the runs that are sent from here and whose calls find no endpoint in this domain, in which
// domains they do.
func (c *Conductor) planHomes(there presence) {
	for from := range c.sent {
		away := map[identifier.FailureDomain]float64{}
		for service, times := range c.graph.directCalls(from) {
			for domain := range there[service] {
				away[domain] += times
			}
		}
		best := away[c.self.Domain] + leastAway
		var homes []identifier.FailureDomain
		for _, domain := range slices.Sorted(maps.Keys(away)) {
			if away[domain] >= best && there[from.service][domain] {
				homes = append(homes, domain)
			}
		}
		if len(homes) > 0 {
			c.plan.homes[from] = homes
		}
	}
}
