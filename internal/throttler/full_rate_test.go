package throttler

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

// Guards against a capacity that is unknown or drifts while no calls are queued: nodes compare it with the demand of the
// whole fleet, and would admit too much or too little.
func TestFullRate(t *testing.T) {
	tests := map[string]struct {
		// answered is per tick of 25 ms, inFlight of 100 slots, for the given number of ticks.
		phases []struct{ answered, inFlight, ticks int }
		want   float64
	}{
		"nearly idle":                  {[]struct{ answered, inFlight, ticks int }{{10, 40, 200}}, 0},
		"busy":                         {[]struct{ answered, inFlight, ticks int }{{30, 75, 200}}, 1600},
		"full":                         {[]struct{ answered, inFlight, ticks int }{{40, 100, 200}}, 1600},
		"slower":                       {[]struct{ answered, inFlight, ticks int }{{40, 100, 200}, {20, 100, 200}}, 800},
		"idle keeps it":                {[]struct{ answered, inFlight, ticks int }{{40, 100, 200}, {0, 0, 4000}}, 1600},
		"recovered with few calls":     {[]struct{ answered, inFlight, ticks int }{{10, 100, 200}, {10, 25, 400}}, 1600},
		"few calls on fast slots only": {[]struct{ answered, inFlight, ticks int }{{40, 100, 200}, {1, 10, 400}}, 1600},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			th := New(0)
			now := clock.Time(0)
			for _, p := range test.phases {
				for range p.ticks {
					now += 25
					for range p.answered {
						th.Arrived()
						th.Answered()
					}
					th.ObserveSlots(p.inFlight, 100)
					th.Observe(0, 0, now)
				}
			}
			assert.Assert(t, math.Abs(th.FullRate()-test.want) <= 0.02*test.want, "got %v, want %v", th.FullRate(), test.want)
		})
	}
}

// A limited endpoint answers what it names.
func TestFullRateOfLimitedEndpoint(t *testing.T) {
	th := New(0)
	th.SetRateLimit(40, false)
	th.Observe(0, 0, 500)
	assert.Equal(t, th.FullRate(), 40.0)
}

// Guards against an endpoint whose capacity stays at the limit that it named before, or at that of its cold phase: the fleet
// would admit only that much.
func TestFullRateIsUnknownAfterLimit(t *testing.T) {
	th := New(0)
	th.SetRateLimit(40, false)
	now := clock.Time(0)
	observe := func(ticks, answered, inFlight int) {
		for range ticks {
			now += 25
			for range answered {
				th.Arrived()
				th.Answered()
			}
			th.ObserveSlots(inFlight, 100)
			th.Observe(0, 0, now)
		}
	}
	observe(40, 1, 2)
	assert.Equal(t, th.FullRate(), 40.0)
	observe(1, 1, 2)
	th.SetRateLimit(0, false)
	assert.Equal(t, th.FullRate(), 0.0)
	observe(40, 40, 100)
	assert.Assert(t, math.Abs(th.FullRate()-1600) < 32, "%v", th.FullRate())
}

// Guards against a capacity that follows the end of a stall slowly: the fleet would refuse most requests for a second although
// the slots are free. In the stall, the slots are in use for 3 s and nearly nothing is answered; after it, few calls arrive.
func TestFullRateFollowsEndOfStall(t *testing.T) {
	for name, test := range map[string]struct{ answered, inFlight int }{"full": {40, 100}, "few calls": {8, 20}} {
		t.Run(name, func(t *testing.T) {
			th := New(0)
			now := clock.Time(0)
			observe := func(ticks, arrived, answered, inFlight int) {
				for range ticks {
					now += 25
					for range arrived {
						th.Arrived()
					}
					for range answered {
						th.Answered()
					}
					th.ObserveSlots(inFlight, 100)
					th.Observe(0, 0, now)
				}
			}
			observe(80, 40, 40, 100)
			observe(120, 40, 1, 100)
			assert.Assert(t, th.FullRate() < 200, "%v", th.FullRate())
			observe(20, test.answered, test.answered, test.inFlight)
			assert.Assert(t, math.Abs(th.FullRate()-1600) <= 0.05*1600, "%v", th.FullRate())
		})
	}
}

// Guards against a capacity that is too high because answers come in batches: the node gets no processor time for a while, or
// the endpoint pauses, and one window has the answers of two. The fleet would admit more than the endpoint can run.
func TestFullRateOfAnswersInBatches(t *testing.T) {
	th := New(0)
	now, sum, samples := clock.Time(0), 0.0, 0.0
	for tick := range 1600 {
		now += 25
		// Every 200 ms, the answers of 50 ms are held up to the next 50 ms.
		answered := 100
		switch tick % 8 {
		case 4, 5:
			answered = 30
		case 6, 7:
			answered = 170
		}
		for range answered {
			th.Arrived()
			th.Answered()
		}
		th.ObserveSlots(100, 100)
		th.Observe(50, 0, now)
		if tick > 400 {
			sum, samples = sum+th.FullRate(), samples+1
		}
	}
	assert.Assert(t, math.Abs(sum/samples-4000) <= 0.03*4000, "%v", sum/samples)
}
