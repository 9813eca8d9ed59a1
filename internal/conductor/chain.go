package conductor

// The nodes report the nested calls of their endpoints, so every node knows the call chain below each request. The
// excess load of a service is shed among the root requests that lead to it, those with the least worth per call at that
// service first.
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

// origin identifies where root requests enter: a route, and the service chosen from its split.
type origin struct {
	route   identifier.Route
	service identifier.Service
}

// plan holds what part of the root requests of each origin is refused; it is recomputed periodically.
type plan struct {
	madeAt        clock.Time
	valid         bool
	excess        map[identifier.Service]float64
	refusedRatios map[origin]*[throttler.Classes]float64
	// arrivalRates is the rate of calls that arrive at each service, in calls a second.
	arrivalRates map[identifier.Service]float64
	// costLevels holds, for each origin, the base-2 logarithm of the largest number of calls that a request makes at
	// one service.
	costLevels map[origin]int
	// missingRatio is, for each origin, the part of its requests whose nested calls need a service without an endpoint.
	missingRatio map[origin]float64
	// preferredDomains are, for each origin sent from here, the failure domains in which its nested calls find
	// endpoints, if the local domain lacks them.
	preferredDomains map[origin][]identifier.FailureDomain
	// limits holds, for each origin whose requests are refused for a service of which all endpoints name rate limits, the
	// sum of these limits.
	limits map[origin]float64
	// leafServices holds the services that are known to make no nested calls.
	leafServices map[identifier.Service]bool
}

// planPeriod is the age at which the plan is recomputed: half of overloadPeriod, in which nodes exchange the reports it
// is based on while a service is overloaded, and as much as shortPeriod, in which collectors exchange them.
const planPeriod = 100 * clock.Millisecond

func (c *Conductor) refreshPlan(now clock.Time) {
	if !c.plan.valid || now.Sub(c.plan.madeAt) >= planPeriod {
		c.makePlan(now)
	}
}

// refusedRatio returns the part of requests of r's origin and class that is refused for the services they lead to.
func (c *Conductor) refusedRatio(r *call, now clock.Time) float64 {
	c.refreshPlan(now)
	ratios, ok := c.plan.refusedRatios[r.origin()]
	if !ok {
		return 0
	}
	return ratios[r.class]
}

// AnyOverloaded reports whether some service has more load than it can take, or declines calls.
func (c *Conductor) AnyOverloaded(now clock.Time) bool {
	c.refreshPlan(now)
	for _, excess := range c.plan.excess {
		if excess > 0 {
			return true
		}
	}
	return len(c.declining) > 0
}

func (c *Conductor) makePlan(now clock.Time) {
	c.arrivalCounts.decay(now)
	c.recentArrivals.decay(now)
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
		limits:     map[origin]float64{},
	}
	c.refreshGraph(now)
	overloaded := c.planLoads(now)
	costs := map[origin]map[identifier.Service]float64{}
	for from := range c.arrivalCounts.counts {
		costs[from] = c.callGraph.costsOf(from)
		c.plan.costLevels[from] = costLevel(slices.Max(slices.Collect(maps.Values(costs[from]))))
	}
	available := c.usableDomains()
	c.planMissing(costs, available, now)
	c.planPreferredDomains(available)
	if overloaded {
		for _, bottleneck := range slices.Sorted(maps.Keys(c.plan.excess)) {
			if excess := c.plan.excess[bottleneck]; excess > 0 {
				c.planShedding(bottleneck, excess, costs, now)
			}
		}
	}
	c.planCompletion(now)
}

// graphPeriod is the maximum age of the call graph. The graph changes only with releases, and building it from all
// reports is most of the work of a plan in a large fleet.
const graphPeriod = clock.Second

// refreshGraph rebuilds the call graph if it is too old or was built from fewer reports than there are now.
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

// planLoads computes the excess load and the arrival rate of each service, and reports whether any service has an
// excess.
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
	overloaded := false
	for service, l := range loads {
		excess := throttler.Mean(l.excesses, l.loads)
		c.plan.excess[service] = excess
		for _, nodeLoad := range l.loads {
			c.plan.arrivalRates[service] += nodeLoad * (1 - excess)
		}
		overloaded = overloaded || excess > 0
		if s, ok := c.callGraph.services[service]; ok {
			c.plan.leafServices[service] = s.leaf()
		}
	}
	return overloaded
}

// isCurrent reports whether a report describes the present state of its service.
func isCurrent(report exchanger.Report) bool {
	return report.Age <= suspectAfter && report.Member.State == exchanger.Ready
}

// planShedding distributes the excess of one service as refusals over all requests that lead to it.
func (c *Conductor) planShedding(bottleneck identifier.Service, excess float64, costs map[origin]map[identifier.Service]float64, now clock.Time) {
	limit, limited := c.serviceLimit(bottleneck, now)
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
	for i, ratio := range throttler.Shed(demands, excess) {
		ratios, ok := c.plan.refusedRatios[kinds[i].from]
		if !ok {
			ratios = &[throttler.Classes]float64{}
			c.plan.refusedRatios[kinds[i].from] = ratios
		}
		ratios[kinds[i].class] = max(ratios[kinds[i].class], ratio)
		if limited && ratio > 0 {
			c.plan.limits[kinds[i].from] = limit
		}
	}
}

// costLevel rounds the base-2 logarithm of a cost. Measured costs of the same chain differ slightly; without rounding,
// one part of a split would be refused before the other.
func costLevel(cost float64) int {
	return max(0, int(math.Round(math.Log2(cost))))
}
