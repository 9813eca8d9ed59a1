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
	bounds := [][]identifier.Region{r.route.Regions}
	if r.team != nil {
		bounds = append(bounds, r.team.Regions)
	}
	bounds = slices.DeleteFunc(bounds, func(regions []identifier.Region) bool { return len(regions) == 0 })
	if len(bounds) == 0 {
		return nil
	}
	allowed := map[identifier.FailureDomain]bool{}
	for domain, region := range c.options.Regions {
		within := func(regions []identifier.Region) bool { return slices.Contains(regions, region) }
		if !slices.ContainsFunc(bounds, func(regions []identifier.Region) bool { return !within(regions) }) {
			allowed[domain] = true
		}
	}
	return allowed
}
