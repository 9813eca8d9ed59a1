// Only the node in front of a backend server sees the retries of the whole fleet. It measures their fraction of its
// calls and reports it in every answer, so that nodes that retry rarely also learn of the retries of others.
//
// Example: 20 retries among 100 calls give a hint of about 51 of 255.

package retrier

import (
	"math"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

// meterHalfLife is the time in which the counts lose half of their weight.
const meterHalfLife = clock.Second

// Meter measures the fraction of retries among the calls that reach one service at one node.
type Meter struct {
	calls, retries float64
	decayedAt      clock.Time
}

// CountCall counts a call, and whether it is a retry.
func (m *Meter) CountCall(retry bool, now clock.Time) {
	m.decay(now)
	m.calls++
	if retry {
		m.retries++
	}
}

// Hint returns the fraction of retries as answers carry it, or the highest hint if the service is overloaded.
func (m *Meter) Hint(overloaded bool, now clock.Time) uint8 {
	if overloaded {
		return math.MaxUint8
	}
	m.decay(now)
	// One retry among few calls is no sign of overload, so at least minMeteredCalls calls are assumed.
	return uint8(hintScale * m.retries / max(m.calls, minMeteredCalls))
}

const minMeteredCalls = 20

func (m *Meter) decay(now clock.Time) {
	passed := now.Sub(m.decayedAt) / meterHalfLife
	if passed <= 0 {
		return
	}
	factor := math.Ldexp(1, -int(min(passed, math.MaxInt16)))
	m.calls *= factor
	m.retries *= factor
	m.decayedAt = m.decayedAt.Add(passed * meterHalfLife)
}
