package conductor

// Every node computes the same refusals from the same reports: the demand of each kind of root request at each overloaded
// service, in slot time, is summed over the fleet, and the kinds that are worth least for their slot time are refused. As
// long as no other node's arrivals are known, a node refuses the measured excess among its own arrivals.
//
// Example: clock can run 8,000 calls a second, browses need 6,000 and orders 4,000: 2,240 of the browses' calls are excess.

import (
	"maps"
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/rationer"
	"github.com/jackdawtide/jackdawtide/internal/throttler"
)

// refusal is what one service refuses: the part of each kind of its demand.
type refusal struct {
	demand serviceDemand
	ratios map[origin]*throttler.Mix
	// Division has the fractions of the kinds of the demand.
	rationer.Division
	// excess is the refused part of the demand's calls, measured what the endpoints measure.
	excess   float64
	measured measuredLoad
	computed bool
}

// refusalPlanner computes the refusals of all services for one plan.
type refusalPlanner struct {
	c     *Conductor
	now   clock.Time
	loads map[identifier.Service]*serviceLoad
	costs map[origin]map[identifier.Service]float64
	// demands holds the rates of root requests. They are those of the whole fleet if fleet is set, otherwise this node's own.
	demands  map[origin]*throttler.Mix
	fleet    bool
	refusals map[identifier.Service]*refusal
}

// bottleneckPasses is how often the refusals of several bottlenecks are computed. What one refuses is no demand at the other,
// so that each depends on the others; a third pass changes little in what the second gave.
const bottleneckPasses = 3

// planRefusals computes the refusals of all services.
func (c *Conductor) planRefusals(loads map[identifier.Service]*serviceLoad, costs map[origin]map[identifier.Service]float64, now clock.Time) {
	measured := c.plan.overloaded()
	c.dropOldModels(now)
	arrivals, reporters := c.fleetArrivals(now)
	c.plan.arrivalReporters = reporters
	p := refusalPlanner{
		c: c, now: now, loads: loads, costs: costs, demands: c.arrivalCounts.counts, fleet: reporters > 1,
		refusals: map[identifier.Service]*refusal{},
	}
	if p.fleet {
		c.plan.arrivalsComplete = reporters == c.nodesInUse(loads, now)
		p.demands = c.demandsOf(arrivals)
		for from := range p.demands {
			if _, ok := costs[from]; !ok {
				costs[from] = c.callGraph.costsOf(from)
			}
		}
	}
	if measured || p.fleet {
		p.run()
	}
	if measured || c.plan.overloaded() {
		c.arrivalsNeededUntil = now.Add(arrivalsKeptFor)
	}
}

func (p *refusalPlanner) run() {
	services := slices.Sorted(maps.Keys(p.loads))
	for range bottleneckPasses {
		for _, service := range services {
			p.planService(service)
		}
		if !p.fleet || p.refusing() < 2 {
			break
		}
	}
	for _, service := range services {
		if r, ok := p.refusals[service]; ok {
			p.apply(service, r)
		}
	}
}

// refusing returns the number of services that refuse requests.
func (p *refusalPlanner) refusing() int {
	n := 0
	for _, r := range p.refusals {
		if r.excess > 0 {
			n++
		}
	}
	return n
}

// planService computes what one service refuses, given what the others do.
func (p *refusalPlanner) planService(service identifier.Service) {
	l, excess := p.loads[service], p.c.plan.excess[service]
	r := &refusal{computed: p.fleet && !l.capacityUnknown, measured: measuredLoad{demand: l.load, excess: excess}}
	if !r.computed && excess <= 0 {
		return
	}
	r.demand = p.demandAt(service)
	if r.computed {
		excess = p.computedExcess(service, r.demand, excess)
	}
	r.excess = excess
	r.Division = rationer.Divide(r.demand.rationed, (1-excess)*r.demand.slotTime)
	if p.fleet {
		r.excess = r.demand.refused(r.Refused)
	}
	r.ratios = map[origin]*throttler.Mix{}
	for i, part := range r.Refused {
		k := r.demand.kinds[i]
		if part <= 0 {
			continue
		}
		if _, ok := r.ratios[k.from]; !ok {
			r.ratios[k.from] = &throttler.Mix{}
		}
		r.ratios[k.from][k.class] = part
	}
	p.refusals[service] = r
}

// computedExcess returns the fraction of a service's demand to refuse, computed from arrivals and corrected by the measured
// excess where the arrivals are not those of all nodes or do not explain the demand.
func (p *refusalPlanner) computedExcess(service identifier.Service, d serviceDemand, measured float64) float64 {
	m := p.c.demandModelOf(service, p.now)
	excess := m.excessOf(p.loads[service], d)
	switch {
	case !p.c.plan.arrivalsComplete, !m.credible() && m.ratio > 1:
		excess = max(excess, measured)
	case !m.credible():
		excess = min(excess, measured)
	}
	if excess < minComputedExcess {
		return 0
	}
	return excess
}

// apply adds what one service refuses to the plan, and learns from its measured demand.
func (p *refusalPlanner) apply(service identifier.Service, r *refusal) {
	c, d := p.c, r.demand
	// The throttlers of the service's endpoints are told the part of the calls that is refused.
	c.plan.excess[service] = r.excess
	c.plan.arrivalRates[service] = p.loads[service].load * (1 - r.excess)
	if r.computed {
		c.plan.computedServices[service] = true
		c.plan.demands[service], c.plan.capacities[service] = d.calls, p.loads[service].capacity
		m := c.demandModelOf(service, p.now)
		m.learn(r.measured, d, r, c.plan.arrivalsComplete, p.now)
	}
	limit, limited := c.serviceLimit(service, p.now)
	var divided []threshold
	decision := Decision(pressureDecision + string(service))
	for i, part := range r.Refused {
		k := d.kinds[i]
		c.plan.admitLeast(k, r.Least[i])
		if part <= 0 {
			continue
		}
		c.plan.refuse(k, part, p.fleet, decision)
		if limited {
			c.plan.limits[k.from] = limit
		}
		if p.fleet && part < 1 {
			divided = addToThreshold(divided, k, d.slotTimes[i], part)
		}
	}
	for i := range divided {
		c.divideBetweenTeams(&divided[i], p.now)
	}
	c.plan.thresholds = append(c.plan.thresholds, divided...)
}

// refuse adds a service's refused part of a kind. With the fleet's arrivals, it is a part of what the other services admit;
// otherwise the larger one of two parts holds, since both refuse the same least important requests.
func (p *plan) refuse(k requestKind, part float64, fleet bool, by Decision) {
	p.blame(k, part, by)
	ratios, ok := p.refusedRatios[k.from]
	if !ok {
		ratios = &[throttler.Classes]float64{}
		p.refusedRatios[k.from] = ratios
	}
	if fleet {
		ratios[k.class] = 1 - (1-ratios[k.class])*(1-part)
	} else {
		ratios[k.class] = max(ratios[k.class], part)
	}
}
