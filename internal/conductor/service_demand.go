package conductor

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/rationer"
	"github.com/jackdawtide/jackdawtide/internal/throttler"
)

// requestKind is a set of root requests that are refused alike, apart from their teams.
type requestKind struct {
	from  origin
	class class
}

// kind returns the kind of a root request.
func (r *call) kind() requestKind {
	return requestKind{from: r.origin(), class: r.class}
}

// serviceDemand is the demand of each kind at one service, with the calls a second that it makes there.
type serviceDemand struct {
	kinds     []requestKind
	rationed  []rationer.Kind
	callRates []float64
	// slotTimes is the slot time of one request of each kind.
	slotTimes []float64
	// rootCallRates is the part of callRates that are root requests.
	rootCallRates []float64
	// calls, rootCalls and slotTime are sums over the kinds.
	calls, rootCalls, slotTime float64
}

// callsOf returns the calls a second of the given parts of the kinds.
func (d serviceDemand) callsOf(parts []float64) float64 {
	calls := 0.0
	for i, part := range parts {
		calls += part * d.callRates[i]
	}
	return calls
}

// refused returns the part of all calls that the given parts of the kinds make up, 0 without any demand.
func (d serviceDemand) refused(parts []float64) float64 {
	if d.calls <= 0 {
		return 0
	}
	return d.callsOf(parts) / d.calls
}

// rootCallsOf returns the root requests a second among the given parts of the kinds.
func (d serviceDemand) rootCallsOf(parts []float64) float64 {
	calls := 0.0
	for i, part := range parts {
		calls += part * d.rootCallRates[i]
	}
	return calls
}

// demandsOf divides the arrivals of routes between the services of their splits.
func (c *Conductor) demandsOf(arrivals routeArrivals) map[origin]*throttler.Mix {
	demands := map[origin]*throttler.Mix{}
	for route, rates := range arrivals {
		for service, share := range c.routeShares[route] {
			mix := *rates
			for i := range mix {
				mix[i] *= share
			}
			demands[origin{route: route, service: service}] = &mix
		}
	}
	return demands
}

// demandAt returns the demand at a service. With the fleet's arrivals, requests that other services refuse are no demand
// here.
func (p *refusalPlanner) demandAt(service identifier.Service) serviceDemand {
	var d serviceDemand
	l := p.loads[service]
	// Sums in a fixed order make plans reproducible.
	for _, from := range slices.SortedFunc(maps.Keys(p.demands), compareOrigins) {
		calls := p.costs[from][service]
		if calls <= 0 {
			continue
		}
		rootCalls := 0.0
		if from.service == service {
			rootCalls = 1
		}
		slotTime := l.slotTime(rootCalls, max(0, calls-rootCalls))
		level := p.c.orderLevel(service, from, l.relativeCost(rootCalls, max(0, calls-rootCalls)))
		rates := p.admittedElsewhere(service, from)
		for i, rate := range rates {
			if rate <= 0 {
				continue
			}
			d.kinds = append(d.kinds, requestKind{from: from, class: class(i)})
			d.rationed = append(d.rationed, rationer.Kind{
				Class: identifier.Class(i), Demand: rate * slotTime, Worth: class(i).worth(level),
			})
			d.slotTimes = append(d.slotTimes, slotTime)
			d.callRates = append(d.callRates, rate*calls)
			d.rootCallRates = append(d.rootCallRates, rate*min(rootCalls, calls))
			d.calls += rate * calls
			d.rootCalls += rate * min(rootCalls, calls)
			d.slotTime += rate * slotTime
		}
	}
	return d
}

// admittedElsewhere returns the rates of an origin's requests that all services but one admit.
func (p *refusalPlanner) admittedElsewhere(service identifier.Service, from origin) throttler.Mix {
	rates := *p.demands[from]
	if !p.fleet {
		return rates
	}
	for other, r := range p.refusals {
		ratios, ok := r.ratios[from]
		if other == service || !ok {
			continue
		}
		for i := range rates {
			rates[i] *= 1 - ratios[i]
		}
	}
	return rates
}

func compareOrigins(a, b origin) int {
	return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.service, b.service))
}

// costLevel rounds the base-2 logarithm of a cost. Measured costs of the same chain differ slightly; without rounding,
// one part of a split would be refused before the other.
func costLevel(cost float64) int {
	return max(0, int(math.Round(math.Log2(cost))))
}

// orderHysteresis is how far the base-2 logarithm of a cost has to be from its level before the level changes. Half a level is
// the middle between two; beside it, a run time that moves between 45 and 46 ms changed the order of two kinds each time.
const orderHysteresis = 0.75

// levelKey names the cost of an origin's requests at a service.
type levelKey struct {
	service identifier.Service
	from    origin
}

// orderLevel returns the level of a relative cost in the order of refusals. Without an earlier level it depends on the reports
// alone; nodes that have seen different histories differ at most for a cost between two levels.
func (c *Conductor) orderLevel(service identifier.Service, from origin, cost float64) int {
	key, exact := levelKey{service: service, from: from}, math.Log2(cost)
	level, ok := c.orderLevels[key]
	if !ok || math.Abs(exact-float64(level)) > orderHysteresis {
		level = int(math.Round(exact))
		c.orderLevels[key] = level
	}
	return level
}
