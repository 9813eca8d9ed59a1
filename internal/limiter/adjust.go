// The limit follows the measured latencies and, while the backend server starts cold, a ramp: its first calls are slow,
// and calls in all its slots at once would time out together.
//
// Example: 80 slots, cold start of 10 s: the limit is 10 at first, 45 after 5 s and 80 after 10 s.

package limiter

import "github.com/jackdawtide/jackdawtide/internal/clock"

// measure records the latency of an ended call. A failed call is ignored, since it may have ended early; a cancelled
// call counts only if it had already run longer than the mean.
func (l *Limiter) measure(d clock.Duration, o Outcome, now clock.Time) {
	latency := float64(d)
	if o == Failed || o == Cancelled && latency <= l.serviceTime.mean {
		return
	}
	l.serviceTime.add(latency)
	if now.Sub(l.started) < l.options.ColdStart {
		return
	}
	l.law.observe(sample{
		latency:   latency,
		full:      l.inFlight >= l.limit-l.reservedSlots(now),
		underHalf: 2*l.inFlight < l.limit,
	}, now)
}

// coldStartDivisor divides the slots to give the limit at which a cold backend server starts.
const coldStartDivisor = 8

func (l *Limiter) updateLimit(now clock.Time) {
	l.law.tick(now)
	l.limit = min(l.ramp(now), max(1, int(l.law.limit())))
}

func (l *Limiter) ramp(now clock.Time) int {
	age := now.Sub(l.started)
	if age >= l.options.ColdStart {
		return l.slots
	}
	low := max(1, l.slots/coldStartDivisor)
	grown := clock.Duration(l.slots-low) * age / l.options.ColdStart
	return low + int(grown)
}
