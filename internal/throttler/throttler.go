package throttler

// The service at the end of a call chain is the one that fills up, but refusing there wastes all that was done above
// it: its callers' requests fail after their work. So the node beside a full endpoint only says which part of its load
// is too much, and the nodes that take root requests in refuse that part of what leads there, the least important
// first, before any work.
//
// What is refused takes effect about half a second later, by way of reports, root requests and their nested calls. A
// law that waits for the queue and then turns up refusals step by step would swing between an idle and a drowned endpoint
// (docs/design/platform.md). This one works out the excess from what arrives and what the endpoint answers:
//
//	excess = 1 - capacity / demand, where demand = arriving / (1 - refused part half a second ago)
//
// The refused part is what the entries go by: the excess of the whole service, which other endpoints have a say in. With
// this endpoint's own in its place, a slow endpoint beside a faster one would take its demand for ever more than it is.
//
// Example: 900 calls a second arrive while a tenth is refused, and 800 are answered: the demand is 1000, the excess 0.2.

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
)

const (
	// minWindow and windowCalls bound the window over which rates are taken: with fewer calls chance alone makes
	// a difference of a sixth, and windowAtMost keeps a quiet endpoint from being judged by what is long past.
	minWindow      = 50 * clock.Millisecond
	maxWindow      = 400 * clock.Millisecond
	minWindowCalls = 40
	// feedbackDelay is taken for the time from a report of the excess to its effect here: two exchanges of 200 ms at half their
	// period on average, and a chain of calls that was let in before.
	feedbackDelay = 450 * clock.Millisecond
	// arrivingGain and capacityGain are the weights of one window in the rates, excessGain that in the excess.
	arrivingGain = 0.5
	capacityGain = 0.2
	excessGain   = 0.3
	// targetUtilization is the part of the capacity that is aimed at; with all of it a queue would never shorten.
	targetUtilization = 0.97
	// queueDrainSeconds is the time in which a standing queue is to shorten to nothing.
	queueDrainSeconds = 2.5
	// capacityGrowthPerSecond is how fast the capacity is taken to grow while the endpoint has free slots: what it can do is
	// only seen when it is full, and an endpoint that was slow once must not be held to that.
	capacityGrowthPerSecond = 0.4
	// maxCapacityOvershoot bounds by how much the capacity that was taken to grow may exceed what a full endpoint then answers. An
	// endpoint that had been idle for ten seconds was taken for four hundred times as fast as it is, and 27 windows went
	// by before any excess was seen.
	maxCapacityOvershoot = 1.5
	// MaxExcess is the largest excess: something is always let through, or nobody would notice that the load has gone.
	MaxExcess = 0.95
	// maxColdExcess is the largest excess of a cold endpoint, whose limit is known and ends by itself; coldGain is the weight of one
	// window in it.
	maxColdExcess  = 0.999
	coldExcessGain = 0.8
)

// Throttler follows the excess load of one endpoint; it is not safe for concurrent use.
type Throttler struct {
	windowStart           clock.Time
	arrived, answered     float64
	saturated             bool
	arrivalRate, capacity float64
	demand                float64
	excess                float64
	// coldRate is the calls a second that a cold endpoint bears, 0 while it is warm.
	coldRate float64
	history  []refusalSample
}

// refusalSample is the part of the service's load that was refused from a moment on.
type refusalSample struct {
	at      clock.Time
	refused float64
}

// New returns a throttler without excess.
func New(now clock.Time) *Throttler {
	return &Throttler{windowStart: now, saturated: true}
}

// SetColdRate holds the endpoint for able to run a given number of calls a second, since it is cold; 0 ends that, and what it can
// do is measured anew.
func (t *Throttler) SetColdRate(perSecond float64) {
	if perSecond == 0 && t.coldRate > 0 {
		t.capacity, t.excess = 0, 0
	}
	t.coldRate = perSecond
}

// Arrived counts a call that came for the endpoint for the first time.
func (t *Throttler) Arrived() {
	t.arrived++
}

// Answered counts a call that the endpoint has run to its end. Calls that are given up while they run free their slots
// sooner than the endpoint can work: counted by their starts, an endpoint whose every caller times out seems to run all
// that comes, and nothing is refused though nothing is served.
func (t *Throttler) Answered() {
	t.answered++
}

// Observe takes the number of waiting calls, and the part of the service's load that entries refuse by now; it is called on
// each tick.
func (t *Throttler) Observe(waiting int, refused float64, now clock.Time) {
	t.saturated = t.saturated && waiting > 0
	span := now.Sub(t.windowStart)
	if span < minWindow || span < maxWindow && t.arrived < minWindowCalls {
		return
	}
	t.updateRates(float64(span) / float64(clock.Second))
	t.updateExcess(float64(waiting), refused, now)
	t.windowStart, t.arrived, t.answered, t.saturated = now, 0, 0, true
}

func (t *Throttler) updateRates(seconds float64) {
	t.arrivalRate += arrivingGain * (t.arrived/seconds - t.arrivalRate)
	rate := t.answered / seconds
	switch {
	case t.coldRate > 0:
		t.capacity = t.coldRate
	case t.saturated && t.capacity == 0:
		t.capacity = rate
	case t.saturated:
		t.capacity = min(t.capacity, maxCapacityOvershoot*rate)
		t.capacity += capacityGain * (rate - t.capacity)
	case t.capacity > 0:
		t.capacity = max(t.capacity, rate) * (1 + capacityGrowthPerSecond*seconds)
	}
}

func (t *Throttler) updateExcess(waiting, refused float64, now clock.Time) {
	target := 0.0
	t.demand = t.arrivalRate / (1 - t.refusedNow(now))
	if t.capacity > 0 && t.demand > 0 {
		target = 1 - (targetUtilization*t.capacity-waiting/queueDrainSeconds)/t.demand
	}
	gain, maximum := excessGain, MaxExcess
	if t.coldRate > 0 {
		gain, maximum = coldExcessGain, maxColdExcess
	}
	t.excess += gain * (min(maximum, max(0, target)) - t.excess)
	if t.excess < minExcess {
		t.excess = 0
	}
	t.history = append(t.history, refusalSample{at: now, refused: min(maxColdExcess, refused)})
	for len(t.history) > 1 && now.Sub(t.history[1].at) >= feedbackDelay {
		t.history = t.history[1:]
	}
}

// minExcess is taken for none, so that a calm fleet knows that it is calm.
const minExcess = 0.005

// refusedNow returns the refused part whose effect is seen now.
func (t *Throttler) refusedNow(now clock.Time) float64 {
	if len(t.history) == 0 || now.Sub(t.history[0].at) < feedbackDelay {
		return 0
	}
	return t.history[0].refused
}

// Rates returns the calls a second that arrive, and that the endpoint can answer as far as that has been seen.
func (t *Throttler) Rates() (arrivalRate, capacity float64) {
	return t.arrivalRate, t.capacity
}

// Demand returns the calls a second that would arrive if nothing were refused.
func (t *Throttler) Demand() float64 {
	return t.demand
}

// Excess returns the part of the endpoint's load that is too much.
func (t *Throttler) Excess() float64 {
	return t.excess
}

// Mean returns the excess of a service: the mean of its endpoints' weighted by their demand, 0 without any. Weighted by
// slots, an endpoint that has become slow and is left alone for it would halve the excess of the one that has all the load.
func Mean(excesses, demands []float64) float64 {
	sum, weight := 0.0, 0.0
	for i, e := range excesses {
		sum += e * demands[i]
		weight += demands[i]
	}
	if weight == 0 {
		return 0
	}
	return sum / weight
}
