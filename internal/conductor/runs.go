package conductor

// Each node learns which services a request leads to by counting the nested calls of the endpoint beside it, by the
// route of the run that makes them. Counted by service alone, a request without nested calls would appear to make four,
// because other requests at the same endpoint do, and would be refused for a service that it never needs.
//
// Only runs that end well count. A run that breaks off at its first failed call makes few: if it counted, requests would
// seem to cost the less the more of them fail, and an overloaded service would be sent more of them.
//
// Example: 100 runs of "charge" make no call, 300 runs of "ledger" make 1,200 of "rack": 0 and 4 a run.

import (
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// unknownRoute is the route under which calls with an unknown parent are counted.
const unknownRoute identifier.Route = ""

// runCounter counts runs at the local endpoint and the nested calls that it makes.
type runCounter struct {
	byRoute map[identifier.Route]*runCounts
}

// runCounts counts the runs of one route and their nested calls.
type runCounts struct {
	runs   float64
	nested map[identifier.Route]float64
}

const (
	// maxRunSample is how many runs are counted before the counts are halved, so that a changed release is followed
	// within some seconds.
	maxRunSample = 400
	// minRuns is how many runs are needed before a count of nested calls is reported.
	minRuns = 10
	// minCalls is the number of nested calls per run below which they do not count as part of a chain.
	minCalls = 0.05
)

func (r *runCounter) countsOf(route identifier.Route) *runCounts {
	k, ok := r.byRoute[route]
	if !ok {
		if r.byRoute == nil {
			r.byRoute = map[identifier.Route]*runCounts{}
		}
		k = &runCounts{nested: map[identifier.Route]float64{}}
		r.byRoute[route] = k
	}
	return k
}

// runStarted counts a run for all routes together.
func (r *runCounter) runStarted() {
	r.countsOf(unknownRoute).addRun()
}

// runSucceeded counts a run that has ended well for its route, with the nested calls that it made.
func (r *runCounter) runSucceeded(route identifier.Route, nested []identifier.Route) {
	if route == unknownRoute {
		return
	}
	counts := r.countsOf(route)
	counts.addRun()
	for _, call := range nested {
		counts.nested[call]++
	}
}

func (k *runCounts) addRun() {
	k.runs++
	if k.runs < maxRunSample {
		return
	}
	k.runs /= 2
	for route := range k.nested {
		k.nested[route] /= 2
	}
}

// unattributedCallMade counts a call that an unknown run made.
func (r *runCounter) unattributedCallMade(nested identifier.Route) {
	r.countsOf(unknownRoute).nested[nested]++
}

// retain drops the counts of removed routes.
func (r *runCounter) retain(routes map[identifier.Route]serviceShares) {
	for route := range r.byRoute {
		if _, ok := routes[route]; !ok && route != unknownRoute {
			delete(r.byRoute, route)
		}
	}
}

// calls returns the nested calls per run of all routes with enough runs.
func (r *runCounter) calls() map[identifier.Route]map[identifier.Route]float64 {
	all := map[identifier.Route]map[identifier.Route]float64{}
	for route, k := range r.byRoute {
		if k.runs < minRuns {
			continue
		}
		calls := map[identifier.Route]float64{}
		for nested, n := range k.nested {
			if n/k.runs > minCalls {
				calls[nested] = n / k.runs
			}
		}
		all[route] = calls
	}
	return all
}
