package throttler

// Nodes that know what arrives in the whole fleet compare it with the rate that an endpoint answers with all its slots in
// use. The capacity of the control law above does not serve them: it grows by 0.4 a second whenever the queue is empty for a
// moment, which at a utilization of 0.97 is often, and reports take half a second, so that the fleet would admit a fifth too
// much in turn with too little. With the slots in use known, the rate can be measured without a queue.
//
// Example: 700 answers a second with 120 of 160 slots in use: 933 a second.

const (
	// fullUtilization is the utilization from which an endpoint counts as full.
	fullUtilization = 0.98
	// minMeasuredUtilization is the utilization below which the rate of a full endpoint is not extrapolated: an endpoint
	// that is nearly idle often runs faster than a full one.
	minMeasuredUtilization = 0.5
	// fullRateGain is the smoothing weight of one window; one window of 40 calls alone differs by a sixth by chance.
	fullRateGain = 0.1
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
	switch {
	case utilization < minMeasuredUtilization:
		// The endpoint may have recovered from a time in which it was slow.
		if utilization > 0 {
			t.fullRate = max(t.fullRate, min(rate/utilization, t.fullRate*(1+capacityGrowthPerSecond*seconds)))
		}
	case t.fullRate == 0:
		t.fullRate = rate / utilization
	case utilization >= fullUtilization:
		t.fullRate += fullRateGain * (rate - t.fullRate)
	default:
		t.fullRate += fullRateGain * (rate/utilization - t.fullRate)
	}
}
