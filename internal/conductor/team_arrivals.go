package conductor

// The shares of teams at a threshold follow what arrives from each team, refused requests included. Token demand does not
// show this: it leaves out refused requests, and counting them there would move the teams' rates to the nodes that refuse.
//
// Example: 30 browses and 10 orders a second of team "a" arrive here, all browses are refused: {"a": {"browse": 30, "order": 10}}.

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

// teamArrivals counts the root requests that arrive at this node, by team and route, with exponential decay over
// recentArrivalTimeConstant. It holds configured teams only.
type teamArrivals struct {
	counts    map[identifier.Team]map[identifier.Route]float64
	decayedAt clock.Time
}

func (a *teamArrivals) add(team identifier.Team, route identifier.Route) {
	if a.counts == nil {
		a.counts = map[identifier.Team]map[identifier.Route]float64{}
	}
	if a.counts[team] == nil {
		a.counts[team] = map[identifier.Route]float64{}
	}
	a.counts[team][route]++
}

// remove takes back a number of arrivals, as far as they are still counted.
func (a *teamArrivals) remove(team identifier.Team, route identifier.Route, n float64) {
	if byRoute, ok := a.counts[team]; ok {
		byRoute[route] = max(0, byRoute[route]-n)
	}
}

// decay reduces the weight of old arrivals.
func (a *teamArrivals) decay(now clock.Time) {
	age := float64(now.Sub(a.decayedAt)) / float64(recentArrivalTimeConstant)
	a.decayedAt = now
	keep := 1 / (1 + max(0, age))
	for team, byRoute := range a.counts {
		for route := range byRoute {
			byRoute[route] *= keep
			if byRoute[route] < minArrivalCount {
				delete(byRoute, route)
			}
		}
		if len(byRoute) == 0 {
			delete(a.counts, team)
		}
	}
}

// rates returns the present rates in requests a second.
func (a *teamArrivals) rates() map[identifier.Team]map[identifier.Route]float64 {
	perSecond := float64(clock.Second) / float64(recentArrivalTimeConstant)
	rates := make(map[identifier.Team]map[identifier.Route]float64, len(a.counts))
	for team, byRoute := range a.counts {
		rates[team] = make(map[identifier.Route]float64, len(byRoute))
		for route, count := range byRoute {
			rates[team][route] = count * perSecond
		}
	}
	return rates
}

// keep drops teams that are not configured.
func (a *teamArrivals) keep(teams []matcher.Team) {
	known := make(map[identifier.Team]bool, len(teams))
	for i := range teams {
		known[teams[i].Name] = true
	}
	for team := range a.counts {
		if !known[team] {
			delete(a.counts, team)
		}
	}
}
