// Only the node in front of a backend server sees the retries of the whole fleet. It measures their part of
// its calls and tells it back with every answer, so that nodes which retry little learn of those that retry
// much.
//
// Example: 20 retries among 100 calls give a hint of about 51 of 255.

package retrier

import (
	"math"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

// meterHalfLife is the time in which what was counted loses half of its weight.
const meterHalfLife = clock.Second

// Meter measures the part of retries among the calls that reach one service at one node.
type Meter struct {
	calls, retries float64
	decayedAt      clock.Time
}

// Note counts a call.
func (m *Meter) Note(retry bool, now clock.Time) {
	m.decay(now)
	m.calls++
	if retry {
		m.retries++
	}
}

// Hint returns the part of retries as answers carry it; overloaded answers the highest hint.
func (m *Meter) Hint(overloaded bool, now clock.Time) uint8 {
	if overloaded {
		return math.MaxUint8
	}
	m.decay(now)
	// One retry among few calls says nothing about overload.
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
