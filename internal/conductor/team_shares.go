package conductor

// The requests at the threshold, of which only a part fits, are divided between teams: each gets capacity in proportion to
// the rate that it purchased, up to what arrives from it of these kinds. Refused at random, a team at five times its usual
// demand would take capacity from one at half of it.
//
// Example: 60 of 100 fit, two teams with equal rates demand 80 and 20: of the first 40 are served, of the second all 20.

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
	"github.com/jackdawtide/jackdawtide/internal/rationer"
)

// threshold holds the kinds of requests of one team rank of which a service refuses the same part, and the part for each team.
type threshold struct {
	// The values of kinds are the slot time of a request at the service.
	kinds    map[requestKind]float64
	teamRank int
	// refused is the part that is refused of all requests together.
	refused float64
	// byTeam holds the part for each team with a rate and demand, others that for all other requests. They are used if
	// divided is set.
	divided bool
	byTeam  map[identifier.Team]float64
	others  float64
}

// addToThreshold adds a kind to the threshold of those of its team rank of which the same part is refused.
func addToThreshold(all []threshold, k requestKind, slotTime, refused float64) []threshold {
	rank := int(k.class) / rankLevels
	for i := range all {
		if all[i].teamRank == rank && all[i].refused == refused {
			all[i].kinds[k] = slotTime
			return all
		}
	}
	return append(all, threshold{kinds: map[requestKind]float64{k: slotTime}, teamRank: rank, refused: refused})
}

// refusedOf returns the part that is refused of a team's requests; a team that no report mentions is far below its share.
func (t *threshold) refusedOf(team *matcher.Team) float64 {
	switch {
	case !t.divided:
		return t.refused
	case team == nil || team.Rate <= 0:
		return t.others
	default:
		return t.byTeam[team.Name]
	}
}

// divide returns the refused part of a request's kind, adjusted to its team.
func (p *plan) divide(r *call, refused float64) float64 {
	if len(p.thresholds) == 0 {
		return refused
	}
	k := r.kind()
	for i := range p.thresholds {
		if t := &p.thresholds[i]; t.kinds[k] > 0 {
			refused = 1 - (1-refused)/(1-t.refused)*(1-t.refusedOf(r.team))
		}
	}
	return refused
}

func teamRankOf(t *matcher.Team) int {
	if t == nil || !t.HasRank {
		return 0
	}
	return rankLevel(t.Rank)
}

// divideBetweenTeams computes the part that is refused of each team's requests at a threshold. The teams with a rate have a
// claim each, which is the slot time of their arrivals of the kinds at the threshold; all other requests of these kinds have
// one together, with the mean rate as its weight.
func (c *Conductor) divideBetweenTeams(t *threshold, now clock.Time) {
	costs := map[identifier.Route]float64{}
	for k, slotTime := range t.kinds {
		costs[k.from.route] += c.routeShares[k.from.route][k.from.service] * slotTime
	}
	arrivals := c.arrivalsAt(t, costs, now)
	teams := c.matcher.Configuration().Teams
	names := make([]identifier.Team, 0, len(teams))
	claims := make([]rationer.Claim, 0, len(teams)+1)
	rated, weights, others := 0.0, 0.0, 0.0
	for i := range teams {
		team := &teams[i]
		if teamRankOf(team) != t.teamRank {
			continue
		}
		demand := arrivals.byTeam[team.Name]
		switch {
		case team.Rate <= 0:
			others += demand
		case demand > 0:
			names = append(names, team.Name)
			claims = append(claims, rationer.Claim{Weight: team.Rate, Demand: demand})
			rated += demand
			weights += team.Rate
		}
	}
	if len(claims) == 0 {
		return
	}
	// Arrivals by team do not have the requests without a team.
	others = max(others, arrivals.total-rated)
	claims = append(claims, rationer.Claim{Weight: weights / float64(len(claims)), Demand: others})
	shares := rationer.Share(claims, (1-t.refused)*(rated+others))
	t.divided, t.byTeam, t.others = true, make(map[identifier.Team]float64, len(names)), t.refused
	for i, name := range names {
		t.byTeam[name] = 1 - shares[i]/claims[i].Demand
	}
	if others > 0 {
		t.others = 1 - shares[len(names)]/others
	}
}

// thresholdArrivals is the slot time a second of the requests at a threshold, by team and in total.
type thresholdArrivals struct {
	byTeam map[identifier.Team]float64
	total  float64
}

// arrivalsAt sums the arrivals at a threshold over the current reports and this node, given the slot time of a request by
// route.
func (c *Conductor) arrivalsAt(t *threshold, costs map[identifier.Route]float64, now clock.Time) thresholdArrivals {
	c.fleetTeams.expire(now)
	a := thresholdArrivals{byTeam: map[identifier.Team]float64{}}
	for _, byTeam := range []map[identifier.Team]map[identifier.Route]float64{c.teamArrivals.rates(), c.fleetTeams.sums} {
		for team, rates := range byTeam {
			for route, cost := range costs {
				if rate := rates[route]; rate > 0 {
					a.byTeam[team] += rate * cost
				}
			}
		}
	}
	own := c.recentArrivals.rates()
	for k, slotTime := range t.kinds {
		if rates, ok := own[k.from.route]; ok {
			a.total += rates[k.class] * c.routeShares[k.from.route][k.from.service] * slotTime
		}
	}
	for report := range c.table.All(now) {
		if report.Member.Node == c.self.Node || report.Age > suspectAfter {
			continue
		}
		for k, slotTime := range t.kinds {
			rate := report.Arrivals[k.from.route][identifier.Class(k.class)]
			a.total += rate * c.routeShares[k.from.route][k.from.service] * slotTime
		}
	}
	return a
}
