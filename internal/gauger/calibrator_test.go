package gauger

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

// A pace that is false by a constant factor must count as the true one does: the receivers let it fade to 100, which would
// not fit the reported run times otherwise.
func TestFalsePaceIsCalibrated(t *testing.T) {
	truth := func(now clock.Time) Pace {
		if now%3600 < 600 {
			return 250
		}
		return 100
	}
	for name, c := range map[string]struct {
		report                      func(now clock.Time) Pace
		leastSlow, mostSlow         Pace
		leastOrdinary, mostOrdinary Pace
	}{
		"true":      {report: truth, leastSlow: 250, mostSlow: 250, leastOrdinary: 100, mostOrdinary: 100},
		"times 0.3": {report: func(n clock.Time) Pace { return 3 * truth(n) / 10 }, leastSlow: 140, mostSlow: 250, leastOrdinary: 55, mostOrdinary: 100},
		"times 4":   {report: func(n clock.Time) Pace { return 4 * truth(n) }, leastSlow: 1000, mostSlow: 1000, leastOrdinary: 400, mostOrdinary: 400},
		"always 1":  {report: func(clock.Time) Pace { return 1 }, leastSlow: 100, mostSlow: 100, leastOrdinary: 100, mostOrdinary: 100},
		// The outlier counts as 1,000 for 20 ms, which adds 20 to a mean of 35.
		"times 0.3, one outlier": {report: func(n clock.Time) Pace {
			if n == 10_000 {
				return 999_999
			}
			return 3 * truth(n) / 10
		}, leastSlow: 130, mostSlow: 250, leastOrdinary: 50, mostOrdinary: 100},
	} {
		t.Run(name, func(t *testing.T) {
			var k Calibrator
			for now := clock.Time(0); now < 20_000; now += 20 {
				k.Learn(c.report(now), now)
				got := k.Recent(now, 0)
				if now < 2*3600 || now == 10_000 {
					continue
				}
				least, most := c.leastOrdinary, c.mostOrdinary
				if truth(now) == 250 {
					least, most = c.leastSlow, c.mostSlow
				}
				assert.Assert(t, got >= least && got <= most, "%d at %d, mean %.1f", got, now, k.mean)
			}
			reported, age := k.Reported(20_000)
			assert.Assert(t, reported == c.report(19_980) && age == 20)
			assert.Equal(t, k.Factor(30_000), 1.0)
		})
	}
}

// One pace says nothing about the mean: an endpoint that is heard of first while it is slow must count as slow.
func TestFirstPacesAreNotCalibrated(t *testing.T) {
	var k Calibrator
	k.Learn(0, 500)
	assert.Equal(t, k, Calibrator{})
	k.Learn(250, 1000)
	k.Learn(250, 1500)
	assert.Equal(t, k.Recent(1500, 0), Pace(250))
	assert.Equal(t, k.Factor(1500), 2.5)

	var fast Calibrator
	fast.Learn(60, 1000)
	assert.Equal(t, fast.Recent(1000, 0), Pace(60))
}

// An endpoint whose first run counted at a pace of 1 would seem four times as slow as it is, and get no second one.
func TestIncrediblePaceIsCalibratedAtOnce(t *testing.T) {
	var k Calibrator
	k.Learn(1, 1000)
	assert.Equal(t, k.Recent(1000, 0), UsualPace)
	assert.Equal(t, k.Usual(), 0.25)
}
