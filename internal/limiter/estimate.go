// Work that cannot end before its deadline is work in vain, and the backend server's own load figures lag or
// lie. So the time that a call takes is measured here, from dispatch to answer.
//
// Example: answers after 40, 60 and 50 ms give a mean near 50 ms and an optimistic() a little below it.

package limiter

import "math"

const (
	// estimateWeight is the weight of the newest sample once there are enough of them.
	estimateWeight = 1.0 / 32
)

// estimate follows the mean of service times and their mean deviation, in milliseconds.
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

// optimistic is a service time that a good part of the calls stay under.
func (e *estimate) optimistic() float64 {
	return max(0, e.mean-e.deviation)
}
