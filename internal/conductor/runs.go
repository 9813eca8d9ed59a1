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
	kinds map[identifier.Route]*runKind
}

// runKind counts the runs of one route.
type runKind struct {
	runs   float64
	nested map[identifier.Route]float64
}

const (
	// chainSample is how many runs are weighed before the counts are halved, so that a changed release is followed within
	// some seconds.
	chainSample = 400
	// leastRuns is how many runs a count of nested calls must rest on.
	leastRuns = 10
	// leastCalls is the number of nested calls a run below which they do not count as part of a chain.
	leastCalls = 0.05
)

func (r *runCounter) kind(route identifier.Route) *runKind {
	k, ok := r.kinds[route]
	if !ok {
		if r.kinds == nil {
			r.kinds = map[identifier.Route]*runKind{}
		}
		k = &runKind{nested: map[identifier.Route]float64{}}
		r.kinds[route] = k
	}
	return k
}

// started counts a run, of its route and of all.
func (r *runCounter) started(route identifier.Route) {
	if route != unknownRun {
		r.kind(route).started()
	}
	r.kind(unknownRun).started()
}

func (k *runKind) started() {
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
	r.kind(of).nested[route]++
}

// keep drops what was counted of routes that are gone.
func (r *runCounter) keep(routes map[identifier.Route]share) {
	for route := range r.kinds {
		if _, ok := routes[route]; !ok && route != unknownRun {
			delete(r.kinds, route)
		}
	}
}

// calls returns the nested calls a run, of the routes with runs enough.
func (r *runCounter) calls() map[identifier.Route]map[identifier.Route]float64 {
	all := map[identifier.Route]map[identifier.Route]float64{}
	for route, k := range r.kinds {
		if k.runs < leastRuns {
			continue
		}
		calls := map[identifier.Route]float64{}
		for nested, n := range k.nested {
			if n/k.runs > leastCalls {
				calls[nested] = n / k.runs
			}
		}
		all[route] = calls
	}
	return all
}
