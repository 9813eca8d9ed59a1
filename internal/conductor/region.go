package conductor

// Operators bind routes and teams to regions. A bound request is sent only to endpoints in these regions, directly from
// the node where it entered, so that its body reaches no VM elsewhere. If both the route and the team are bound, both
// restrictions apply.
//
// Example: a route bound to "north" and "south" and a team bound to "south": only endpoints in "south" may run its
// requests.

import (
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// permittedDomainsOf returns the failure domains whose endpoints may run a request, nil for all. A failure domain whose
// region is unknown is excluded.
func (c *Conductor) permittedDomainsOf(r *call) map[identifier.FailureDomain]bool {
	var team []identifier.Region
	if r.team != nil {
		team = r.team.Regions
	}
	if len(r.route.Regions) == 0 && len(team) == 0 {
		return nil
	}
	permitted := map[identifier.FailureDomain]bool{}
	for domain, region := range c.options.Regions {
		if permits(r.route.Regions, region) && permits(team, region) {
			permitted[domain] = true
		}
	}
	return permitted
}

// permits reports whether a list of bound regions allows a region; an empty list allows all.
func permits(bound []identifier.Region, region identifier.Region) bool {
	return len(bound) == 0 || slices.Contains(bound, region)
}
