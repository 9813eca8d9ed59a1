// The figures that an endpoint reports about itself are late or false, so the router scores it by what this node has
// measured: its calls in flight there, and the headroom in its answers, which loses weight as it ages.
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
	// warmingSince is when the endpoint began to warm up, if warming is true.
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
	// runTimes are reported by the node beside the endpoint.
	runTimes RunTimes

	failures     int
	ejections    int
	ejectedUntil clock.Time
	probing      bool
}

// score is lower for the better choice. It is the measured utilization, plus this node's calls that it does not
// include, plus penalties for refusals and for an endpoint that is much slower than its service. When all endpoints are
// full, only the last distinguishes a slow VM, on which calls would time out, from the others.
func (m *member) score(now clock.Time, o Options) float64 {
	slots := m.usableSlots() * m.warmth(now, o)
	own := m.unmeasuredInFlight(now, o) / slots
	slow := max(0, m.slowness(now, o)-toleratedSlowness)
	return own + m.utilization(now, o) + slownessPenalty*slow + refusalPenalty*m.currentRefusalRate(now, o)
}

// usableSlots returns how many calls run at the endpoint at once if it gets as many as it takes.
func (m *member) usableSlots() float64 {
	slots := float64(max(m.endpoint.Slots, 1))
	if runTime := m.runTimes.forKind(false); m.endpoint.RateLimit > 0 && runTime > 0 {
		slots = min(slots, max(1, m.endpoint.RateLimit*float64(runTime)/float64(clock.Second)))
	}
	return slots
}

// headroomAge returns how long a measured headroom of the endpoint is used.
func (m *member) headroomAge(o Options) clock.Duration {
	return max(o.HeadroomAge, m.endpoint.HeadroomAge)
}

// staleness returns the age of the last measurement as a fraction of the time for which it is used: 0 is fresh, 1 too
// old.
func (m *member) staleness(now clock.Time, validFor clock.Duration) float64 {
	return min(1, max(0, float64(now.Sub(m.measuredAt))/float64(validFor)))
}

// unmeasuredInFlight returns how many of this node's calls were sent since the last measurement, so that the measured
// utilization does not include them. If all calls in flight were added, a node that sends most of an endpoint's calls
// would consider it full at half of its slots.
func (m *member) unmeasuredInFlight(now clock.Time, o Options) float64 {
	if !m.hasMeasurement {
		return float64(m.inFlight)
	}
	alreadyMeasured := float64(m.inFlightWhenMeasured) * (1 - m.staleness(now, m.headroomAge(o)))
	return max(0, float64(m.inFlight)-alreadyMeasured)
}

const (
	// tailFactor is the ratio of a slow but ordinary run time to the mean: one run in ten is slower.
	tailFactor = 2
	// maxLateness is the largest cost for run times that exceed the time in which the answer is due. It is more than
	// the cost of a full endpoint that refuses all calls, since a refused call may still be tried elsewhere.
	maxLateness = 3
)

// defaultWithin is the assumed time in which the answer is due if the call has none: some round trips and a run.
const defaultWithin = 300 * clock.Millisecond

// queuePenalty is the wait in the endpoint's queue as a fraction of the time in which the answer is due; it loses
// weight with age as the headroom does. Headroom 0 does not show the length of the queue: of two full endpoints, one of
// which is slow, each would get half of the calls, and the slow one would refuse most of them while the queue of the
// other is empty.
func (m *member) queuePenalty(within clock.Duration, now clock.Time, o Options) float64 {
	if within <= 0 {
		within = defaultWithin
	}
	return float64(m.queueWait) / float64(within) * (1 - m.staleness(now, m.headroomAge(o)))
}

// lateness is the fraction by which the endpoint's slow runs exceed the time in which an answer is due. Calls with time
// to spare stay in their failure domain.
func (m *member) lateness(n Need) float64 {
	runTime := m.runTimes.forKind(n.Nested)
	if n.Within <= 0 || runTime <= 0 {
		return 0
	}
	return min(maxLateness, max(0, float64(tailFactor*runTime)/float64(n.Within)-1))
}

const (
	// latencyWeight is the smoothing weight of one call in an endpoint's latency, serviceLatencyWeight in its
	// service's.
	latencyWeight        = 1.0 / 16
	serviceLatencyWeight = 1.0 / 64
	// utilizationWeight is the smoothing weight of one answer in its service's mean utilization.
	utilizationWeight = 1.0 / 32
	// toleratedSlowness is the ratio of latencies that chance and queues cause between equal endpoints; slownessPenalty
	// weighs the excess over it.
	toleratedSlowness = 1.5
	slownessPenalty   = 0.5
	// maxSlowness bounds the ratio, so that a slow endpoint still gets the calls that it can run.
	maxSlowness = 4
	// latencyAgeFactor times HeadroomAge is how long a latency is used; with this limit, an endpoint that has recovered
	// gets calls again.
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

// slowness is the endpoint's latency divided by the mean of its service, approaching 1 with age.
func (m *member) slowness(now clock.Time, o Options) float64 {
	if m.latency == 0 || m.service.latency == 0 {
		return 1
	}
	ratio := min(maxSlowness, max(1.0/maxSlowness, m.latency/m.service.latency))
	return ratio + m.staleness(now, latencyAgeFactor*o.HeadroomAge)*(1-ratio)
}

// refusalPenalty weighs the fraction of its calls that an endpoint refuses. Refusals are quick and make an endpoint
// look idle: of two equally loaded endpoints, the stricter one would draw more calls and refuse them, and the other
// would relax its threshold.
const refusalPenalty = 1

// refusalWeight is the smoothing weight of one answer in the refusal rate.
const refusalWeight = 1.0 / 16

// recordRefusal updates the fraction of its calls that the endpoint refuses.
func (m *member) recordRefusal(refused bool) {
	sample := 0.0
	if refused {
		sample = 1
	}
	m.refusalRate += refusalWeight * (sample - m.refusalRate)
}

// currentRefusalRate is the refusal rate, approaching 0 with age.
func (m *member) currentRefusalRate(now clock.Time, o Options) float64 {
	return m.refusalRate * (1 - m.staleness(now, m.headroomAge(o)))
}

// utilization is the measured utilization of the endpoint's limit, approaching the mean of its service with age. An
// endpoint without a measurement counts as idle: with a fixed figure instead, an endpoint that joins a lightly loaded
// service would never be the better choice and never get a call.
func (m *member) utilization(now clock.Time, o Options) float64 {
	if !m.hasMeasurement {
		return 0
	}
	measured := m.measuredUtilization()
	return measured + m.staleness(now, m.headroomAge(o))*(m.service.meanUtilization-measured)
}

func (m *member) measuredUtilization() float64 {
	return 1 - float64(m.headroom)/math.MaxUint8
}

const minWarmth = 0.1

// warmth is the fraction of its slots that a cold or readmitted endpoint may use.
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

// atConnectionLimit returns whether this node has as many calls at the endpoint as it may open connections.
func (m *member) atConnectionLimit() bool {
	return m.endpoint.ConnectionLimit > 0 && m.inFlight >= m.endpoint.ConnectionLimit
}
