package conductor

// While a service is overloaded, every node reports the root requests that arrive at it, so that all nodes know the demand
// of the whole fleet and refuse the same kinds of request.
//
// Example: 40 browses a second arrive here and 60 at two other nodes: fleetArrivals has 100.

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/throttler"
)

// recentArrivalTimeConstant is long enough for a few hundred requests of the whole fleet and short enough to follow a
// surge within half a second.
const recentArrivalTimeConstant = 400 * clock.Millisecond

// routeArrivals holds rates of root requests in requests a second, by route and class.
type routeArrivals map[identifier.Route]*throttler.Mix

func (a routeArrivals) add(route identifier.Route, class identifier.Class, rate float64) {
	m, ok := a[route]
	if !ok {
		m = &throttler.Mix{}
		a[route] = m
	}
	m[class] += rate
}

// rates returns the present rates in requests a second.
func (a *arrivalCounts) rates() routeArrivals {
	perSecond := float64(clock.Second) / float64(a.timeConstant)
	rates := routeArrivals{}
	for from, counts := range a.counts {
		for i, count := range counts {
			if count > 0 {
				rates.add(from.route, identifier.Class(i), count*perSecond)
			}
		}
	}
	return rates
}

// reportArrivals adds this node's arrivals to a report if other nodes need them.
func (c *Conductor) reportArrivals(r *exchanger.Report, now clock.Time) {
	if !c.AnyOverloaded(now) {
		return
	}
	_, r.Capacity = c.throttler.Rates()
	r.Arrivals = map[identifier.Route]map[identifier.Class]float64{}
	for route, rates := range c.recentArrivals.rates() {
		byClass := map[identifier.Class]float64{}
		for i, rate := range rates {
			if rate > 0 {
				byClass[identifier.Class(i)] = rate
			}
		}
		r.Arrivals[route] = byClass
	}
}

// fleetArrivals returns the root requests a second that arrive at all nodes, as far as their reports tell, and the number
// of nodes that report theirs, this one included.
func (c *Conductor) fleetArrivals(now clock.Time) (arrivals routeArrivals, nodes int) {
	arrivals, nodes = c.recentArrivals.rates(), 1
	for report := range c.table.All(now) {
		if report.Member.Node == c.self.Node || report.Age > suspectAfter || len(report.Arrivals) == 0 {
			continue
		}
		nodes++
		for route, rates := range report.Arrivals {
			for class, rate := range rates {
				arrivals.add(route, class, rate)
			}
		}
	}
	return arrivals, nodes
}
