package conductor

// Who calls whom, and how often a run, is put together from what the nodes of each service report.
//
// Example: "browse" at portal calls "order" once and that calls "hours" four times at clock: browse costs 4 at clock.

import (
	"iter"
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

// share is the part of a route's requests that each service gets.
type share map[identifier.Service]float64

func sharesOf(config matcher.Configuration) map[identifier.Route]share {
	shares := make(map[identifier.Route]share, len(config.Routes))
	for _, route := range config.Routes {
		total := 0
		for _, part := range route.Parts {
			total += part.Weight
		}
		parts := share{}
		for _, part := range route.Parts {
			if total > 0 {
				parts[part.Service] += float64(part.Weight) / float64(total)
			}
		}
		shares[identifier.Route(route.Name)] = parts
	}
	return shares
}

// stage is a service and the calls of its runs, as its nodes report them.
type stage struct {
	byRoute map[identifier.Route]*kindCalls
}

// kindCalls are the nested calls of one run of a route, summed over the nodes that know them.
type kindCalls struct {
	calls   map[identifier.Route]float64
	knowing float64
}

// leaf tells whether a service is known to make no nested calls.
func (s *stage) leaf() bool {
	for _, k := range s.byRoute {
		if len(k.calls) > 0 {
			return false
		}
	}
	return len(s.byRoute) > 0
}

// graph is who calls whom.
type graph struct {
	shares map[identifier.Route]share
	stages map[identifier.Service]*stage
	// made is when it was put together, reports from how many.
	made    clock.Time
	reports int
}

func newGraph(shares map[identifier.Route]share, table *exchanger.Table, now clock.Time) *graph {
	g := &graph{shares: shares, stages: map[identifier.Service]*stage{}, made: now, reports: table.Len()}
	for report := range table.All(now) {
		if counts(report) {
			g.add(report)
		}
	}
	return g
}

func (g *graph) add(report exchanger.Report) {
	s, ok := g.stages[report.Member.Service]
	if !ok {
		s = &stage{byRoute: map[identifier.Route]*kindCalls{}}
		g.stages[report.Member.Service] = s
	}
	for route, calls := range report.Calls {
		k, ok := s.byRoute[route]
		if !ok {
			k = &kindCalls{calls: map[identifier.Route]float64{}}
			s.byRoute[route] = k
		}
		k.knowing++
		for nested, n := range calls {
			k.calls[nested] += n
		}
	}
}

const (
	// deepest bounds the walk; the longest chains known have 21 services.
	deepest = 24
	// leastCost is the number of calls at a service below which the walk does not go on.
	leastCost = 0.01
)

// costsOf returns how many calls at each service one request makes, itself included.
func (g *graph) costsOf(from origin) map[identifier.Service]float64 {
	costs := map[identifier.Service]float64{}
	g.visit(costs, from, 1, nil)
	return costs
}

// visit adds what a number of runs of a route at a service costs.
func (g *graph) visit(costs map[identifier.Service]float64, at origin, times float64, above []origin) {
	costs[at.service] += times
	s, ok := g.stages[at.service]
	if !ok || len(above) == deepest {
		return
	}
	above = append(slices.Clone(above), at)
	for next, n := range s.callsOf(at.route, g.shares) {
		// Services that call each other would be walked round and round.
		if times*n >= leastCost && !slices.Contains(above, next) {
			g.visit(costs, next, times*n, above)
		}
	}
}

// directCalls returns how many calls to each service one run makes itself.
func (g *graph) directCalls(from origin) map[identifier.Service]float64 {
	calls := map[identifier.Service]float64{}
	s, ok := g.stages[from.service]
	if !ok {
		return calls
	}
	for next, n := range s.callsOf(from.route, g.shares) {
		calls[next.service] += n
	}
	return calls
}

// callsOf gives where the nested calls of one run of a route go, and how many; those of which nobody can say whose they are
// count to all runs.
func (s *stage) callsOf(route identifier.Route, shares map[identifier.Route]share) iter.Seq2[origin, float64] {
	return func(yield func(origin, float64) bool) {
		for _, of := range []identifier.Route{route, unknownRun} {
			k, ok := s.byRoute[of]
			if !ok {
				continue
			}
			for nested, n := range k.calls {
				for service, part := range shares[nested] {
					if !yield(origin{route: nested, service: service}, n/k.knowing*part) {
						return
					}
				}
			}
		}
	}
}
