package conductor

// From what the nodes report of their endpoints' nested calls, every node knows the chain below each request. The
// excess of a service is refused among the root requests that lead there, the least important first.
//
// Example: a portal request calls desk once and that calls clock four times: it costs 1 portal, 1 desk and 4 clock.

import (
	"maps"
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
	"github.com/jackdawtide/jackdawtide/internal/throttler"
)

// origin is where root requests come in: a route, and the part of its split that was chosen.
type origin struct {
	route   identifier.Route
	service identifier.Service
}

// plan is what is refused of the root requests of each origin, made anew now and then.
type plan struct {
	made    clock.Time
	valid   bool
	excess  map[identifier.Service]float64
	refused map[origin]*[throttler.Classes]float64
	// arriving is how many calls a second come to each service.
	arriving map[identifier.Service]float64
	// severed is the part of the requests of each origin whose nested calls meet a service without an endpoint.
	severed map[origin]float64
	// homes are the domains in which the calls of what is sent from here find endpoints, where this one is none of them.
	homes map[origin][]identifier.FailureDomain
	// leaf holds the services that are known to make no nested calls.
	leaf map[identifier.Service]bool
}

// planPeriod is how often the plan is made: half of the shortest period of the reports that it rests on.
const planPeriod = 100 * clock.Millisecond

func (c *Conductor) refreshPlan(now clock.Time) {
	if !c.plan.valid || now.Sub(c.plan.made) >= planPeriod {
		c.makePlan(now)
	}
}

// refusedPart returns the part of the requests like r that is refused for the services it leads to.
func (c *Conductor) refusedPart(r *call, now clock.Time) float64 {
	c.refreshPlan(now)
	parts, ok := c.plan.refused[r.origin()]
	if !ok {
		return 0
	}
	return parts[r.class]
}

// Pressed tells whether some service has more load than it can take.
func (c *Conductor) Pressed(now clock.Time) bool {
	c.refreshPlan(now)
	for _, excess := range c.plan.excess {
		if excess > 0 {
			return true
		}
	}
	return false
}

func (c *Conductor) makePlan(now clock.Time) {
	c.arrivals.fade(now)
	c.plan = plan{
		made:     now,
		valid:    true,
		excess:   map[identifier.Service]float64{},
		refused:  map[origin]*[throttler.Classes]float64{},
		arriving: map[identifier.Service]float64{},
		severed:  map[origin]float64{},
		homes:    map[origin][]identifier.FailureDomain{},
		leaf:     map[identifier.Service]bool{},
	}
	graph := newGraph(c.shares, c.table.Reports(now))
	pressed := false
	for service, s := range graph.stages {
		excess := throttler.Mean(s.excesses, s.loads)
		c.plan.leaf[service] = s.leaf()
		c.plan.excess[service] = excess
		for _, load := range s.loads {
			c.plan.arriving[service] += load * (1 - excess)
		}
		pressed = pressed || excess > 0
	}
	costs := map[origin]map[identifier.Service]float64{}
	for from := range c.arrivals.counts {
		costs[from] = graph.costsOf(from)
	}
	there := c.presence()
	c.planSevered(costs, there, now)
	c.planHomes(graph, there)
	if !pressed {
		return
	}
	for _, bottleneck := range slices.Sorted(maps.Keys(c.plan.excess)) {
		if excess := c.plan.excess[bottleneck]; excess > 0 {
			c.planFor(bottleneck, excess, costs)
		}
	}
}

// planFor refuses what one service has too much, among all requests that lead to it.
func (c *Conductor) planFor(bottleneck identifier.Service, excess float64, costs map[origin]map[identifier.Service]float64) {
	var mix throttler.Mix
	for from, counts := range c.arrivals.counts {
		for class, count := range counts {
			mix[class] += count * costs[from][bottleneck]
		}
	}
	for from := range c.arrivals.counts {
		if costs[from][bottleneck] <= 0 {
			continue
		}
		parts, ok := c.plan.refused[from]
		if !ok {
			parts = &[throttler.Classes]float64{}
			c.plan.refused[from] = parts
		}
		for class := range parts {
			parts[class] = max(parts[class], mix.Refused(class, excess))
		}
	}
}

// routeShare is a route, and the part of its requests that each service gets.
type routeShare struct {
	route *matcher.Route
	parts map[identifier.Service]float64
}

func sharesOf(config matcher.Configuration) map[identifier.Route]*routeShare {
	shares := make(map[identifier.Route]*routeShare, len(config.Routes))
	for i := range config.Routes {
		route := &config.Routes[i]
		share := &routeShare{route: route, parts: map[identifier.Service]float64{}}
		total := 0
		for _, part := range route.Parts {
			total += part.Weight
		}
		for _, part := range route.Parts {
			if total > 0 {
				share.parts[part.Service] += float64(part.Weight) / float64(total)
			}
		}
		shares[identifier.Route(route.Name)] = share
	}
	return shares
}

// stage is a service as its nodes report it.
type stage struct {
	excesses, loads []float64
	kinds           map[identifier.Route]*kindCalls
}

// kindCalls are the nested calls of one run of a route, summed over the nodes that know them.
type kindCalls struct {
	calls   map[identifier.Route]float64
	knowing float64
}

// leaf tells whether a service is known to make no nested calls.
func (s *stage) leaf() bool {
	for _, k := range s.kinds {
		if len(k.calls) > 0 {
			return false
		}
	}
	return len(s.kinds) > 0
}

// graph is who calls whom.
type graph struct {
	shares map[identifier.Route]*routeShare
	stages map[identifier.Service]*stage
}

func newGraph(shares map[identifier.Route]*routeShare, reports []exchanger.Report) *graph {
	g := &graph{shares: shares, stages: map[identifier.Service]*stage{}}
	for _, report := range reports {
		if report.Age <= silentAfter && report.Member.State == exchanger.Ready {
			g.add(report)
		}
	}
	return g
}

func (g *graph) add(report exchanger.Report) {
	s, ok := g.stages[report.Member.Service]
	if !ok {
		s = &stage{kinds: map[identifier.Route]*kindCalls{}}
		g.stages[report.Member.Service] = s
	}
	s.excesses = append(s.excesses, report.Excess)
	s.loads = append(s.loads, report.Load)
	for route, calls := range report.Calls {
		k, ok := s.kinds[route]
		if !ok {
			k = &kindCalls{calls: map[identifier.Route]float64{}}
			s.kinds[route] = k
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
	for _, route := range []identifier.Route{at.route, unknownRun} {
		k, ok := s.kinds[route]
		if !ok {
			continue
		}
		for nested, n := range k.calls {
			g.descend(costs, nested, times*n/k.knowing, above)
		}
	}
}

func (g *graph) descend(
	costs map[identifier.Service]float64,
	route identifier.Route,
	times float64,
	above []origin,
) {
	share, ok := g.shares[route]
	if !ok {
		return
	}
	for service, part := range share.parts {
		next := origin{route: route, service: service}
		// Services that call each other would be walked round and round.
		if times*part >= leastCost && !slices.Contains(above, next) {
			g.visit(costs, next, times*part, above)
		}
	}
}
