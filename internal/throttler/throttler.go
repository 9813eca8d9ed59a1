package throttler

// An overloaded service deep in a call chain should not shed its calls itself: the work of its callers would be wasted.
// So the node beside an endpoint only reports the excess, the fraction of its load that exceeds its capacity. The nodes
// that admit root requests then refuse that fraction of the requests that lead to the service, the least important
// first, before any work is done.
//
// A refusal takes effect after about half a second: the report has to reach the admitting nodes, and requests that were
// admitted before still make their nested calls. A control law that raises refusals step by step while the queue grows
// would oscillate between an idle and an overloaded endpoint (docs/design/platform.md). The excess is therefore
// computed directly from the rates of arrivals and answers:
//
//	excess = 1 - capacity / demand, where demand = arriving / (1 - refused fraction half a second ago)
//
// The refused fraction is that of the whole service, which the admitting nodes apply and to which the other endpoints
// contribute. With this endpoint's own excess in its place, a slow endpoint beside a faster one would overestimate its
// demand without bound.
//
// Example: 900 calls a second arrive while a tenth is refused, and 800 are answered: the demand is 1000, the excess
// 0.2.

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
)

const (
	// minWindow, maxWindow and minWindowCalls bound the window over which rates are measured. With fewer than
	// minWindowCalls calls, chance alone changes a rate by a sixth; maxWindow limits how old the data of an endpoint
	// with few calls can be.
	minWindow      = 50 * clock.Millisecond
	maxWindow      = 400 * clock.Millisecond
	minWindowCalls = 40
	// feedbackDelay is the estimated time from a report of the excess to its effect on arrivals: on average half the
	// period of each of two exchanges of 200 ms, and the duration of the call chains that were admitted before.
	feedbackDelay = 450 * clock.Millisecond
	// arrivingGain and capacityGain are the smoothing weights of one window in the rates, excessGain its weight in the
	// excess.
	arrivingGain = 0.5
	capacityGain = 0.2
	excessGain   = 0.3
	// targetUtilization is the fraction of the capacity to use; at full utilization a queue would never shrink.
	targetUtilization = 0.97
	// queueDrainSeconds is the time within which a standing queue should drain.
	queueDrainSeconds = 2.5
	// capacityGrowthPerSecond is the rate at which the capacity estimate grows while the endpoint has free slots.
	// Capacity can be measured only when the endpoint is full, so the estimate of an endpoint that was once slow would
	// otherwise stay too low.
	capacityGrowthPerSecond = 0.4
	// maxCapacityOvershoot bounds the ratio of the grown capacity estimate to the rate that a full endpoint answers.
	// Without it the estimate of an endpoint that was idle for ten seconds would grow to four hundred times its
	// capacity, and a surge would not be seen as excess for 27 windows.
	maxCapacityOvershoot = 1.5
	// MaxExcess is the largest excess. Some requests are always admitted, because the end of an overload shows only in
	// their calls.
	MaxExcess = 0.95
	// maxLimitedExcess is the largest excess of an endpoint that takes only so many calls a second, whose capacity is
	// known and whose limit is lifted without a measurement; limitedExcessGain is the smoothing weight of one window in it.
	maxLimitedExcess  = 0.999
	limitedExcessGain = 0.8
)

// Throttler measures the excess load of one endpoint; it is not safe for concurrent use.
type Throttler struct {
	// windowStart is when the current window began; arrived and answered count its calls. The saturated flag stays true
	// while calls were queued at every observation of the window.
	windowStart       clock.Time
	arrived, answered float64
	saturated         bool
	// arrivalRate, capacity and demand are smoothed rates in calls a second.
	arrivalRate, capacity float64
	demand                float64
	excess                float64
	// rateLimit is the number of calls a second that the endpoint takes, 0 if there is no such limit.
	rateLimit float64
	// spills is set if calls beyond rateLimit are run at other endpoints of the service, so that they are no excess here.
	spills  bool
	history []refusalSample
	// fullWindowStart is when the window of fullRate began, fullAnswered counts its answers. occupied and usable are the calls
	// in flight and the usable slots, summed over its observations.
	fullWindowStart  clock.Time
	fullAnswered     float64
	occupied, usable float64
	fullRate         float64
	// higherRate is the rate of the last window if that was clearly higher than fullRate, 0 otherwise.
	higherRate float64
	// limitEnded is set if a rate limit ended in the current window of fullRate, whose calls are therefore no measure of the capacity.
	limitEnded bool
}

