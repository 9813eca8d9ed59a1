package conductor

// Which services a root request leads to is learned: each node counts the nested calls that the endpoint beside it
// makes, and reports them by service. From that every node knows the chain below each service.
//
// Example: portal calls desk once a run, desk calls clock four times: a portal request leads to 1 desk, 4 clock.

import (
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

// leastRuns is how many runs a count of nested calls must rest on.
const leastRuns = 10

func (r *runCounter) calls(now clock.Time) map[identifier.Service]float64 {
	_ = now
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

// leastCalls is the number of nested calls a run below which a service does not count as part of a chain.
const leastCalls = 0.05

// chains is what is known of the services' chains, made anew now and then.
type chains struct {
	made     clock.Time
	valid    bool
	pressure map[identifier.Service]float64
}

// chainPeriod is how often chains and pressures are summed up: half of the reports' period.
const chainPeriod = 200 * clock.Millisecond

// refusedPart returns the part of the requests like r that is refused for the services it leads to.
func (c *Conductor) refusedPart(r *call, now clock.Time) float64 {
	if !c.chains.valid || now.Sub(c.chains.made) >= chainPeriod {
		c.sumUpChains(now)
	}
	pressure := c.chains.pressure[r.service]
	if pressure <= 0 {
		return 0
	}
	return c.classes.present(now).Refused(int(r.rank.Priority()), pressure)
}

// deepest bounds the walk through services that call each other.
const deepest = 24

func (c *Conductor) sumUpChains(now clock.Time) {
	own := map[identifier.Service]*pressed{}
	for _, report := range c.table.Reports(now) {
		if report.Age > silentAfter || report.Member.State != exchanger.Ready {
			continue
		}
		s, ok := own[report.Member.Service]
		if !ok {
			s = &pressed{calls: map[identifier.Service]bool{}}
			own[report.Member.Service] = s
		}
		s.pressures = append(s.pressures, report.Pressure)
		s.slots = append(s.slots, float64(report.Member.Slots))
		for service := range report.Calls {
			s.calls[service] = true
		}
	}
	pressure := map[identifier.Service]float64{}
	for service := range own {
		pressure[service] = worst(own, service, map[identifier.Service]bool{}, deepest)
	}
	c.chains = chains{made: now, valid: true, pressure: pressure}
}

type pressed struct {
	pressures, slots []float64
	calls            map[identifier.Service]bool
}

// worst is the highest pressure on a service and all that it leads to.
func worst(all map[identifier.Service]*pressed, service identifier.Service, seen map[identifier.Service]bool, depth int) float64 {
	s, ok := all[service]
	if !ok || seen[service] || depth == 0 {
		return 0
	}
	seen[service] = true
	most := throttler.Mean(s.pressures, s.slots)
	for next := range s.calls {
		most = max(most, worst(all, next, seen, depth-1))
	}
	return most
}

// classesSeen remembers which classes of requests have arrived lately.
type classesSeen struct {
	last [throttler.Classes]clock.Time
	seen [throttler.Classes]bool
}

// classMemory is how long a class counts as in use after its last request.
const classMemory = 5 * clock.Second

func (s *classesSeen) note(p identifier.Priority, now clock.Time) {
	s.last[p] = now
	s.seen[p] = true
}

func (s *classesSeen) present(now clock.Time) throttler.Present {
	var p throttler.Present
	for i := range s.seen {
		p[i] = s.seen[i] && now.Sub(s.last[i]) < classMemory
	}
	return p
}

func (s *classesSeen) bits(now clock.Time) uint8 {
	bits := uint8(0)
	for i, in := range s.present(now) {
		if in {
			bits |= 1 << i
		}
	}
	return bits
}
