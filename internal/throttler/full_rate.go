package throttler

// Nodes that know what arrives in the whole fleet compare it with the rate that an endpoint answers with all its slots in
// use. The capacity of the control law above does not serve them: it grows by 0.4 a second whenever the queue is empty for a
// moment, which at a utilization of 0.97 is often, and reports take half a second, so that the fleet would admit a fifth too
// much in turn with too little. With the slots in use known, the rate can be measured without a queue.
//
// Example: 700 answers a second with 120 of 160 slots in use: 933 a second.

import (
	"math"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

const (
	// fullUtilization is the utilization from which an endpoint counts as full.
	fullUtilization = 0.98
	// minMeasuredUtilization is the utilization below which the rate of a full endpoint is not extrapolated: an endpoint
	// that is nearly idle often runs faster than a full one.
	minMeasuredUtilization = 0.5
	// fullRateGain is the smoothing weight of one window; one window of 40 calls alone differs by a sixth by chance.
	fullRateGain = 0.1
	// changeNoise is the number of standard deviations of a window's number of answers from which its rate counts as clearly
	// higher or lower.
	changeNoise = 3
	// slowdownSeconds is the time constant of a clearly lower rate: the windows of a slow endpoint are up to eight times as long
	// as others, and with fullRateGain its rate had fallen by half after three seconds.
	slowdownSeconds = 0.5
	// minExtrapolatedUtilization bounds the factor by which the answers of an endpoint with few calls are extrapolated.
	minExtrapolatedUtilization = 0.05
)

// ObserveSlots takes the calls in flight and the usable slots; it is called on each tick before Observe.
func (t *Throttler) ObserveSlots(inFlight, slots int) {
	t.occupied += float64(inFlight)
	t.usable += float64(slots)
}

// FullRate returns the calls a second that the endpoint answers with all its slots in use, 0 before it was busy enough to
// measure this.
func (t *Throttler) FullRate() float64 {
	return t.fullRate
}

// observeFullRate measures over windows of its own, which end by answers: after a stall, while nearly all calls are refused
// elsewhere, 40 arrivals took a fifth of a second and 40 answers a twentieth.
func (t *Throttler) observeFullRate(now clock.Time) {
	span := now.Sub(t.fullWindowStart)
	if span < minWindow || span < maxWindow && t.fullAnswered < minWindowCalls {
		return
	}
	seconds := float64(span) / float64(clock.Second)
	t.updateFullRate(t.fullAnswered/seconds, seconds)
	t.fullWindowStart, t.fullAnswered, t.occupied, t.usable = now, 0, 0, 0
}

func (t *Throttler) updateFullRate(rate, seconds float64) {
	if t.rateLimit > 0 {
		t.fullRate = t.rateLimit
		return
	}
	if t.limitEnded {
		t.limitEnded = false
		return
	}
	utilization := 0.0
	if t.usable > 0 {
		utilization = min(1, t.occupied/t.usable)
	}
	measured := rate
	if utilization < fullUtilization {
		measured = rate / max(utilization, minExtrapolatedUtilization)
	}
	answered, expected := rate*seconds, t.fullRate*utilization*seconds
	higher := t.fullRate > 0 && answered > 0 && measured > t.fullRate*(1+changeNoise/math.Sqrt(answered))
	// One window alone also has the answers that a pause of the process or of the endpoint has held up in the window before.
	clearlyHigher := higher && t.higherRate > 0
	sustained := min(measured, t.higherRate)
	t.higherRate = 0
	if higher {
		t.higherRate = measured
	}
	clearlyLower := utilization >= minMeasuredUtilization && expected > 0 && measured < t.fullRate*(1-changeNoise/math.Sqrt(expected))
	switch {
	case clearlyHigher:
		// Smoothed with fullRateGain, most requests were refused for a second after a stall of three seconds although the slots
		// were free.
		t.fullRate = sustained
	case clearlyLower:
		t.fullRate += max(fullRateGain, 1-math.Exp(-seconds/slowdownSeconds)) * (measured - t.fullRate)
	case utilization < minMeasuredUtilization:
		// An endpoint that is nearly idle says little about a full one, unless it answers clearly more.
		if utilization > 0 {
			t.fullRate = max(t.fullRate, min(measured, t.fullRate*(1+capacityGrowthPerSecond*seconds)))
		}
	case t.fullRate == 0:
		t.fullRate = measured
	default:
		t.fullRate += fullRateGain * (measured - t.fullRate)
	}
}
