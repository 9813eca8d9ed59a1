package admitter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jackdawtide/jackdawtide/internal/admitter"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Under any load, a gate must admit exactly the ranks up to its threshold, refuse no urgent calls during a short peak,
// and open within 4 s after the queue is empty: a gate that stays closed turns a short overload into a long outage.
func TestGateUnderRandomLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := admitter.NewGate(admitter.GateOptions{Law: admitter.CapacityLaw})
		now, lastAboveUrgent := clock.Time(1), clock.Time(1)
		t.Repeat(map[string]func(*rapid.T){
			"load": func(t *rapid.T) {
				calls := rapid.IntRange(0, 8).Draw(t, "calls in a millisecond")
				served := rapid.IntRange(0, 5).Draw(t, "served")
				delay := clock.Duration(rapid.SampledFrom([]int{0, 5, 19, 21, 100, 2000}).Draw(t, "delay"))
				ranks := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
				last := rapid.SampledFrom([]int{1 << 13, 1 << 16}).Draw(t, "ranks")
				for range rapid.IntRange(1, 150).Draw(t, "milliseconds") {
					now++
					for range calls {
						r := identifier.Rank(ranks.IntN(last))
						assert.Equal(t, g.Admit(r, now), r <= g.Threshold())
					}
					for range served {
						g.Served(now)
					}
					g.Observe(delay, now)
					if g.Threshold() > identifier.Rank(1<<14-1) {
						lastAboveUrgent = now
					}
					assert.Assert(t, g.Threshold() >= identifier.Rank(1<<14-1) || now.Sub(lastAboveUrgent) >= 500, "urgent calls refused less than 500 ms after the threshold was above their ranks")
				}
			},
			"end": func(t *rapid.T) {
				for range 4000 {
					now++
					g.Served(now)
					g.Admit(identifier.MakeRank(identifier.Low, 0, 0), now)
					g.Observe(0, now)
				}
				lastAboveUrgent = now
				assert.Equal(t, g.Threshold(), identifier.MaxRank, "gate not open after 4 s without queueing delay")
			},
		})
	})
}

// Two peaks of urgent calls are separated by a period of low load. If the count of overloaded windows were not reset in
// between, the gate would refuse urgent calls at the start of the second peak. TestGateUnderRandomLoad reached this case
// with seed 4116188274710627431.
func TestSecondPeakDoesNotRefuseUrgentCallsAtOnce(t *testing.T) {
	g := admitter.NewGate(admitter.GateOptions{})
	for now := clock.Time(1); now < 3000; now++ {
		peak := now < 1000 || now > 2800
		delay := clock.Duration(0)
		if peak {
			delay = 100
		}
		for i := range 10 {
			if peak || i == 0 {
				g.Admit(0, now)
			}
		}
		g.Served(now)
		g.Observe(delay, now)
		if now > 2000 {
			assert.Assert(t, g.Threshold() >= identifier.Rank(1<<14-1), "urgent calls refused at %d ms, at the start of the second peak", now)
		}
	}
}

// A node that refuses all calls to a service gets no further answers from it. If learned thresholds did not expire, the
// node would go on refusing calls after the service has recovered.
func TestLearnedThresholdExpires(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := admitter.NewThresholdCache(admitter.ThresholdCacheOptions{})
		now, last := clock.Time(0), clock.Time(0)
		lowest := identifier.MaxRank
		t.Repeat(map[string]func(*rapid.T){
			"learn": func(t *rapid.T) {
				r := identifier.Rank(rapid.Uint16().Draw(t, "threshold"))
				b.LearnThreshold("ice", r, now)
				lowest, last = min(lowest, r), now
			},
			"wait": func(t *rapid.T) {
				now = now.Add(clock.Duration(rapid.IntRange(0, 800).Draw(t, "time")))
			},
			"": func(t *rapid.T) {
				at := b.Threshold("ice", now)
				assert.Assert(t, at >= lowest, "threshold lower than that of any answer")
				assert.Equal(t, b.Threshold("bookings", now), identifier.MaxRank)
				if now.Sub(last) >= 1500 {
					assert.Equal(t, at, identifier.MaxRank)
					lowest = identifier.MaxRank
				}
			},
		})
	})
}

// An overloaded "ice" service must cause refusals only on the routes that call it. Otherwise calls on other routes of
// the same service would be refused because of a service that they never use.
func TestChainClosesOnlyRoutesThatNeedTheService(t *testing.T) {
	c := admitter.NewChain(admitter.ThresholdCacheOptions{})
	needs := map[admitter.Route]int{1: 0, 2: 100, 3: 20}
	for range 5 {
		for route, percent := range needs {
			for i := range 100 {
				c.CountCall(route)
				if i < percent {
					c.LearnThreshold(route, "ice", 20_000, 1000)
				}
			}
		}
	}
	assert.Equal(t, c.Effective(50_000, 1, 1000), identifier.Rank(50_000))
	assert.Equal(t, c.Effective(50_000, 2, 1000), identifier.Rank(20_000))
	assert.Equal(t, c.Effective(10_000, 2, 1000), identifier.Rank(10_000))
	assert.Equal(t, c.Effective(50_000, 3, 1000), identifier.Rank(50_000))
	assert.Equal(t, c.Effective(50_000, 2, 3000), identifier.Rank(50_000), "learned threshold has expired")

	b := admitter.NewThresholdCache(admitter.ThresholdCacheOptions{})
	b.LearnRouteThreshold("slots", 2, 20_000, 1000)
	assert.Assert(t, !b.AdmitRoute("slots", 2, 30_000, 1000))
	assert.Assert(t, b.AdmitRoute("slots", 1, 30_000, 1000))
}

// BenchmarkEntry measures what an entry node decides and learns for each call, with all teams and services in use.
func BenchmarkEntry(b *testing.B) {
	for _, teams := range []int{8, 100, 1000} {
		b.Run(fmt.Sprint("teams=", teams), func(b *testing.B) {
			f := admitter.NewFairness(admitter.FairnessOptions{})
			board := admitter.NewThresholdCache(admitter.ThresholdCacheOptions{})
			names, services := make([]identifier.Team, teams), make([]identifier.Service, 300)
			for i := range names {
				names[i] = identifier.Team(fmt.Sprint("team", i))
				f.SetTeam(names[i], 1)
			}
			for i := range services {
				services[i] = identifier.Service(fmt.Sprint("service", i))
				board.LearnRouteThreshold(services[i], 1, 40_000, 0)
			}
			b.ReportAllocs()
			shares := admitter.NewShares(admitter.FairnessOptions{})
			for i := range b.N {
				now := clock.Time(i / 10)
				team, service := names[i%teams], services[i%len(services)]
				f.CountCall(team, now)
				rank := identifier.MakeRank(identifier.Normal, f.Overuse(team, now), uint64(i))
				board.AdmitRoute(service, 1, rank, now)
				board.LearnRouteThreshold(service, 1, 40_000, now)
				f.LearnShare(team, shares.CountCall(team, "entry", now), now)
			}
		})
	}
}

// BenchmarkGate measures the gate's work at the delivery node for each call, including the ends of windows.
func BenchmarkGate(b *testing.B) {
	g := admitter.NewGate(admitter.GateOptions{})
	b.ReportAllocs()
	for i := range b.N {
		now := clock.Time(i / 5)
		g.Admit(identifier.Rank(i*40503), now)
		g.Served(now)
		g.Observe(clock.Duration(i/1000%50), now)
	}
}
