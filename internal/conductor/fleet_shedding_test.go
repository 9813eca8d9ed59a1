package conductor

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

const (
	// Demand has a wave of waveHeight over wavePeriod, and is surge times as high from surgeFrom to surgeUntil. Before
	// loadBegins it is below the capacity. Times are in milliseconds.
	waveHeight = 0.15
	wavePeriod = 11000
	surge      = 1.4
	loadBegins = 3000
	surgeFrom  = 14000
	surgeUntil = 18000
	loadEnds   = 26000
	// followTime is the time within which refusals follow a surge and its end; followSpan is how long they are then watched.
	followTime = 600
	followSpan = 1000
	// minServed is the least part of the ideal that is served; refusals that differ from the wanted ones by followTolerance
	// cost as much. maxInverted is the part of the demand that reports of half a second ago may misplace.
	minServed       = 0.95
	followTolerance = 1 - minServed
	maxInverted     = 0.02
)

func wavyDemand(factor float64) func(clock.Time) float64 {
	return func(now clock.Time) float64 {
		if now < loadBegins {
			return 0.7
		}
		d := factor * (1 + waveHeight*math.Sin(2*math.Pi*float64(now)/wavePeriod))
		if now >= surgeFrom && now < surgeUntil {
			d *= surge
		}
		return d
	}
}

// Guards against nodes that set different thresholds or follow the demand late: refusing urgent requests while less urgent
// ones are admitted, work for chains that then fail, and teams that lose what others gain. The policy before (own arrivals,
// measured excess) runs on the same demand.
func TestFleetServesAsMuchAsAnIdealScheduler(t *testing.T) {
	for name, factor := range map[string]float64{"1.3 times the capacity": 1.3, "1.8 times the capacity": 1.8} {
		t.Run(name, func(t *testing.T) {
			var results [2]loadResult
			var worst [2]float64
			for i, older := range []int{0, loadNodes} {
				f := newLoadFleet(1, wavyDemand(factor))
				f.older = older
				f.run(loadEnds)
				results[i], worst[i] = f.result(loadBegins+2000, loadEnds-1000), f.worstTeam(loadBegins+2000, loadEnds-1000)
				onset, up, down := f.result(loadBegins+followTime, loadBegins+followTime+followSpan),
					f.result(surgeFrom+followTime, surgeFrom+followTime+followSpan),
					f.result(surgeUntil+followTime, surgeUntil+followTime+followSpan)
				t.Logf("older nodes %d: worst team %.3f, %+v", older, worst[i], results[i])
				t.Logf("refused and wanted: onset %.3f %.3f, surge %.3f %.3f, its end %.3f %.3f",
					onset.refused, onset.wanted, up.refused, up.wanted, down.refused, down.wanted)
				if older == 0 {
					assert.Assert(t, math.Abs(up.refused-up.wanted) <= followTolerance, "surge: %+v", up)
					assert.Assert(t, math.Abs(down.refused-down.wanted) <= followTolerance, "end of the surge: %+v", down)
				}
			}
			assert.Assert(t, results[0].served >= minServed, "%+v", results[0])
			assert.Assert(t, worst[0] >= 0.9, "%v", worst[0])
			// That nothing is refused while slots are free and nothing is queued is checked by TestFleetRefusesNothingWithFreeSlots.
			assert.Assert(t, results[0].inverted <= maxInverted, "%+v", results[0])
			assert.Assert(t, results[0].failed <= results[1].failed/2, "%+v", results)
		})
	}
}

// Guards against refusals without need at 0.8 of the capacity, also in the time after an overload in which nodes still
// compute the demand from arrivals.
func TestNothingIsRefusedBelowCapacity(t *testing.T) {
	tests := map[string]struct {
		demand func(clock.Time) float64
		from   clock.Time
	}{
		"steady": {func(clock.Time) float64 { return 0.8 }, 0},
		"with a wave": {func(now clock.Time) float64 {
			return 0.8 * (1 + waveHeight*math.Sin(2*math.Pi*float64(now)/wavePeriod))
		}, 0},
		"after an overload": {func(now clock.Time) float64 {
			if now < 6000 {
				return 1.4
			}
			return 0.8
		}, 6000 + followTime},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newLoadFleet(2, test.demand)
			f.run(20000)
			r := f.result(test.from, 19000)
			t.Logf("%+v", r)
			assert.Equal(t, r.refused, 0.0)
			assert.Assert(t, r.served >= 0.999, "%+v", r)
		})
	}
}

