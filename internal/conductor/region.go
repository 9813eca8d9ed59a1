package conductor

// Operators bind routes and teams to regions. A request is sent only to endpoints there, straight from the node that took it
// in, so that its body reaches no VM elsewhere. Where both the route and the team are bound, both bind.
//
// Example: a route bound to "north" and "south" and a team bound to "south": only endpoints in "south" may run its requests.

import (
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// allowedDomains returns the failure domains whose endpoints may run a request, nil for all. A failure domain whose region is
// not known is none of them.
func (c *Conductor) allowedDomains(r *call) map[identifier.FailureDomain]bool {
	var team []identifier.Region
	if r.team != nil {
		team = r.team.Regions
	}
	if len(r.route.Regions) == 0 && len(team) == 0 {
		return nil
	}
	allowed := map[identifier.FailureDomain]bool{}
	for domain, region := range c.options.Regions {
		if permits(r.route.Regions, region) && permits(team, region) {
			allowed[domain] = true
		}
	}
	return allowed
}

// permits tells whether a bound allows a region; an empty one allows all.
func permits(bound []identifier.Region, region identifier.Region) bool {
	return len(bound) == 0 || slices.Contains(bound, region)
}
