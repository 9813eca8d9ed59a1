// An endpoint's own figures lag or lie, so the router scores it by what this node has measured: its calls in
// flight there and the headroom in its answers, which fades to neutral when it grows old.
//
// Example: headroom 255 and no call in flight scores 0; headroom 0 and 10 of 100 slots in flight scores 1.1.

package router

import (
	"math"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

type member struct {
	endpoint Endpoint
	service  *service
	group    *group
	index    int
	inFlight int
	// warmingSince is when the endpoint began to warm up, if it does.
	warmingSince clock.Time
	warming      bool

	headroom   uint8
	queueWait  clock.Duration
	measuredAt clock.Time
	// inFlightWhenMeasured is how many of this node's calls were in flight when the headroom was measured.
	inFlightWhenMeasured int
	hasMeasurement       bool
	refusalRate          float64
	latency              float64
	// runTimes are as the node beside the endpoint says.
	runTimes RunTimes

	failures     int
	ejections    int
	ejectedUntil clock.Time
	probing      bool
}

// score is lower for the better choice: what is in use, as measured and by this node's own calls, and more for an
// endpoint that is much slower than its service. When all are full, that alone tells a slow VM from the others, and calls
// would time out there.
func (m *member) score(now clock.Time, o Options) float64 {
	slots := float64(max(m.endpoint.Slots, 1)) * m.warmth(now, o)
	own := m.unmeasuredInFlight(now, o) / slots
	slow := max(0, m.slowness(now, o)-toleratedSlowness)
	return own + m.utilization(now, o) + slownessPenalty*slow + refusalPenalty*m.currentRefusalRate(now, o)
}

// staleness tells how old what was measured is, as a part of the time for which it counts: 0 is fresh, 1 too old to count.
func (m *member) staleness(now clock.Time, validFor clock.Duration) float64 {
	return min(1, max(0, float64(now.Sub(m.measuredAt))/float64(validFor)))
}

// unmeasuredInFlight is how many of this node's own calls the measured use does not hold: those that were sent since. Counted with
// all that are in flight, a node that sends most of an endpoint's calls would take it for full at half of its slots.
func (m *member) unmeasuredInFlight(now clock.Time, o Options) float64 {
	if !m.hasMeasurement {
		return float64(m.inFlight)
	}
	alreadyMeasured := float64(m.inFlightWhenMeasured) * (1 - m.staleness(now, o.HeadroomAge))
	return max(0, float64(m.inFlight)-alreadyMeasured)
}

const (
	// tailFactor is how many times its mean a run takes that is slow but ordinary: one in ten is slower.
	tailFactor = 2
	// maxLateness is the cost of an endpoint whose mean run takes all the time there is. It is more than a full endpoint
	// that turns all calls away costs: a call that is turned away there may still be tried elsewhere.
	maxLateness = 3
)

// defaultWithin is the time in which a call counts as due that says nothing of it: some round trips and a run.
const defaultWithin = 300 * clock.Millisecond

// queuePenalty is the wait in the endpoint's queue, as a part of the time in which the answer is due. The headroom of a full
// endpoint says nothing of its queue: of two full ones, one of which is slow, each would get half of the calls, and the
// slow one turn most of them away while the other has nobody waiting. It fades as the headroom does.
func (m *member) queuePenalty(within clock.Duration, now clock.Time, o Options) float64 {
	if within <= 0 {
		within = defaultWithin
	}
	return float64(m.queueWait) / float64(within) * (1 - m.staleness(now, o.HeadroomAge))
}

// lateness is by how much an endpoint's slow runs go beyond the time in which an answer is due. Calls with time to
// spare stay in their failure domain.
func (m *member) lateness(n Need) float64 {
	runTime := m.runTimes.forKind(n.Nested)
	if n.Within <= 0 || runTime <= 0 {
		return 0
	}
	return min(maxLateness, max(0, float64(tailFactor*runTime)/float64(n.Within)-1))
}

const (
	// latencyWeight is the weight of one call in an endpoint's latency, newestMean in its service's.
	latencyWeight        = 1.0 / 16
	serviceLatencyWeight = 1.0 / 64
	// utilizationWeight is the weight of one answer in its service's mean used part.
	utilizationWeight = 1.0 / 32
	// toleratedSlowness is what chance and queues make of equal endpoints; slowCost weighs what exceeds it.
	toleratedSlowness = 1.5
	slownessPenalty   = 0.5
	// maxSlowness keeps a slow endpoint in use for what it can do.
	maxSlowness = 4
	// latencyAgeFactor times the age of a headroom is how long a latency counts, so that a recovery is noticed.
	latencyAgeFactor = 5
)

func (m *member) recordLatency(d clock.Duration) {
	if m.latency == 0 {
		m.latency = float64(d)
	}
	m.latency += latencyWeight * (float64(d) - m.latency)
	if m.service.latency == 0 {
		m.service.latency = float64(d)
	}
	m.service.latency += serviceLatencyWeight * (float64(d) - m.service.latency)
}

// slowness is the endpoint's latency over the mean of its service, fading to 1 with age.
func (m *member) slowness(now clock.Time, o Options) float64 {
	if m.latency == 0 || m.service.latency == 0 {
		return 1
	}
	ratio := min(maxSlowness, max(1.0/maxSlowness, m.latency/m.service.latency))
	return ratio + m.staleness(now, latencyAgeFactor*o.HeadroomAge)*(1-ratio)
}

// refusalPenalty weighs the part of its calls that an endpoint refuses. Refusals are quick and keep an endpoint looking idle:
// forKind two equally loaded ones, the stricter would draw the more calls and refuse them, and the other open up wide.
const refusalPenalty = 1

const refusalWeight = 1.0 / 16

// recordRefusal follows which part of the calls the endpoint refuses.
func (m *member) recordRefusal(refused bool) {
	part := 0.0
	if refused {
		part = 1
	}
	m.refusalRate += refusalWeight * (part - m.refusalRate)
}

// currentRefusalRate is that part, fading with age.
func (m *member) currentRefusalRate(now clock.Time, o Options) float64 {
	return m.refusalRate * (1 - m.staleness(now, o.HeadroomAge))
}

// meanUtilization is the measured used part of the endpoint's limit, fading to its service's mean with age. An endpoint that has
// not been measured counts as free: measured by a fixed figure instead, one that joins a service with little to do
// would never be the better choice, and never get a call.
func (m *member) utilization(now clock.Time, o Options) float64 {
	if !m.hasMeasurement {
		return 0
	}
	measured := m.measuredUtilization()
	return measured + m.staleness(now, o.HeadroomAge)*(m.service.meanUtilization-measured)
}

func (m *member) measuredUtilization() float64 {
	return 1 - float64(m.headroom)/math.MaxUint8
}

const minWarmth = 0.1

// warmth is the part of its slots that a cold or returned endpoint is trusted with.
func (m *member) warmth(now clock.Time, o Options) float64 {
	if !m.warming {
		return 1
	}
	age := float64(now.Sub(m.warmingSince)) / float64(o.ColdStart)
	return min(1, max(minWarmth, age))
}

func (m *member) startWarmUp(now clock.Time) {
	m.warmingSince = now
	m.warming = true
}

// atConnectionLimit tells that this node has as many calls there as connections are allowed.
func (m *member) atConnectionLimit() bool {
	return m.endpoint.ConnectionLimit > 0 && m.inFlight >= m.endpoint.ConnectionLimit
}
