package conductor

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

// Guards against an order of two kinds that alternates when a run time moves a little: one is refused in full in one moment
// and the other in the next.
func TestOrderIgnoresSmallChangesOfRunTimes(t *testing.T) {
	for name, times := range map[string][2]clock.Duration{
		"equal run times": {1, 1}, "root requests half as long": {1, 2}, "three times": {3, 1}, "nearly six times": {28, 5},
	} {
		t.Run(name, func(t *testing.T) {
			c := planned(t, exchanger.Report{Load: 900, Capacity: 450}, exchanger.Report{})
			orders := map[bool]bool{}
			number := int64(1)
			for now := clock.Time(200); now < 6000; now += 200 {
				number++
				nested := clock.Duration(45 + number%2)
				// Rank 3 for the lookups, rank 2 for the browses with eight calls: they are close in the order.
				r := exchanger.Report{
					Member: peer("e", "clock"), Number: number, Load: 900, Capacity: 450,
					Arrivals:   map[identifier.Route]map[identifier.Class]float64{"obs": {2: 100}, "fast": {3: 100}},
					RootTime:   45 * times[0] / times[1],
					NestedTime: nested,
				}
				c.Apply(ReportsReceived{Reports: []exchanger.Report{r}}, now)
				c.makePlan(now)
				key := func(service identifier.Service, route identifier.Route) levelKey {
					return levelKey{service: "clock", from: origin{route: route, service: service}}
				}
				browse := class(2).worth(c.orderLevels[key("portal", "obs")])
				lookup := class(3).worth(c.orderLevels[key("clock", "fast")])
				orders[browse < lookup] = true
			}
			assert.Equal(t, len(orders), 1)
		})
	}
}

// planWith makes a plan from a report of clock, while the arrivals and calls are those of planned.
func planWith(c *Conductor, clockReport exchanger.Report, now clock.Time) {
	clockReport.Member, clockReport.Number = peer("e", "clock"), int64(now)
	clockReport.Arrivals = map[identifier.Route]map[identifier.Class]float64{"obs": {2: 100}, "fast": {0: 100}}
	portal := exchanger.Report{
		Member: peer("p", "portal"), Number: int64(now), Calls: map[identifier.Route]map[identifier.Route]float64{"obs": {"in": 8}},
		Arrivals: map[identifier.Route]map[identifier.Class]float64{unknownRoute: {0: 0}},
	}
	c.Apply(ReportsReceived{Reports: []exchanger.Report{clockReport, portal}}, now)
	c.makePlan(now)
}

// Guards against a second overload that is judged by what was learned in one long before, or under another configuration.
func TestDemandModelExpires(t *testing.T) {
	c := planned(t, exchanger.Report{Load: 900, Capacity: 450}, exchanger.Report{})
	learned := func(load, capacity float64, from, until clock.Time) {
		for now := from; now < until; now += 100 {
			planWith(c, exchanger.Report{Load: load, Capacity: capacity, RootTime: 100, NestedTime: 40}, now)
		}
	}
	learned(1200, 450, 100, 6000)
	assert.Assert(t, c.demandModels["clock"].ratio > 1.2, "%+v", c.demandModels["clock"])
	first := c.demandModels["clock"]
	learned(1200, 4500, 6000, clock.Time(6000).Add(modelKeptFor-clock.Second))
	assert.Equal(t, c.demandModels["clock"], first)
	learned(1200, 4500, clock.Time(6000).Add(modelKeptFor-clock.Second), clock.Time(6000).Add(modelKeptFor+clock.Second))
	assert.Assert(t, c.demandModels["clock"] != first)

	m, err := matcher.New(configuration(9, route("obs", "portal", matcher.Idempotent)))
	assert.NilError(t, err)
	c.Apply(ConfigurationRead{Matcher: m, At: boot.Add(12_000)}, 12_000)
	assert.Equal(t, len(c.demandModels)+len(c.orderLevels)+len(c.runTimeRatios), 0)
}

// Guards against refusals that end at a service whose queue grows: its chains make their calls late, or fail before they make
// them, so that fewer calls arrive than were admitted.
func TestDemandIsNotLearnedFromLateCalls(t *testing.T) {
	for name, test := range map[string]struct {
		excess float64
		falls  bool
	}{
		"more excess than is refused": {excess: 0.5},
		"less excess than is refused": {excess: 0.1, falls: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := planned(t, exchanger.Report{Load: 900, Capacity: 650}, exchanger.Report{})
			for now := clock.Time(100); now < 4000; now += 100 {
				planWith(c, exchanger.Report{Load: 700, Capacity: 650, Excess: test.excess, RootTime: 40, NestedTime: 40}, now)
			}
			assert.Equal(t, c.demandModels["clock"].ratio < 0.95, test.falls, "%v", c.demandModels["clock"].ratio)
		})
	}
}
