package conductor

// From what the nodes report of their endpoints' nested calls, every node knows the chain below each request. The
// excess of a service is refused among the root requests that lead there, first what is worth least for its calls there.
//
// Example: a portal request calls desk once and that calls clock four times: it costs 1 portal, 1 desk and 4 clock.

import (
	"maps"
	"math"
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
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
	// costLevels are the logarithms to base two of the most calls that a request of each origin makes at one service.
	costLevels map[origin]int
	// missing is the part of the requests of each origin whose nested calls meet a service without an endpoint.
	missing map[origin]float64
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
		missing:  map[origin]float64{},
		homes:    map[origin][]identifier.FailureDomain{},
		leaf:     map[identifier.Service]bool{},

		costLevels: map[origin]int{},
	}
	c.refreshGraph(now)
	pressed := c.planLoads(now)
	costs := map[origin]map[identifier.Service]float64{}
	for from := range c.arrivals.counts {
		costs[from] = c.graph.costsOf(from)
		c.plan.costLevels[from] = costLevel(slices.Max(slices.Collect(maps.Values(costs[from]))))
	}
	there := c.presence()
	c.planMissing(costs, there, now)
	c.planHomes(there)
	if !pressed {
		return
	}
	for _, bottleneck := range slices.Sorted(maps.Keys(c.plan.excess)) {
		if excess := c.plan.excess[bottleneck]; excess > 0 {
			c.planFor(bottleneck, excess, costs)
		}
	}
}

// graphPeriod is how old the knowledge of who calls whom may grow: it changes with releases, and putting it together from all
// reports is most of a plan's work in a large fleet.
const graphPeriod = clock.Second

// refreshGraph puts together anew who calls whom, if that is old or was put together from fewer nodes.
func (c *Conductor) refreshGraph(now clock.Time) {
	if c.graph != nil && now.Sub(c.graph.made) < graphPeriod && c.table.Len() <= c.graph.reports {
		return
	}
	c.graph = newGraph(c.shares, c.table, now)
}

// load is a service's load as its nodes report it.
type load struct {
	excesses, loads []float64
}

// planLoads takes over what is too much and what arrives at each service, and tells whether anything is too much.
func (c *Conductor) planLoads(now clock.Time) bool {
	loads := map[identifier.Service]*load{}
	for report := range c.table.All(now) {
		if !counts(report) || c.evacuated[report.Member.Domain] {
			continue
		}
		l, ok := loads[report.Member.Service]
		if !ok {
			l = &load{}
			loads[report.Member.Service] = l
		}
		l.excesses = append(l.excesses, report.Excess)
		l.loads = append(l.loads, report.Load)
	}
	pressed := false
	for service, l := range loads {
		excess := throttler.Mean(l.excesses, l.loads)
		c.plan.excess[service] = excess
		for _, load := range l.loads {
			c.plan.arriving[service] += load * (1 - excess)
		}
		pressed = pressed || excess > 0
		if s, ok := c.graph.stages[service]; ok {
			c.plan.leaf[service] = s.leaf()
		}
	}
	return pressed
}

// counts tells whether a report says how its service fares now.
func counts(report exchanger.Report) bool {
	return report.Age <= silentAfter && report.Member.State == exchanger.Ready
}

// planFor refuses what one service has too much, among all requests that lead to it.
func (c *Conductor) planFor(bottleneck identifier.Service, excess float64, costs map[origin]map[identifier.Service]float64) {
	type kind struct {
		from  origin
		class class
	}
	var kinds []kind
	var demands []throttler.Demand
	for from, counts := range c.arrivals.counts {
		cost := costs[from][bottleneck]
		if cost <= 0 {
			continue
		}
		for i, count := range counts {
			kinds = append(kinds, kind{from: from, class: class(i)})
			demands = append(demands, throttler.Demand{Load: count * cost, Worth: class(i).worth(costLevel(cost))})
		}
	}
	for i, part := range throttler.Shed(demands, excess) {
		parts, ok := c.plan.refused[kinds[i].from]
		if !ok {
			parts = &[throttler.Classes]float64{}
			c.plan.refused[kinds[i].from] = parts
		}
		parts[kinds[i].class] = max(parts[kinds[i].class], part)
	}
}

// costLevel rounds the logarithm of a cost: measured costs of the same chain differ a little, and the parts of a split would be
// refused one before the other.
func costLevel(cost float64) int {
	return max(0, int(math.Round(math.Log2(cost))))
}
