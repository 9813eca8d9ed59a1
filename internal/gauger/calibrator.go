// An endpoint may report a pace that is always too low. The run times that its node reports are divided by the pace, and the
// nodes that multiply them by it let it fade to 100 between two answers: the endpoint would seem slow whenever it has not
// been heard of, and so would not be heard of again. The node beside the endpoint therefore takes the long-term mean of the
// paces for the usual one if it is below 100. A pace that is always too high needs no correction, since the endpoint then
// seems fast and is heard of.
//
// Example: an endpoint reports 30 usually and 75 when its VM is slow; the mean is 37, and its paces count as 81 and 203.

package gauger

import (
	"math"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

const (
	// calibrationStart is for how long paces are observed before their mean is used, since one pace says little about it.
	calibrationStart = 200 * clock.Millisecond
	// leastCredibleMean is the mean below which it is used from the first pace on. An endpoint whose first run counted at
	// a pace of 25 would get no second one.
	leastCredibleMean = 50
	// calibrationTime is the time constant of the mean. An endpoint that begins to report 1 gets few calls until the mean
	// has followed: 0.89 of them over a run of TestFalsePaceDoesNotStarveEndpointInLargeFleet, with 2 s 0.80.
	calibrationTime = clock.Second
)

// Calibrator holds the last pace that an endpoint reported and the mean over time.
type Calibrator struct {
	last     Tracker
	mean     float64
	observed clock.Duration
}

// Learn records a reported pace; an answer without a pace changes nothing.
func (c *Calibrator) Learn(p Pace, now clock.Time) {
	if p <= 0 {
		return
	}
	sample := float64(p.used())
	if c.mean == 0 {
		c.mean = sample
	} else if _, age := c.last.Pace(now); age > 0 {
		// The mean is one over time: a slow endpoint gives fewer answers.
		lasted := min(age, MaxPaceAge)
		c.observed = min(calibrationTime, c.observed+lasted)
		c.mean += (sample - c.mean) * float64(lasted) / float64(c.observed)
	}
	c.last.Learn(p, now)
}

// Reported returns the last pace as it was reported and its age; the pace is 0 if none was reported.
func (c *Calibrator) Reported(now clock.Time) (Pace, clock.Duration) {
	return c.last.Pace(now)
}

// Usual returns the reported pace that counts as the usual one, divided by UsualPace.
func (c *Calibrator) Usual() float64 {
	if c.mean == 0 || c.mean >= leastCredibleMean && c.observed < calibrationStart {
		return 1
	}
	return min(1, c.mean/float64(UsualPace))
}

// Calibrate returns a reported pace in per cent of the one that counts as usual. The pace is bounded first, so that the mean
// of an endpoint that begins to report 1 has not far to fall.
func (c *Calibrator) Calibrate(p Pace) Pace {
	if p <= 0 {
		return 0
	}
	return Pace(math.Round(float64(p.used()) / c.Usual()))
}

// Recent returns the last pace, calibrated, if it is not older than the given age, and 0 otherwise.
func (c *Calibrator) Recent(now clock.Time, maxAge clock.Duration) Pace {
	return c.Calibrate(c.last.Recent(now, maxAge))
}

// Factor returns the factor of the last pace, calibrated, which tends to 1 with its age.
func (c *Calibrator) Factor(now clock.Time) float64 {
	calibrated := Tracker{pace: c.Calibrate(c.last.pace), at: c.last.at}
	return calibrated.Factor(now)
}
