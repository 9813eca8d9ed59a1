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

// arrivalsKeptFor is how long after the last overload nodes report their arrivals. With a wave in the demand, overloads
// follow each other after up to ten seconds, and the two ways to compute an excess would alternate.
const arrivalsKeptFor = 10 * clock.Second

// sharesArrivals reports whether nodes report their arrivals: some service is overloaded or was shortly before.
func (c *Conductor) sharesArrivals(now clock.Time) bool {
	c.refreshPlan(now)
	return now < c.arrivalsNeededUntil
}

// reportArrivals adds this node's arrivals to a report if other nodes need them.
func (c *Conductor) reportArrivals(r *exchanger.Report, now clock.Time) {
	if !c.sharesArrivals(now) {
		return
	}
	r.Capacity, r.Queue = c.throttler.FullRate(), float64(c.queueFloor.standing())
	r.Arrivals = map[identifier.Route]map[identifier.Class]float64{}
	c.recentArrivals.decay(now)
	for route, rates := range c.recentArrivals.rates() {
		byClass := map[identifier.Class]float64{}
		for i, rate := range rates {
			if rate > 0 {
				byClass[identifier.Class(i)] = rate
			}
		}
		r.Arrivals[route] = byClass
	}
	c.teamArrivals.decay(now)
	r.TeamArrivals = c.teamArrivals.rates()
	if len(r.Arrivals) == 0 {
		// Without any entry, the report would look like that of an older node, which reports no arrivals.
		r.Arrivals[unknownRoute] = map[identifier.Class]float64{0: 0}
	}
}

// arrivalTrend holds the arrivals in a node's latest reports, oldest first: the last one and the latest one before it with
// which it can be compared.
type arrivalTrend []reportedArrivals

type reportedArrivals struct {
	madeAt clock.Time
	rates  map[identifier.Route]map[identifier.Class]float64
}

const (
	// minTrendSpan and maxTrendSpan bound the time between two reports that are compared. Over a shorter time, chance
	// hides the change of a few hundred arrivals a second.
	minTrendSpan = 180 * clock.Millisecond
	maxTrendSpan = clock.Second
	// trendNoise is the number of standard deviations up to which a change counts as chance. Without it, the changes of
	// random arrivals at 1,700 a second moved the refused fraction by a tenth in both directions.
	trendNoise = 1.5
)

// learnArrivalTrend keeps the arrivals of a node's report to compare them with those of its next one.
func (c *Conductor) learnArrivalTrend(r exchanger.Report, madeAt clock.Time) {
	if len(r.Arrivals) == 0 {
		delete(c.arrivalTrends, r.Member.Node)
		return
	}
	trend := append(c.arrivalTrends[r.Member.Node], reportedArrivals{madeAt: madeAt, rates: r.Arrivals})
	for len(trend) > 1 && madeAt.Sub(trend[1].madeAt) >= minTrendSpan || madeAt.Sub(trend[0].madeAt) > maxTrendSpan {
		trend = trend[1:]
	}
	c.arrivalTrends[r.Member.Node] = trend
}

// span returns the time between the compared reports, 0 if there are none.
func (t arrivalTrend) span() clock.Duration {
	span := t[len(t)-1].madeAt.Sub(t[0].madeAt)
	if span < minTrendSpan {
		return 0
	}
	return span
}

// arrivalChange is what the arrivals of one route and class changed between the nodes' last two reports. Reported rates
// follow a change with a time constant of 0.4 s, and reports are up to half a second old; the time constant is known, so the
// rate between two reports follows from both, and shows the beginning and the end of a surge 0.4 s earlier.
type arrivalChange struct {
	// rate is the difference between the rate since the report before the last and the smoothed one, variance that of the
	// difference by chance.
	rate, variance float64
}

// significant returns the change, reduced by what chance explains.
func (a arrivalChange) significant() float64 {
	noise := trendNoise * trendNoise * a.variance
	if a.rate*a.rate <= noise {
		return 0
	}
	return a.rate * (1 - noise/(a.rate*a.rate))
}

// arrivalChanges returns the changes of the arrivals by route and class.
func (c *Conductor) arrivalChanges(now clock.Time) map[identifier.Route]*[throttler.Classes]arrivalChange {
	changes := map[identifier.Route]*[throttler.Classes]arrivalChange{}
	for report := range c.table.All(now) {
		trend, ok := c.arrivalTrends[report.Member.Node]
		if !ok || report.Age > suspectAfter || trend.span() == 0 {
			continue
		}
		last, before := trend[len(trend)-1].rates, trend[0].rates
		seconds := float64(trend.span()) / float64(clock.Second)
		spans := float64(recentArrivalTimeConstant) / float64(trend.span())
		for route, rates := range last {
			byClass, ok := changes[route]
			if !ok {
				byClass = &[throttler.Classes]arrivalChange{}
				changes[route] = byClass
			}
			old := before[route]
			for class, rate := range rates {
				byClass[class].rate += (rate - old[class]) * spans
				byClass[class].variance += rate / seconds
			}
		}
	}
	return changes
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
	if nodes == 1 {
		return arrivals, nodes
	}
	for route, changes := range c.arrivalChanges(now) {
		rates, ok := arrivals[route]
		if !ok {
			continue
		}
		for class := range rates {
			rates[class] = max(0, rates[class]+changes[class].significant())
		}
	}
	return arrivals, nodes
}

// nodesInUse returns the number of nodes whose arrivals should be known: those with a current report, this one included, and
// members without a report that have just become known. Services of the latter have endpoints of unknown capacity.
func (c *Conductor) nodesInUse(loads map[identifier.Service]*serviceLoad, now clock.Time) int {
	nodes := 1
	for report := range c.table.All(now) {
		if report.Member.Node != c.self.Node && report.Age <= suspectAfter {
			nodes++
		}
	}
	for node, m := range c.members {
		if _, reported := c.table.Age(node, now); reported || node == c.self.Node || !c.isReporting(node, now) {
			continue
		}
		nodes++
		if l, ok := loads[m.Service]; ok && m.State == exchanger.Ready && !c.evacuated[m.Domain] {
			l.capacityUnknown = true
		}
	}
	return nodes
}
