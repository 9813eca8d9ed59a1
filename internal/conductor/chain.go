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
	madeAt        clock.Time
	valid         bool
	excess        map[identifier.Service]float64
	refusedRatios map[origin]*[throttler.Classes]float64
	// arrivalRates is how many calls a second come to each service.
	arrivalRates map[identifier.Service]float64
	// costLevels are the logarithms to base two of the most calls that a request of each origin makes at one service.
	costLevels map[origin]int
	// missingRatio is the part of the requests of each origin whose nested calls meet a service without an endpoint.
	missingRatio map[origin]float64
	// preferredDomains are the domains in which the calls of what is sent from here find endpoints, where this one is none of them.
	preferredDomains map[origin][]identifier.FailureDomain
	// leafServices holds the services that are known to make no nested calls.
	leafServices map[identifier.Service]bool
}

// planPeriod is how often the plan is made: half of the shortest period of the reports that it rests on.
const planPeriod = 100 * clock.Millisecond

func (c *Conductor) refreshPlan(now clock.Time) {
	if !c.plan.valid || now.Sub(c.plan.madeAt) >= planPeriod {
		c.makePlan(now)
	}
}

// refusedRatios returns the part of the requests like r that is refused for the services it leads to.
func (c *Conductor) refusedRatio(r *call, now clock.Time) float64 {
	c.refreshPlan(now)
	parts, ok := c.plan.refusedRatios[r.origin()]
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
	c.arrivalCounts.decay(now)
	c.plan = plan{
		madeAt:           now,
		valid:            true,
		excess:           map[identifier.Service]float64{},
		refusedRatios:    map[origin]*[throttler.Classes]float64{},
		arrivalRates:     map[identifier.Service]float64{},
		missingRatio:     map[origin]float64{},
		preferredDomains: map[origin][]identifier.FailureDomain{},
		leafServices:     map[identifier.Service]bool{},

		costLevels: map[origin]int{},
	}
	c.refreshGraph(now)
	pressed := c.planLoads(now)
	costs := map[origin]map[identifier.Service]float64{}
	for from := range c.arrivalCounts.counts {
		costs[from] = c.callGraph.costsOf(from)
		c.plan.costLevels[from] = costLevel(slices.Max(slices.Collect(maps.Values(costs[from]))))
	}
	available := c.usableDomains()
	c.planMissing(costs, available, now)
	c.planPreferredDomains(available)
	if !pressed {
		return
	}
	for _, bottleneck := range slices.Sorted(maps.Keys(c.plan.excess)) {
		if excess := c.plan.excess[bottleneck]; excess > 0 {
			c.planShedding(bottleneck, excess, costs)
		}
	}
}

// graphPeriod is how old the knowledge of who calls whom may grow: it changes with releases, and putting it together from all
// reportCount is most of a plan's work in a large fleet.
const graphPeriod = clock.Second

// refreshGraph puts together anew who calls whom, if that is old or was put together from fewer nodes.
func (c *Conductor) refreshGraph(now clock.Time) {
	if c.callGraph != nil && now.Sub(c.callGraph.builtAt) < graphPeriod && c.table.Len() <= c.callGraph.reportCount {
		return
	}
	c.callGraph = newGraph(c.routeShares, c.table, now)
}

// serviceLoad is a service's load as its nodes report it.
type serviceLoad struct {
	excesses, loads []float64
}

// planLoads takes over what is too much and what arrives at each service, and tells whether anything is too much.
func (c *Conductor) planLoads(now clock.Time) bool {
	loads := map[identifier.Service]*serviceLoad{}
	for report := range c.table.All(now) {
		if !isCurrent(report) || c.evacuated[report.Member.Domain] {
			continue
		}
		l, ok := loads[report.Member.Service]
		if !ok {
			l = &serviceLoad{}
			loads[report.Member.Service] = l
		}
		l.excesses = append(l.excesses, report.Excess)
		l.loads = append(l.loads, report.Load)
	}
	pressed := false
	for service, l := range loads {
		excess := throttler.Mean(l.excesses, l.loads)
		c.plan.excess[service] = excess
		for _, nodeLoad := range l.loads {
			c.plan.arrivalRates[service] += nodeLoad * (1 - excess)
		}
		pressed = pressed || excess > 0
		if s, ok := c.callGraph.services[service]; ok {
			c.plan.leafServices[service] = s.leaf()
		}
	}
	return pressed
}

// isCurrent tells whether a report says how its service fares now.
func isCurrent(report exchanger.Report) bool {
	return report.Age <= suspectAfter && report.Member.State == exchanger.Ready
}

// planShedding refuses what one service has too much, among all requests that lead to it.
func (c *Conductor) planShedding(bottleneck identifier.Service, excess float64, costs map[origin]map[identifier.Service]float64) {
	type kind struct {
		from  origin
		class class
	}
	var kinds []kind
	var demands []throttler.Demand
	for from, counts := range c.arrivalCounts.counts {
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
		parts, ok := c.plan.refusedRatios[kinds[i].from]
		if !ok {
			parts = &[throttler.Classes]float64{}
			c.plan.refusedRatios[kinds[i].from] = parts
		}
		parts[kinds[i].class] = max(parts[kinds[i].class], part)
	}
}

// costLevel rounds the logarithm of a cost: measured costs of the same chain differ a little, and the parts of a split would be
// refusedRatios one before the other.
func costLevel(cost float64) int {
	return max(0, int(math.Round(math.Log2(cost))))
}
