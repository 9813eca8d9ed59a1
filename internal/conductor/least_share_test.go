package conductor

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

// minLeastShare is the part of the requests that an ideal scheduler serves of a kind, of which no kind gets less.
const minLeastShare = 0.9

// idealLeastPart is the part of the capacity that an ideal scheduler divides between all kinds alike; the rest goes to the
// most urgent ones.
const idealLeastPart = 0.5

// idealServed returns the slot time that an ideal scheduler serves of each kind, given their demands from the most to the
// least urgent.
func idealServed(demands [3]float64, capacity float64) [3]float64 {
	total := 0.0
	for _, d := range demands {
		total += d
	}
	if total <= capacity {
		return demands
	}
	var served [3]float64
	least, left := idealLeastPart*capacity/total, (1-idealLeastPart)*capacity
	for kind, d := range demands {
		more := min(left, (1-least)*d)
		served[kind] = least*d + more
		left -= more
	}
	return served
}

// demandsOf returns the slot time of the requests of each kind that arrived in a window.
func (f *loadFleet) demandsOf(window int) (demands [3]float64) {
	if counts := f.windows[window]; counts != nil {
		for kind, k := range loadKinds {
			demands[kind] = counts[kind].offered * k.slotTime()
		}
	}
	return demands
}

// leastShare returns the smallest ratio of the served requests of a kind to those that an ideal scheduler serves.
func (f *loadFleet) leastShare(from, until clock.Time) (least float64, ratios [3]float64) {
	const windows = loadTeamWindow / loadWindow
	var served, ideal [3]float64
	for second := int(from / loadTeamWindow); second < int(until/loadTeamWindow); second++ {
		var demands [3]float64
		for w := second * windows; w < (second+1)*windows; w++ {
			for kind, demand := range f.demandsOf(w) {
				demands[kind] += demand
			}
			if counts := f.windows[w]; counts != nil {
				for kind, k := range loadKinds {
					served[kind] += counts[kind].served * k.slotTime()
				}
			}
		}
		for kind, s := range idealServed(demands, f.capacity*loadTeamWindow) {
			ideal[kind] += s
		}
	}
	least = math.Inf(1)
	for kind := range ratios {
		ratios[kind] = served[kind] / ideal[kind]
		least = min(least, ratios[kind])
	}
	return least, ratios
}

// Guards against a kind of requests that is served next to nothing while others that lead to the same service are served.
func TestNoKindIsStarvedByMoreUrgentOnes(t *testing.T) {
	const begins, ends = 8000, 16000
	tests := map[string]struct {
		demand     func(clock.Time) float64
		begin, end func(f *loadFleet)
	}{
		"1.3 times the capacity, in waves": {demand: wavyDemand(1.3)},
		"1.8 times the capacity, in waves": {demand: wavyDemand(1.8)},
		"a node is killed and restarted": {
			demand: wavyDemand(1.3),
			begin:  func(f *loadFleet) { f.nodes[1].killed = true },
			end:    func(f *loadFleet) { f.start(1) },
		},
		"a domain is cut off and reconnected": {
			demand: wavyDemand(1.3),
			begin:  func(f *loadFleet) { f.cut = 1 },
			end:    func(f *loadFleet) { f.cut = -1 },
		},
		"all nodes restart": {
			demand: wavyDemand(1.3),
			begin: func(f *loadFleet) {
				for i := range f.nodes {
					f.start(i)
				}
			},
		},
		"half of the nodes are without arrivals in their reports": {
			demand: wavyDemand(1.3),
			begin:  func(f *loadFleet) { f.older = loadNodes / 2 },
			end:    func(f *loadFleet) { f.older = 0 },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newLoadFleet(3, test.demand)
			f.runThrough(failure{from: begins, until: ends, begin: test.begin, end: test.end}, loadEnds)
			least, ratios := f.leastShare(loadBegins+2000, loadEnds-1000)
			t.Logf("served, of the ideal: %.3f", ratios)
			assert.Assert(t, least >= minLeastShare, "%.3f", ratios)
		})
	}
}