// refusalSample is the fraction of the service's load that was refused from a given time on.
type refusalSample struct {
	at      clock.Time
	refused float64
}

// New returns a throttler without excess.
func New(now clock.Time) *Throttler {
	return &Throttler{windowStart: now, fullWindowStart: now, saturated: true}
}

// SetRateLimit fixes the capacity at the given number of calls a second, as for a cold endpoint; 0 ends the limit, and the
// capacity is measured anew. While calls beyond the limit spill over to other endpoints, there is no excess.
func (t *Throttler) SetRateLimit(perSecond float64, spills bool) {
	if perSecond == 0 && t.rateLimit > 0 {
		t.capacity, t.excess = 0, 0
		t.fullRate, t.limitEnded = 0, true
	}
	t.rateLimit, t.spills = perSecond, spills && perSecond > 0
}

// Arrived counts a call that reached the endpoint for the first time.
func (t *Throttler) Arrived() {
	t.arrived++
}

// Answered counts a call that the endpoint has completed. Started calls are not counted, since calls that their callers
// abandon free their slots before the endpoint has done the work: an endpoint whose calls all time out would seem to
// keep up with its load, and nothing would be refused although nothing is served.
func (t *Throttler) Answered() {
	t.answered++
	t.fullAnswered++
}

// Observe takes the number of queued calls and the fraction of the service's load that is refused now; it is called on
// each tick.
func (t *Throttler) Observe(waiting int, refused float64, now clock.Time) {
	t.observeFullRate(now)
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
	case t.rateLimit > 0:
		t.capacity = t.rateLimit
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
	if t.rateLimit > 0 {
		gain, maximum = limitedExcessGain, maxLimitedExcess
	}
	if t.spills {
		t.demand, target, gain = min(t.demand, t.rateLimit), 0, 1
	}
	t.excess += gain * (min(maximum, max(0, target)) - t.excess)
	if t.excess < minExcess {
		t.excess = 0
	}
	t.history = append(t.history, refusalSample{at: now, refused: min(maxLimitedExcess, refused)})
	for len(t.history) > 1 && now.Sub(t.history[1].at) >= feedbackDelay {
		t.history = t.history[1:]
	}
}

// minExcess is the smallest excess that is reported; anything below counts as 0, so that a fleet without overload
// reports none.
const minExcess = 0.005

// refusedNow returns the refused fraction whose effect shows in the arrivals now.
func (t *Throttler) refusedNow(now clock.Time) float64 {
	if len(t.history) == 0 || now.Sub(t.history[0].at) < feedbackDelay {
		return 0
	}
	return t.history[0].refused
}

// Rates returns the calls a second that arrive, and the capacity estimate in calls a second.
func (t *Throttler) Rates() (arrivalRate, capacity float64) {
	return t.arrivalRate, t.capacity
}

// Demand returns the calls a second that would arrive if nothing were refused.
func (t *Throttler) Demand() float64 {
	return t.demand
}

// Excess returns the fraction of the endpoint's load that exceeds its capacity.
func (t *Throttler) Excess() float64 {
	return t.excess
}

// Mean returns the excess of a service: the mean of its endpoints' excesses weighted by their demand, 0 without any
// demand. Weighted by slots, a slow endpoint to which the routers therefore send little would halve the excess of the
// endpoint that carries the whole load.
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
