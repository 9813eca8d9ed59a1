package conductor

// An endpoint may report its pace in each answer. This node keeps the last pace of the endpoint beside it, corrects it if
// it is always too low (gauger.Calibrator), passes it to the router for its own picks, and converts the run times that it
// reports to the usual pace: the nodes that receive them multiply them by the pace of the moment.
//
// Example: a run of 300 ms at a pace of 250 counts as 120 ms, which other nodes take for 300 ms while the pace is 250.

import (
	"math"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/gauger"
)

// MaxPassedPaceAge is how old a pace may be that this node passes on as the present one, since the field between nodes
// has no age. Endpoints that are full give an answer every few milliseconds.
const MaxPassedPaceAge = 50 * clock.Millisecond

// paceReported records the pace in an answer to a delivery. One that an earlier process of the endpoint answered is no
// longer known.
func (c *Conductor) paceReported(e PaceReported, now clock.Time) {
	if _, ok := c.deliveries[e.ID]; ok && c.limiter != nil {
		c.learnOwnPace(e.Pace, now)
	}
}

// learnOwnPace records the pace that an answer of the local endpoint reports.
func (c *Conductor) learnOwnPace(p gauger.Pace, now clock.Time) {
	if p == 0 {
		return
	}
	c.ownPace.Learn(p, now)
	c.router.SetPace(c.self.Endpoint, c.ownPace.Calibrate(p), now)
}

// RecentPace returns the local endpoint's pace, calibrated, 0 if its answers have reported none within MaxPassedPaceAge.
func (c *Conductor) RecentPace(now clock.Time) gauger.Pace {
	return c.ownPace.Recent(now, MaxPassedPaceAge)
}

// atUsualPace converts the duration of a run that has just ended at the local endpoint to a reported pace of 100. The pace
// is the one in its answer; a run without an answer is converted by the last one.
func (c *Conductor) atUsualPace(took clock.Duration, p gauger.Pace, now clock.Time) clock.Duration {
	factor := c.ownPace.Factor(now)
	if p > 0 {
		factor = c.ownPace.Calibrate(p).Factor()
	}
	factor *= c.ownPace.Usual()
	if factor == 1 {
		return took
	}
	return clock.Duration(math.Round(float64(took) / factor))
}

// reportedTime returns a run time at the pace that counts as the usual one. It is converted last, since the usual pace
// changes more slowly than reports are sent, and a run time of former runs must change with it.
func (c *Conductor) reportedTime(p runTime) clock.Duration {
	return clock.Duration(float64(p.time()) * c.ownPace.Usual())
}
