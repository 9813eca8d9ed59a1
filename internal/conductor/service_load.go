package conductor

import (
	"math"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/throttler"
)

// serviceLoad is a service's load as its nodes report it.
type serviceLoad struct {
	excesses, loads []float64
	// load and capacity are sums in calls a second. The capacity is unknown if some endpoint has not measured its own, or is
	// limited: limited endpoints name their capacity, and the measured excess follows it.
	load, capacity  float64
	capacityUnknown bool
	// queue is the number of calls that stood in the queues of the endpoints, queueAge the sum of their ages since then in
	// seconds.
	queue, queueAge float64
	root, nested    meanTime
	// rootWeight is the slot time of a root request in that of a nested call, if both run times are known.
	rootWeight float64
}

// runTimeRatio is the ratio of a service's root to its nested run times, as far as it is believed.
type runTimeRatio struct {
	updatedAt clock.Time
	ratio     float64
}

// maxRatioChangePerSecond bounds how fast the ratio of run times is believed to change. While a service refuses nearly all
// nested calls, their run time is not updated: after a stall of three seconds it was six times too long for a second, and
// all requests with nested calls were refused. The ratio follows a release that doubles it within seven seconds.
const maxRatioChangePerSecond = 0.1

// follow moves the ratio towards the present one.
func (r *runTimeRatio) follow(ratio float64, now clock.Time) {
	if r.ratio == 0 {
		r.ratio = ratio
	}
	step := math.Exp(maxRatioChangePerSecond * float64(now.Sub(r.updatedAt)) / float64(clock.Second))
	r.ratio = min(r.ratio*step, max(r.ratio/step, ratio))
	r.updatedAt = now
}

// meanTime is the mean of the run times of a service's endpoints, weighted by their load.
type meanTime struct {
	sum, weight float64
}

func (m *meanTime) add(time clock.Duration, load float64) {
	if time > 0 {
		weight := max(1, load)
		m.sum += weight * float64(time)
		m.weight += weight
	}
}

func (m meanTime) known() bool {
	return m.weight > 0
}

func (m meanTime) mean() float64 {
	return m.sum / m.weight
}

func (l *serviceLoad) add(report exchanger.Report) {
	l.excesses = append(l.excesses, report.Excess)
	l.loads = append(l.loads, report.Load)
	l.load += report.Load
	l.capacity += report.Capacity
	l.queue += report.Queue
	l.queueAge += report.Queue * float64(report.Age) / float64(clock.Second)
	if report.Capacity <= 0 || report.Limit == exchanger.Limited || report.ColdLeft > 0 {
		l.capacityUnknown = true
	}
	l.root.add(report.RootTime, report.Load)
	l.nested.add(report.NestedTime, report.Load)
}

// slotTime returns the slot time of a number of root and nested calls at the service. If only one run time is known, it
// counts for both; if none is, the calls themselves are the cost.
func (l *serviceLoad) slotTime(rootCalls, nestedCalls float64) float64 {
	switch {
	case l.root.known() && l.nested.known():
		return (rootCalls*l.rootWeight + nestedCalls) * l.nested.mean()
	case l.root.known():
		return (rootCalls + nestedCalls) * l.root.mean()
	case l.nested.known():
		return (rootCalls + nestedCalls) * l.nested.mean()
	default:
		return rootCalls + nestedCalls
	}
}

// relativeCost returns the cost of a number of root and nested calls in the order of refusals, in nested calls. Root requests
// count as such unless their run times differ by more than a factor of two, so that the order of the usual kinds depends on
// the call graph alone.
func (l *serviceLoad) relativeCost(rootCalls, nestedCalls float64) float64 {
	weight := 1.0
	switch {
	case l.rootWeight > 2:
		weight = l.rootWeight / 2
	case l.rootWeight > 0 && l.rootWeight < 0.5:
		weight = l.rootWeight * 2
	}
	return rootCalls*weight + nestedCalls
}

// standingQueue returns the calls of the endpoints' queues that still stand, given the calls a second that are admitted: what
// these leave of the capacity has gone into the queue since the reports were made.
func (l *serviceLoad) standingQueue(admitted float64) float64 {
	if l.queue <= 0 {
		return 0
	}
	age := l.queueAge / l.queue
	return max(0, l.queue-age*max(0, l.capacity-admitted))
}

// planLoads computes the measured excess and the arrival rate of each service.
func (c *Conductor) planLoads(now clock.Time) map[identifier.Service]*serviceLoad {
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
		l.add(report)
	}
	for service, l := range loads {
		if l.root.known() && l.nested.known() {
			ratio, ok := c.runTimeRatios[service]
			if !ok {
				ratio = &runTimeRatio{updatedAt: now}
				c.runTimeRatios[service] = ratio
			}
			ratio.follow(l.root.mean()/l.nested.mean(), now)
			l.rootWeight = ratio.ratio
		}
		excess := throttler.Mean(l.excesses, l.loads)
		c.plan.excess[service] = excess
		for _, nodeLoad := range l.loads {
			c.plan.arrivalRates[service] += nodeLoad * (1 - excess)
		}
		if s, ok := c.callGraph.services[service]; ok {
			c.plan.leafServices[service] = s.leaf()
		}
	}
	return loads
}
