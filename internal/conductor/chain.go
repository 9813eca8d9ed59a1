package conductor

// Which services a root request leads to is learned: each node counts the nested calls that the endpoint beside it
// makes, and reports them by service. From that every node knows the chain below each service.
//
// Example: portal calls desk once a run, desk calls clock four times: a portal request costs 1 desk and 4 clock.

import (
	"maps"
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/throttler"
)

// runCounter counts runs at the local endpoint and the nested calls that it makes.
type runCounter struct {
	runs   float64
	nested map[identifier.Service]float64
}

// chainSample is how many runs are weighed before the counts are halved, so that a changed release is followed within
// some seconds.
const chainSample = 400

func (r *runCounter) started() {
	r.runs++
	if r.runs < chainSample {
		return
	}
	r.runs /= 2
	for service := range r.nested {
		r.nested[service] /= 2
	}
}

func (r *runCounter) called(service identifier.Service) {
	if r.nested == nil {
		r.nested = map[identifier.Service]float64{}
	}
	r.nested[service]++
}

const (
	// leastRuns is how many runs a count of nested calls must rest on.
	leastRuns = 10
	// leastCalls is the number of nested calls a run below which a service does not count as part of a chain.
	leastCalls = 0.05
)

func (r *runCounter) calls() map[identifier.Service]float64 {
	if r.runs < leastRuns {
		return nil
	}
	calls := make(map[identifier.Service]float64, len(r.nested))
	for service, n := range r.nested {
		if n/r.runs > leastCalls {
			calls[service] = n / r.runs
		}
	}
	return calls
}

// plan is what is refused of the root requests to each service, made anew now and then.
type plan struct {
	made    clock.Time
	valid   bool
	excess  map[identifier.Service]float64
	refused map[identifier.Service]*[throttler.Classes]float64
	// arriving is how many calls a second come to each service.
	arriving map[identifier.Service]float64
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
	parts, ok := c.plan.refused[r.service]
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

// stage is a service as its nodes report it.
type stage struct {
	excesses, loads []float64
	// calls are the nested calls of one run, averaged over the nodes that know them.
	calls   map[identifier.Service]float64
	knowing float64
}

func (c *Conductor) makePlan(now clock.Time) {
	c.arrivals.fade(now)
	c.plan = plan{
		made:    now,
		valid:   true,
		excess:  map[identifier.Service]float64{},
		refused: map[identifier.Service]*[throttler.Classes]float64{},
		leaf:    map[identifier.Service]bool{},

		arriving: map[identifier.Service]float64{},
	}
	stages := c.stages(now)
	pressed := false
	for service, s := range stages {
		c.plan.leaf[service] = s.knowing > 0 && len(s.calls) == 0
		c.plan.excess[service] = throttler.Mean(s.excesses, s.loads)
		for _, load := range s.loads {
			c.plan.arriving[service] += load * (1 - c.plan.excess[service])
		}
		pressed = pressed || c.plan.excess[service] > 0
	}
	if !pressed {
		return
	}
	costs := map[identifier.Service]map[identifier.Service]float64{}
	for service := range c.arrivals.counts {
		costs[service] = costsOf(stages, service)
	}
	for _, bottleneck := range slices.Sorted(maps.Keys(c.plan.excess)) {
		if excess := c.plan.excess[bottleneck]; excess > 0 {
			c.planFor(bottleneck, excess, costs)
		}
	}
}

// planFor refuses what one service has too much, among all requests that lead to it.
func (c *Conductor) planFor(
	bottleneck identifier.Service,
	excess float64,
	costs map[identifier.Service]map[identifier.Service]float64,
) {
	var mix throttler.Mix
	for service, counts := range c.arrivals.counts {
		for class, count := range counts {
			mix[class] += count * costs[service][bottleneck]
		}
	}
	for service := range c.arrivals.counts {
		if costs[service][bottleneck] <= 0 {
			continue
		}
		parts, ok := c.plan.refused[service]
		if !ok {
			parts = &[throttler.Classes]float64{}
			c.plan.refused[service] = parts
		}
		for class := range parts {
			parts[class] = max(parts[class], mix.Refused(class, excess))
		}
	}
}

func (c *Conductor) stages(now clock.Time) map[identifier.Service]*stage {
	stages := map[identifier.Service]*stage{}
	for _, report := range c.table.Reports(now) {
		if report.Age > silentAfter || report.Member.State != exchanger.Ready {
			continue
		}
		s, ok := stages[report.Member.Service]
		if !ok {
			s = &stage{calls: map[identifier.Service]float64{}}
			stages[report.Member.Service] = s
		}
		s.excesses = append(s.excesses, report.Excess)
		s.loads = append(s.loads, report.Load)
		if report.Calls == nil {
			continue
		}
		s.knowing++
		for service, n := range report.Calls {
			s.calls[service] += n
		}
	}
	for _, s := range stages {
		for service := range s.calls {
			s.calls[service] /= s.knowing
		}
	}
	return stages
}

// deepest bounds the walk; the longest chains known have 21 services.
const deepest = 24

// costsOf returns how many calls at each service one request to a service makes, itself included.
func costsOf(stages map[identifier.Service]*stage, service identifier.Service) map[identifier.Service]float64 {
	costs := map[identifier.Service]float64{}
	addCosts(costs, stages, service, 1, nil)
	return costs
}

// leastCost is the number of calls at a service below which the walk does not go on.
const leastCost = 0.01

func addCosts(
	costs map[identifier.Service]float64,
	stages map[identifier.Service]*stage,
	service identifier.Service,
	times float64,
	above []identifier.Service,
) {
	costs[service] += times
	s, ok := stages[service]
	if !ok || len(above) == deepest {
		return
	}
	above = append(slices.Clone(above), service)
	for next, n := range s.calls {
		// Services that call each other would be walked round and round.
		if times*n >= leastCost && !slices.Contains(above, next) {
			addCosts(costs, stages, next, times*n, above)
		}
	}
}
