package router

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/gauger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Endpoints of speeds from 0.5 to 1.6 turn slow for 600 ms at a time, a sixth of them at any moment. Compared by
// utilization, a slow endpoint attracts calls until its queue has formed. The target of docs/design/hard-load.md that is not
// reached is not asserted: 1.5 times the late calls of an ideal placement. They are logged, and the gap is 2.7 times
// (docs/design/endpoint-pace.md).
func TestUnevenEndpoints(t *testing.T) {
	for name, c := range map[string]struct{ run, objective float64 }{
		"objective of 3 run times":   {run: 100, objective: 300},
		"objective of 3.6 run times": {run: 140, objective: 500},
	} {
		t.Run(name, func(t *testing.T) {
			load := unevenLoad{nodes: 24, run: c.run, objective: c.objective, milliseconds: 20_000, use: unevenUse}
			var late, lateBefore, answered, answeredBefore int
			for seed := range uint64(3) {
				before := load.prepare(seed).simulate(nil)
				load := load
				load.tellsPace = true
				got := load.prepare(seed).simulate(nil)
				load.fullKnowledge = true
				ideal := load.prepare(seed).simulate(nil)
				load.ownDomain = true
				idealInDomain := load.prepare(seed).simulate(nil)
				t.Logf("without paces: %v\nby completion: %v\nfull knowledge: %v\nfull knowledge, own domain first: %v", before, got, ideal, idealInDomain)
				late, lateBefore = late+got.late, lateBefore+before.late
				answered, answeredBefore = answered+got.answered, answeredBefore+before.answered
				assert.Assert(t, got.crossed <= before.crossed, "%d calls left their domain, %d without paces", got.crossed, before.crossed)
			}
			assert.Assert(t, 3*late <= lateBefore, "%d calls late, %d without paces", late, lateBefore)
			assert.Assert(t, answered >= answeredBefore, "%d calls answered, %d without paces", answered, answeredBefore)
		})
	}
}

// One endpoint's reports are false or missing. If that kept calls away from it, the others would carry its load; if it
// attracted calls, they would be late. False paces cancel out, since the run times are divided by them.
func TestFalsePaceDoesNotStarveOrFloodEndpoint(t *testing.T) {
	const odd = identifier.Endpoint("6")
	for name, tell := range map[string]func(pace, now float64) gauger.Pace{
		"absent":        func(float64, float64) gauger.Pace { return 0 },
		"too high":      func(pace, _ float64) gauger.Pace { return gauger.Pace(400 * pace) },
		"too low":       func(pace, _ float64) gauger.Pace { return gauger.Pace(30 * pace) },
		"absurdly high": func(float64, float64) gauger.Pace { return 999_999 },
		"absurdly low":  func(float64, float64) gauger.Pace { return 1 },
		"stands still":  func(float64, float64) gauger.Pace { return 250 },
		"turns absent": func(pace, now float64) gauger.Pace {
			if now > 3000 {
				return 0
			}
			return gauger.Pace(100 * pace)
		},
	} {
		t.Run(name, func(t *testing.T) {
			load := unevenLoad{nodes: 24, run: 100, objective: 300, milliseconds: 12_000, use: unevenUse, tellsPace: true}
			truthful, lying := load.prepare(5), load.prepare(5)
			lying.byID[odd].tell = tell
			truthful.simulate(nil)
			lying.simulate(nil)
			share := float64(lying.byID[odd].ran) / float64(truthful.byID[odd].ran)
			t.Logf("%.2f of the calls with true reports; %v, with true reports %v", share, lying, truthful)
			assert.Assert(t, share > 0.5 && share < 1.5, "%.2f", share)
			assert.Assert(t, float64(lying.late) < 1.25*float64(truthful.late), "%d late, %d with true reports", lying.late, truthful.late)
		})
	}
}

// All endpoints turn slow at once, as by a shared cause. A call that left its failure domain for that would find the
// same elsewhere.
func TestNothingLeavesDomainWhenAllAreSlow(t *testing.T) {
	load := unevenLoad{nodes: 24, run: 30, objective: 300, milliseconds: 8_000, use: 0.3, tellsPace: true}
	load.allSlow = func(now float64) bool { return now > 3_000 && now < 6_000 }
	p := load.prepare(2).simulate(nil)
	t.Log(p)
	assert.Equal(t, p.crossed, 0)
	assert.Equal(t, p.late, 0)
}

// A restarted node knows no pace and no run time; it must not send everything to whatever it hears of first.
func TestRestartedNodesLearnPacesAgain(t *testing.T) {
	load := unevenLoad{nodes: 24, run: 100, objective: 300, milliseconds: 12_000, use: unevenUse, tellsPace: true}
	undisturbed := load.prepare(4).simulate(nil)
	withRestarts := func(load unevenLoad) *unevenLoad {
		p := load.prepare(4)
		node := 0
		return p.simulate(func(now float64) {
			p.restart(node%p.nodes, uint64(now), clock.Time(now))
			node++
		})
	}
	p := withRestarts(load)
	load.tellsPace = false
	before := withRestarts(load)
	t.Logf("a restart each 500 ms: %v; without paces: %v; no restart: %v", p, before, undisturbed)
	assert.Assert(t, 3*p.late <= before.late, "%d late, %d without paces", p.late, before.late)
	assert.Assert(t, p.late <= 2*undisturbed.late, "%d late, %d without restarts", p.late, undisturbed.late)
}

// 68 routers hear the same answers and pick before they hear again. If all took the endpoint that looks best, it would
// get all calls; an endpoint that is drawn first, second or again gets its part of the draws at most.
func TestRoutersThatHearTheSameDoNotHerd(t *testing.T) {
	const nodes, endpoints, picksPerNode = 68, 12, 2
	for name, within := range map[string]clock.Duration{"time to spare": 1500, "due soon": 150} {
		t.Run(name, func(t *testing.T) {
			counts := map[identifier.Endpoint]int{}
			for node := range nodes {
				r := newRouter(endpoints, 0)
				r.options.Rand = seededRand(uint64(node))
				for id, m := range r.members {
					r.SetRunTimes(id, RunTimes{Root: 100})
					m.inFlight++
					pace := gauger.Pace(200)
					if id == "0" {
						pace = 60
					}
					r.Done(id, Result{Headroom: 128, Latency: 100, Pace: pace}, 0)
				}
				for range picksPerNode {
					choice, _ := r.PickWithin(ice, 0, nil, Need{Within: within})
					counts[choice.ID]++
				}
			}
			mean := float64(nodes*picksPerNode) / endpoints
			t.Logf("%.1f times the mean went to the best endpoint", float64(counts["0"])/mean)
			assert.Assert(t, float64(counts["0"]) <= maxDraws*1.25*mean, "%v", counts)
			assert.Assert(t, within <= 150 || float64(counts["0"]) <= 2*1.5*mean, "%v", counts)
		})
	}
}
