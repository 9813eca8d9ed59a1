package conductor

// The call graph (which services call each other, and how often per run) is built from the reports of each service's
// nodes.
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

// serviceShares is the part of a route's requests that each service gets.
type serviceShares map[identifier.Service]float64

func sharesOf(config matcher.Configuration) map[identifier.Route]serviceShares {
	shares := make(map[identifier.Route]serviceShares, len(config.Routes))
	for _, route := range config.Routes {
		total := 0
		for _, part := range route.Parts {
			total += part.Weight
		}
		perService := serviceShares{}
		for _, part := range route.Parts {
			if total > 0 {
				perService[part.Service] += float64(part.Weight) / float64(total)
			}
		}
		shares[identifier.Route(route.Name)] = perService
	}
	return shares
}

// serviceCalls holds the nested calls of one service's runs, as its nodes report them.
type serviceCalls struct {
	byRoute map[identifier.Route]*routeCalls
}

// routeCalls are the nested calls per run of a route, summed over the nodes that report the route; reporters counts
// these nodes.
type routeCalls struct {
	calls     map[identifier.Route]float64
	reporters float64
}

// leaf reports whether a service is known to make no nested calls.
func (s *serviceCalls) leaf() bool {
	for _, k := range s.byRoute {
		if len(k.calls) > 0 {
			return false
		}
	}
	return len(s.byRoute) > 0
}

// callGraph holds the nested calls between services.
type callGraph struct {
	shares   map[identifier.Route]serviceShares
	services map[identifier.Service]*serviceCalls
	// builtAt is when the graph was built, reportCount from how many reports.
	builtAt     clock.Time
	reportCount int
}

func newGraph(shares map[identifier.Route]serviceShares, table *exchanger.Table, now clock.Time) *callGraph {
	g := &callGraph{shares: shares, services: map[identifier.Service]*serviceCalls{}, builtAt: now, reportCount: table.Len()}
	for report := range table.All(now) {
		if isCurrent(report) {
			g.add(report)
		}
	}
	return g
}

func (g *callGraph) add(report exchanger.Report) {
	s, ok := g.services[report.Member.Service]
	if !ok {
		s = &serviceCalls{byRoute: map[identifier.Route]*routeCalls{}}
		g.services[report.Member.Service] = s
	}
	for route, calls := range report.Calls {
		k, ok := s.byRoute[route]
		if !ok {
			k = &routeCalls{calls: map[identifier.Route]float64{}}
			s.byRoute[route] = k
		}
		k.reporters++
		for nested, n := range calls {
			k.calls[nested] += n
		}
	}
}

const (
	// maxDepth bounds the recursion; the longest known call chains have 21 services.
	maxDepth = 24
	// minCost is the number of calls at a service below which the recursion stops.
	minCost = 0.01
)

// costsOf returns how many calls at each service one request makes, itself included.
func (g *callGraph) costsOf(from origin) map[identifier.Service]float64 {
	costs := map[identifier.Service]float64{}
	g.addCosts(costs, from, 1, nil)
	return costs
}

// addCosts adds the calls caused by a number of runs of a route at a service.
func (g *callGraph) addCosts(costs map[identifier.Service]float64, target origin, runs float64, path []origin) {
	costs[target.service] += runs
	s, ok := g.services[target.service]
	if !ok || len(path) == maxDepth {
		return
	}
	path = append(slices.Clone(path), target)
	for next, n := range s.callsOf(target.route, g.shares) {
		// Services that call each other would cause an endless recursion.
		if runs*n >= minCost && !slices.Contains(path, next) {
			g.addCosts(costs, next, runs*n, path)
		}
	}
}

// directCalls returns how many calls to each service one run makes itself.
func (g *callGraph) directCalls(from origin) map[identifier.Service]float64 {
	calls := map[identifier.Service]float64{}
	s, ok := g.services[from.service]
	if !ok {
		return calls
	}
	for next, n := range s.callsOf(from.route, g.shares) {
		calls[next.service] += n
	}
	return calls
}

// callsOf yields the targets of the nested calls of one run of a route, and their numbers. Calls whose parent is
// unknown count toward all runs.
func (s *serviceCalls) callsOf(route identifier.Route, shares map[identifier.Route]serviceShares) iter.Seq2[origin, float64] {
	return func(yield func(origin, float64) bool) {
		for _, of := range []identifier.Route{route, unknownRoute} {
			k, ok := s.byRoute[of]
			if !ok {
				continue
			}
			for nested, n := range k.calls {
				for service, share := range shares[nested] {
					if !yield(origin{route: nested, service: service}, n/k.reporters*share) {
						return
					}
				}
			}
		}
	}
}
