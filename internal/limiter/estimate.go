// A call that cannot end before its deadline would use a slot for nothing, and the load figures that a backend server
// reports are late or false. So service times are measured here, from dispatch to answer.
//
// Example: answers after 40, 60 and 50 ms give a mean near 50 ms and an optimistic() a little below it.

package limiter

import "math"

const (
	// estimateWeight is the weight of the newest sample once there are enough samples.
	estimateWeight = 1.0 / 32
)

// estimate holds the exponentially smoothed mean and mean deviation of times in milliseconds.
type estimate struct {
	mean, deviation float64
	samples         float64
}

func (e *estimate) add(sample float64) {
	e.samples++
	weight := max(estimateWeight, 1/e.samples)
	gap := sample - e.mean
	e.mean += weight * gap
	e.deviation += weight * (math.Abs(gap) - e.deviation)
}

// optimistic returns a time that is one mean deviation below the mean: a good part of the calls take less.
func (e *estimate) optimistic() float64 {
	return max(0, e.mean-e.deviation)
}