// Guards against failures that make the nodes disagree for longer than the failure lasts.
func TestFleetShedsThroughFailures(t *testing.T) {
	const begins, ends = 8000, 16000
	tests := map[string]struct {
		older      int
		begin, end func(f *loadFleet)
		// inverted replaces maxInverted meanwhile where that is not reached, so that it gets no worse; the requirement is checked
		// by TestFleetShedsInOrderWhileOlderDomainIsCutOff.
		inverted float64
	}{
		"none": {},
		"a node is killed and restarted": {
			begin: func(f *loadFleet) { f.nodes[1].killed = true },
			end:   func(f *loadFleet) { f.start(1) },
		},
		"a domain is cut off and reconnected": {
			begin: func(f *loadFleet) { f.cut = 1 },
			end:   func(f *loadFleet) { f.cut = -1 },
		},
		"reports are doubled and overtake each other": {
			begin: func(f *loadFleet) { f.duplicate = true },
			end:   func(f *loadFleet) { f.duplicate = false },
		},
		"all nodes restart": {
			begin: func(f *loadFleet) {
				for i := range f.nodes {
					f.start(i)
				}
			},
		},
		"half of the nodes are older":       {older: loadNodes / 2},
		"all nodes of one domain are older": {older: loadNodes / 3},
		"a domain of older nodes is cut off": {
			older:    loadNodes / 3,
			begin:    func(f *loadFleet) { f.cut = 0 },
			end:      func(f *loadFleet) { f.cut = -1 },
			inverted: 0.06,
		},
		"an older node restarts": {older: 1, begin: func(f *loadFleet) { f.start(0) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newLoadFleet(3, func(clock.Time) float64 { return 1.3 })
			f.older = test.older
			f.runThrough(failure{from: begins, until: ends, begin: test.begin, end: test.end}, ends+8000)
			during, after := f.result(begins, ends), f.result(ends+2000, ends+7000)
			t.Logf("during: %+v", during)
			t.Logf("after: %+v", after)
			assert.Assert(t, during.served >= minServed, "%+v", during)
			assert.Assert(t, during.inverted <= max(maxInverted, test.inverted), "%+v", during)
			assert.Assert(t, after.served >= minServed, "%+v", after)
			assert.Assert(t, after.inverted <= maxInverted, "%+v", after)
		})
	}
}

// Guards against a capacity that stays low after all endpoints answered little for some seconds: requests would be refused
// although the slots are free.
func TestFleetRecoversFromStall(t *testing.T) {
	const begins, ends = 8000, 11000
	for name, demand := range map[string]float64{"below the capacity": 0.8, "1.3 times the capacity": 1.3} {
		t.Run(name, func(t *testing.T) {
			var results [2]loadResult
			for i, older := range []int{0, loadNodes} {
				f := newLoadFleet(3, func(clock.Time) float64 { return demand })
				f.older, f.stalledFrom, f.stalledUntil = older, begins, ends
				f.run(ends + 8000)
				for s := clock.Time(0); s < 4000; s += 500 {
					r := f.result(ends+s, ends+s+500)
					t.Logf("older %d, %d ms after: served %.3f refused %.3f (%.3f) needless %.3f", older, s, r.served, r.refused, r.wanted, r.needless)
				}
				results[i] = f.result(ends+followTime, ends+followTime+followSpan)
			}
			assert.Assert(t, results[0].served >= minServed, "%+v", results)
			assert.Equal(t, results[0].needless, 0.0, "%+v", results)
		})
	}
}

// Guards against requests that are refused while a tenth of the slots is free and nothing is queued, and against refusals that
// follow the rise after a calm time late. Neither is reached yet (KNOWN-RED.txt).
func TestFleetRefusesNothingWithFreeSlots(t *testing.T) {
	for name, factor := range map[string]float64{"1.3 times the capacity": 1.3, "1.8 times the capacity": 1.8} {
		t.Run(name, func(t *testing.T) {
			f := newLoadFleet(1, wavyDemand(factor))
			f.run(loadEnds)
			all, onset := f.result(loadBegins+followTime, loadEnds-1000), f.result(loadBegins+followTime, loadBegins+followTime+followSpan)
			assert.Check(t, all.needless == 0, "%+v", all)
			assert.Check(t, math.Abs(onset.refused-onset.wanted) <= followTolerance, "%+v", onset)
		})
	}
}

// Guards against a partition in which one side refuses urgent requests while the other admits less urgent ones. It is not
// reached where the cut-off domain has older nodes only, which refuse the measured excess (KNOWN-RED.txt).
func TestFleetShedsInOrderWhileOlderDomainIsCutOff(t *testing.T) {
	const begins, ends = 8000, 16000
	f := newLoadFleet(3, func(clock.Time) float64 { return 1.3 })
	f.older = loadNodes / 3
	f.run(begins)
	f.cut = 0
	f.run(ends)
	during := f.result(begins, ends)
	assert.Assert(t, during.inverted <= maxInverted, "%+v", during)
}
