// The announced slots are a claim of the backend server, not a measurement. The control law by which the concurrency
// limit follows measurements is exchangeable, so that laws can be compared.
//
// Example: 100 announced slots, of which the VM can really use 40: under FixedLaw 100 calls run, all slowly.

package limiter

import (
	"math"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

// Law is the control law by which the concurrency limit follows measured latency.
type Law uint8

// The laws.
const (
	// KneeLaw lowers the limit only where a trial shows that less concurrency gives as much throughput.
	KneeLaw Law = iota
	// FixedLaw keeps the limit at the announced slots.
	FixedLaw
	// GradientLaw lowers the limit as latency rises over its long-term mean.
	GradientLaw
)

// sample is one call that a backend server has answered.
type sample struct {
	latency float64
	// full is true if the limit was reached when the call ended, underHalf if less than half of the limit was in use.
	full, underHalf bool
}

// law computes the limit, which stays between 1 and the slots.
type law interface {
	observe(s sample, now clock.Time)
	tick(now clock.Time)
	requestTrial()
	setSlots(slots float64)
	limit() float64
}

func newLaw(l Law, slots float64) law {
	switch l {
	case FixedLaw:
		return &fixed{slots: slots}
	case GradientLaw:
		return &gradient{slots: slots, current: slots}
	default:
		return newKnee(slots)
	}
}

// fixed implements FixedLaw.
type fixed struct {
	slots float64
}

func (f *fixed) observe(sample, clock.Time) {}

func (f *fixed) tick(clock.Time) {}

func (f *fixed) requestTrial() {}

func (f *fixed) setSlots(slots float64) {
	f.slots = slots
}

func (f *fixed) limit() float64 {
	return f.slots
}

const (
	gradientRecentWeight   = 1.0 / 64
	gradientLongTermWeight = 1.0 / 4096
	gradientTolerance      = 1.5
	gradientMinRatio       = 0.5
	gradientLimitWeight    = 1.0 / 128
)

// gradient implements GradientLaw: the limit is multiplied by the ratio of long-term to recent latency, and its square
// root is added to probe for more.
type gradient struct {
	slots, current                          float64
	recentLatency, longTermLatency, samples float64
}

func (g *gradient) observe(s sample, _ clock.Time) {
	g.samples++
	g.recentLatency += max(gradientRecentWeight, 1/g.samples) * (s.latency - g.recentLatency)
	g.longTermLatency += max(gradientLongTermWeight, 1/g.samples) * (s.latency - g.longTermLatency)
	ratio := 1.0
	if g.recentLatency > 0 {
		ratio = min(1, max(gradientMinRatio, gradientTolerance*g.longTermLatency/g.recentLatency))
	}
	target := g.current*ratio + math.Sqrt(g.current)
	g.current += gradientLimitWeight * (target - g.current)
	g.current = min(g.slots, max(1, g.current))
}

func (g *gradient) tick(clock.Time) {}

func (g *gradient) requestTrial() {}

func (g *gradient) setSlots(slots float64) {
	g.slots = slots
	g.current = min(g.current, slots)
}

func (g *gradient) limit() float64 {
	return g.current
}
