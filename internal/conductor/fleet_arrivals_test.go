package conductor

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

// Guards against demand of nodes that are gone: a killed node's arrivals count for 2.5 s at most, and a restarted node
// knows the fleet's demand from its first reports.
func TestFleetArrivalsSumCurrentReports(t *testing.T) {
	c := newConductor("x")
	configure(t, c, configuration(3, route("obs", "portal", matcher.Idempotent)), 0)
	report := func(node identifier.Node, number int64, rate float64) exchanger.Report {
		return exchanger.Report{
			Member: peer(node, "portal"), Number: number,
			Arrivals: map[identifier.Route]map[identifier.Class]float64{"obs": {5: rate}},
		}
	}
	c.Apply(ReportsReceived{Reports: []exchanger.Report{report("a", 1, 40), report("b", 1, 60)}}, 0)
	arrivals, nodes := c.fleetArrivals(100)
	assert.Equal(t, nodes, 3)
	assert.Equal(t, arrivals["obs"][5], 100.0)
	c.Apply(ReportsReceived{Reports: []exchanger.Report{report("a", 2, 50)}}, 2000)
	arrivals, nodes = c.fleetArrivals(clock.Time(0).Add(suspectAfter) + 500)
	assert.Equal(t, nodes, 2)
	assert.Equal(t, arrivals["obs"][5], 50.0)
}

// Guards against a rate that lags behind a surge: after 0.8 s it is within a seventh of the new rate.
func TestRecentArrivalsFollowASurge(t *testing.T) {
	a := arrivalCounts{timeConstant: recentArrivalTimeConstant}
	for now := clock.Time(0); now < 800; now += 10 {
		a.add(origin{route: "obs", service: "portal"}, 3)
		if now%100 == 0 {
			a.decay(now)
		}
	}
	rate := a.rates()["obs"][3]
	assert.Assert(t, math.Abs(rate-100) < 15, "%v", rate)
}
