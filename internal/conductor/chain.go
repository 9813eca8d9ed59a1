package conductor

// The nodes report the nested calls of their endpoints, so every node knows the call chain below each request. The
// excess load of a service is shed among the root requests that lead to it, those with the least worth per call at that
// service first.
//
// Example: a portal request calls desk once and that calls clock four times: it costs 1 portal, 1 desk and 4 clock.

import (
	"maps"
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
	// leastRatios holds the part of each kind that is admitted whatever its importance, for kinds that lead to a service that
	// refuses some requests.
	leastRatios map[requestKind]float64
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
	// causes holds the decision that refuses most of each kind, for the counts.
	causes map[requestKind]refusalCause
	// thresholds hold the kinds of requests that are refused in part, divided between teams.
	thresholds []threshold
	// arrivalReporters is the number of nodes whose arrivals the plan is based on; arrivalsComplete is set if these are all
	// nodes that report. computedServices are the services whose excess is computed from arrivals.
	arrivalReporters int
	arrivalsComplete bool
	computedServices map[identifier.Service]bool
	// demands and capacities are the demand and the capacity that their excess is computed from, in calls a second.
	demands, capacities map[identifier.Service]float64
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
	return c.plan.divide(r, c.plan.refusedPart(r.kind()))
}

// refusedPart returns the part of a kind that is refused.
func (p *plan) refusedPart(k requestKind) float64 {
	if ratios, ok := p.refusedRatios[k.from]; ok {
		return ratios[k.class]
	}
	return 0
}

// admitLeast records the part of a kind that one service admits whatever the kind's importance; the smallest part counts.
func (p *plan) admitLeast(k requestKind, part float64) {
	if known, ok := p.leastRatios[k]; part < 1 && (!ok || part < known) {
		p.leastRatios[k] = part
	}
}

// rankOf returns the rank of an admitted root request. The part of its kind that is admitted whatever its importance precedes
// all others at each service of the chain, or the calls of the last kind would wait there until they expire.
func (c *Conductor) rankOf(r *call) identifier.Rank {
	k, hash := r.kind(), c.random.Uint64()
	if least := c.plan.leastRatios[k]; least > 0 && c.random.Float64() < least/(1-c.plan.refusedPart(k)) {
		return r.class.leastRank(hash)
	}
	return r.class.rank(c.plan.costLevels[r.origin()], hash)
}

// overloaded reports whether some service has more load than it can take.
func (p *plan) overloaded() bool {
	for _, excess := range p.excess {
		if excess > 0 {
			return true
		}
	}
	return false
}

func (c *Conductor) makePlan(now clock.Time) {
	c.arrivalCounts.decay(now)
	c.recentArrivals.decay(now)
	c.teamArrivals.decay(now)
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

		leastRatios: map[requestKind]float64{},
		causes:      map[requestKind]refusalCause{},

		computedServices: map[identifier.Service]bool{},
		demands:          map[identifier.Service]float64{},
		capacities:       map[identifier.Service]float64{},
	}
	c.refreshGraph(now)
	loads := c.planLoads(now)
	costs := map[origin]map[identifier.Service]float64{}
	for from := range c.arrivalCounts.counts {
		costs[from] = c.callGraph.costsOf(from)
		c.plan.costLevels[from] = costLevel(slices.Max(slices.Collect(maps.Values(costs[from]))))
	}
	available := c.usableDomains()
	c.planMissing(costs, available, now)
	c.planPreferredDomains(available)
	c.planRefusals(loads, costs, now)
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

// isCurrent reports whether a report describes the present state of its service.
func isCurrent(report exchanger.Report) bool {
	return report.Age <= suspectAfter && report.Member.State == exchanger.Ready
}
