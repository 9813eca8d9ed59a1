package throttler

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

// outcome is the result of a simulation: calls served and expired as fractions of what the service could have served,
// and the last excess.
type outcome struct {
	served, expired, excess float64
}

// simulate puts a demand on an endpoint that runs 1000 calls a second and expires calls that wait longer than 200 ms;
// the excess takes effect after a lag.
func simulate(demand func(now clock.Time) float64, lag, from, until clock.Time) outcome {
	const capacity, queueTimeoutSeconds = 1000.0, 0.2
	t := New(0)
	var history []float64
	var o outcome
	queue, arriving, running, possible := 0.0, 0.0, 0.0, 0.0
	for now := clock.Time(0); now < until; now++ {
		old := 0.0
		if now >= lag {
			old = history[now-lag]
		}
		in := demand(now) * (1 - old) / 1000
		queue += in
		run := min(queue, capacity/1000)
		queue -= run
		expired := max(0, queue-capacity*queueTimeoutSeconds)
		queue -= expired
		for arriving += in; arriving >= 1; arriving-- {
			t.Arrived()
		}
		for running += run; running >= 1; running-- {
			t.Answered()
		}
		if now%25 == 0 {
			t.Observe(int(queue), t.Excess(), now)
		}
		history = append(history, t.Excess())
		if now >= from {
			o.served += run
			o.expired += expired
			possible += min(capacity, demand(now)) / 1000
		}
	}
	return outcome{served: o.served / possible, expired: o.expired / possible, excess: t.Excess()}
}

func surgeDemand(height float64) func(clock.Time) float64 {
	return func(now clock.Time) float64 {
		if now < 2000 || now > 14000 {
			return 700
		}
		return height
	}
}

// The demand on a service exceeds its capacity. Without refusals at the root its queue grows until every request in it
// times out; with refusals that overshoot, the service idles while callers are refused.
func TestSurgeGoodput(t *testing.T) {
	tests := map[string]func(clock.Time) float64{
		"1.3 times": surgeDemand(1300),
		"1.5 times": surgeDemand(1500),
		"2.5 times": surgeDemand(2500),
		"waves":     func(now clock.Time) float64 { return 1200 * (1 + 0.25*math.Sin(float64(now)*2*math.Pi/5000)) },
	}
	for name, demand := range tests {
		for _, lag := range []clock.Time{300, 600} {
			t.Run(fmt.Sprintf("%s after %d ms", name, lag), func(t *testing.T) {
				o := simulate(demand, lag, 0, 20000)
				assert.Assert(t, o.served >= 0.94, "%+v", o)
				assert.Assert(t, o.expired <= 0.08, "%+v", o)
				t.Logf("%+v", o)
			})
		}
	}
}

// The surge ends. Further refusals would waste a service that has free capacity again.
func TestExcessEndsWithSurge(t *testing.T) {
	o := simulate(surgeDemand(1800), 450, 14000, 17000)
	assert.Equal(t, o.excess, 0.0)
	assert.Assert(t, o.served >= 0.9, "%+v", o)
}

// A slow endpoint recovers. The capacity measured while it was slow must not limit it from then on.
func TestCapacityEstimateRecovers(t *testing.T) {
	th := New(0)
	now := clock.Time(0)
	second := func(arriving, run, waiting int) {
		for range 40 {
			now += 25
			for range arriving / 40 {
				th.Arrived()
			}
			for range run / 40 {
				th.Answered()
			}
			th.Observe(waiting, th.Excess(), now)
		}
	}
	for range 3 {
		second(1000, 200, 50)
	}
	assert.Assert(t, th.Excess() > 0.6, "%v", th.Excess())
	for range 5 {
		second(400, 400, 0)
	}
	assert.Assert(t, th.Excess() < 0.1, "%v", th.Excess())
}

// An endpoint that was full once is nearly idle for a long time before a surge comes. The capacity estimate that grew
// in the meantime must not hide the surge.
func TestSurgeAfterIdlePeriodIsDetected(t *testing.T) {
	o := simulate(func(now clock.Time) float64 {
		if now > 3000 && now < 30000 {
			return 50
		}
		return 2500
	}, 300, 30000, 33000)
	t.Logf("%+v", o)
	assert.Assert(t, o.excess >= 0.5, "%+v", o)
	assert.Assert(t, o.expired <= 0.3, "%+v", o)
}

func TestNoExcessBelowCapacity(t *testing.T) {
	o := simulate(func(clock.Time) float64 { return 900 }, 450, 0, 10000)
	assert.Equal(t, o.excess, 0.0)
	assert.Assert(t, o.served > 0.999)
}

// simulatePair simulates two endpoints of one service that get equal load; the first has the capacity slow, the second
// fast. The refused fraction is the mean excess of both. It returns the refused fraction at the end.
func simulatePair(demand, slow, fast float64) float64 {
	endpoints := []*Throttler{New(0), New(0)}
	capacities := []float64{slow, fast}
	queues, arriving, running := make([]float64, 2), make([]float64, 2), make([]float64, 2)
	refused := 0.0
	var history []float64
	for now := clock.Time(0); now < 20000; now++ {
		history = append(history, refused)
		old := history[max(0, int(now)-400)]
		for i, t := range endpoints {
			in := demand / 2 * (1 - old) / 1000
			run := min(queues[i]+in, capacities[i]/1000)
			queues[i] = min(queues[i]+in-run, capacities[i]*0.2)
			for arriving[i] += in; arriving[i] >= 1; arriving[i]-- {
				t.Arrived()
			}
			for running[i] += run; running[i] >= 1; running[i]-- {
				t.Answered()
			}
			if now%25 == 0 {
				t.Observe(int(queues[i]), refused, now)
			}
		}
		refused = Mean(
			[]float64{endpoints[0].Excess(), endpoints[1].Excess()},
			[]float64{endpoints[0].Demand(), endpoints[1].Demand()},
		)
	}
	return refused
}

// One of two endpoints has become slow. If it took the refused fraction of the whole service for its own, its excess
// would grow to all of its load, and callers would be refused although the other endpoint has free capacity.
func TestSlowEndpointDoesNotInflateServiceExcess(t *testing.T) {
	tests := map[string]struct{ demand, slow, fast, least, most float64 }{
		"both overloaded":       {demand: 2000, slow: 200, fast: 500, least: 0.45, most: 0.7},
		"fast one has capacity": {demand: 1200, slow: 200, fast: 700, least: 0.25, most: 0.4},
		"both have capacity":    {demand: 1000, slow: 600, fast: 900, least: 0, most: 0},
		"one nearly stopped":    {demand: 1600, slow: 20, fast: 800, least: 0.4, most: 0.55},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			got := simulatePair(c.demand, c.slow, c.fast)
			t.Logf("%.2f refused", got)
			assert.Assert(t, got >= c.least && got <= c.most, "%.2f refused", got)
		})
	}
}

func TestMean(t *testing.T) {
	assert.Equal(t, Mean(nil, nil), 0.0)
	assert.Equal(t, Mean([]float64{0.4, 0}, []float64{30, 10}), 0.3)
}
