// A pace changes many times a second, so it says little about the next call when it is old. Its weight falls with its
// age, and the pace in use tends to the usual one: without that, an endpoint that was slow when it was last heard of
// would get no call that shows that it has recovered.
//
// Example: a pace of 180 counts as 1.4 after 300 ms and as 1 after a second.

package gauger

import (
	"math"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

const (
	// paceHalfLife is the age at which a pace has half of its weight. VMs are slow for some 600 ms at a time, so half of
	// them are still slow then.
	paceHalfLife = 300 * clock.Millisecond
	// MaxPaceAge is the age from which a pace is not used.
	MaxPaceAge = clock.Second
	// The paces in use are bounded: a false figure of 999,999 would round the run time at the usual pace to nothing.
	minUsedPace Pace = 25
	maxUsedPace Pace = 1000
)

// Factor returns the run time at this pace divided by the usual one, within the bounds of the paces in use. It is 1 if
// the pace is not told.
func (p Pace) Factor() float64 {
	if p <= 0 {
		return 1
	}
	return float64(p.used()) / float64(UsualPace)
}

// used returns the pace within the bounds of the paces in use.
func (p Pace) used() Pace {
	return min(maxUsedPace, max(minUsedPace, p))
}

// Tracker holds the last pace that an endpoint told, and when it did.
type Tracker struct {
	pace Pace
	at   clock.Time
}

// Learn records a pace; an answer without a pace changes nothing.
func (t *Tracker) Learn(p Pace, now clock.Time) {
	if p > 0 {
		t.pace, t.at = p, now
	}
}

// Pace returns the last pace and its age; the pace is 0 if none was told.
func (t *Tracker) Pace(now clock.Time) (Pace, clock.Duration) {
	return t.pace, max(0, now.Sub(t.at))
}

// Recent returns the last pace if it is not older than the given age, and 0 otherwise.
func (t *Tracker) Recent(now clock.Time, maxAge clock.Duration) Pace {
	if p, age := t.Pace(now); age <= maxAge {
		return p
	}
	return 0
}

// Factor returns the factor of the last pace, which tends to 1 with its age.
func (t *Tracker) Factor(now clock.Time) float64 {
	p, age := t.Pace(now)
	if p == 0 || age >= MaxPaceAge {
		return 1
	}
	return 1 + (p.Factor()-1)*paceWeights[age]
}

// paceWeights holds the weight of a pace by its age in milliseconds. A pick reads up to ten factors; computing the powers
// each time took a sixth of its time.
var paceWeights = newPaceWeights()

func newPaceWeights() (weights [MaxPaceAge]float64) {
	for age := range weights {
		weights[age] = math.Exp2(-float64(age) / float64(paceHalfLife))
	}
	return weights
}
