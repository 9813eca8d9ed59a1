package conductor

// Which services a request leads to is learned: each node counts the nested calls that the endpoint beside it makes, by the
// route of the run that makes them. Counted by service, a request without nested calls would pass for one that makes
// four, since others at the same endpoint do, and be refused for a service that it never needs.
//
// Example: 100 runs of "charge" make no call, 300 runs of "ledger" make 1,200 of "rack": 0 and 4 a run.

import (
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// unknownRun is the route under which calls stand of which nobody can say whose they are.
const unknownRun identifier.Route = ""

// runCounter counts runs at the local endpoint and the nested calls that it makes.
type runCounter struct {
	byRoute map[identifier.Route]*runCounts
}

// runCounts counts the runs of one route.
type runCounts struct {
	runs   float64
	nested map[identifier.Route]float64
}

const (
	// chainSample is how many runs are weighed before the counts are halved, so that a changed release is followed within
	// some seconds.
	chainSample = 400
	// minRuns is how many runs a count of nested calls must rest on.
	minRuns = 10
	// minCalls is the number of nested calls a run below which they do not count as part of a chain.
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

// started counts a run, of its route and of all.
func (r *runCounter) started(route identifier.Route) {
	if route != unknownRun {
		r.countsOf(route).started()
	}
	r.countsOf(unknownRun).started()
}

func (k *runCounts) started() {
	k.runs++
	if k.runs < chainSample {
		return
	}
	k.runs /= 2
	for route := range k.nested {
		k.nested[route] /= 2
	}
}

// called counts a nested call of a run of a route.
func (r *runCounter) called(of, route identifier.Route) {
	r.countsOf(of).nested[route]++
}

// retain drops what was counted of routes that are gone.
func (r *runCounter) retain(routes map[identifier.Route]share) {
	for route := range r.byRoute {
		if _, ok := routes[route]; !ok && route != unknownRun {
			delete(r.byRoute, route)
		}
	}
}

// calls returns the nested calls a run, of the routes with runs enough.
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
