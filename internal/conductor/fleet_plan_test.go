package conductor

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

// planned returns a conductor that knows 100 browses a second (8 calls at clock, 4 at portal itself) and 100 lookups a second
// (one call at clock), as other nodes report them. Runs take 100 ms for root requests and 40 ms for nested calls.
func planned(t *testing.T, clockReport, portalReport exchanger.Report, teams ...matcher.Team) *Conductor {
	t.Helper()
	browse, lookup := route("obs", "portal", matcher.Idempotent), route("fast", "clock", matcher.Idempotent)
	browse.Rank, lookup.Rank = 2, 0
	inner := route("in", "clock", matcher.Idempotent)
	inner.Public = true
	config := configuration(3, browse, lookup, inner)
	if len(teams) > 0 {
		config.Teams = teams
	}
	c := newConductor("x")
	configure(t, c, config, 0)
	calls := map[identifier.Route]map[identifier.Route]float64{"obs": {"in": 8}}
	byClass := map[identifier.Route]map[identifier.Class]float64{"obs": {2: 100}, "fast": {0: 100}}
	clockReport.Member, clockReport.Number, clockReport.Arrivals = peer("e", "clock"), 1, byClass
	clockReport.RootTime, clockReport.NestedTime = 100, 40
	clockReport.Calls = map[identifier.Route]map[identifier.Route]float64{"in": {}, "fast": {}}
	portalReport.Member, portalReport.Number, portalReport.Calls = peer("p", "portal"), 1, calls
	portalReport.Arrivals = map[identifier.Route]map[identifier.Class]float64{unknownRoute: {0: 0}}
	c.Apply(ReportsReceived{Reports: []exchanger.Report{clockReport, portalReport}}, 0)
	// The plan that was made for the reports themselves knows only some of them.
	c.makePlan(50)
	return c
}

func ratioOf(c *Conductor, route identifier.Route, service identifier.Service, class int) float64 {
	ratios, ok := c.plan.refusedRatios[origin{route: route, service: service}]
	if !ok {
		return 0
	}
	return ratios[class]
}

func assertNear(t *testing.T, got, want float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) < 0.01, "got %v, want %v", got, want)
}

// Guards against excesses that lag behind the demand, exceed throttler.MaxExcess, or differ from what the throttler of an
// endpoint is told and from what retries are earned by. The demand is 32,000 ms of nested and 10,000 ms of root calls a second, 900 calls in all.
func TestExcessIsComputedFromArrivals(t *testing.T) {
	tests := map[string]struct {
		report         exchanger.Report
		computed       bool
		browse, lookup float64
		excess         float64
	}{
		"enough capacity": {report: exchanger.Report{Load: 900, Capacity: 1000, Excess: 0.2}, computed: true},
		"half the capacity": {
			// 0.97 * 450 of 900 calls: 21,630 of 42,000 ms are refused, all of them browses'.
			report: exchanger.Report{Load: 900, Capacity: 450}, computed: true, browse: 21630.0 / 32000, excess: 21630.0 / 32000 * 800 / 900,
		},
		"nearly none": {
			// 2,100 of 42,000 ms fit, half of which are divided alike: 0.025 of each. The other half is the lookups'.
			report: exchanger.Report{Load: 900, Capacity: 1}, computed: true, browse: 0.975, lookup: 0.87, excess: 867.0 / 900,
		},
		"capacity unknown":    {report: exchanger.Report{Load: 900, Excess: 0.5}, browse: 21000.0 / 32000, excess: 21000.0 / 32000 * 800 / 900},
		"limited":             {report: exchanger.Report{Load: 900, Excess: 0.5, Capacity: 1000, Limit: exchanger.Limited, RateLimit: 10}, browse: 21000.0 / 32000, excess: 21000.0 / 32000 * 800 / 900},
		"cold":                {report: exchanger.Report{Load: 900, Excess: 0.5, Capacity: 1000, ColdLeft: 500}, browse: 21000.0 / 32000, excess: 21000.0 / 32000 * 800 / 900},
		"unknown, no excess":  {report: exchanger.Report{Load: 900}},
		"idle but overloaded": {report: exchanger.Report{Load: 0, Capacity: 1000}, computed: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := planned(t, test.report, exchanger.Report{})
			assert.Equal(t, c.plan.computedServices["clock"], test.computed)
			assertNear(t, ratioOf(c, "obs", "portal", 2), test.browse)
			assertNear(t, ratioOf(c, "fast", "clock", 0), test.lookup)
			assertNear(t, c.plan.excess["clock"], test.excess)
			// Retries are earned by the calls that arrive.
			assertNear(t, c.plan.arrivalRates["clock"], test.report.Load*(1-c.plan.excess["clock"]))
		})
	}
}

// Guards against a request refused twice: what one service refuses is no demand at the other, whichever comes first by name,
// so that the one with enough capacity for the rest refuses nothing.
func TestRefusedRequestIsNoDemandElsewhere(t *testing.T) {
	tests := map[string]struct {
		portalCapacity  float64
		browse          float64
		portal, atClock bool
	}{
		// clock admits 32 of 100 browses a second.
		"clock is the bottleneck":  {portalCapacity: 40, browse: 0.676, atClock: true},
		"portal is the bottleneck": {portalCapacity: 16, browse: 0.845, portal: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := planned(t, exchanger.Report{Load: 900, Capacity: 450}, exchanger.Report{Load: 32, Capacity: test.portalCapacity, RootTime: 50})
			assertNear(t, ratioOf(c, "obs", "portal", 2), test.browse)
			assert.Equal(t, c.plan.excess["portal"] > 0, test.portal, "%v", c.plan.excess)
			assert.Equal(t, c.plan.excess["clock"] > 0, test.atClock, "%v", c.plan.excess)
		})
	}
}

// Guards against teams that pay for the surge of another: shares follow the purchased rate, a team without a rate belongs to
// one share with all such, and a team within its share loses nothing.
func TestThresholdIsDividedBetweenTeams(t *testing.T) {
	demand := map[identifier.Team]float64{"greedy": 70, "small": 5, "large": 20, "free": 60, "other": 40}
	arrivals := map[identifier.Team]map[identifier.Route]float64{}
	for team, rate := range demand {
		// What a team sends on routes that are not at the threshold is no part of its claim.
		arrivals[team] = map[identifier.Route]float64{"obs": rate, "fast": 100 - rate}
	}
	c := planned(t, exchanger.Report{Load: 900, Capacity: 450, TeamArrivals: arrivals}, exchanger.Report{},
		matcher.Team{Name: "greedy", Keys: []string{"g"}, Rate: 30}, matcher.Team{Name: "small", Keys: []string{"s"}, Rate: 30},
		matcher.Team{Name: "large", Keys: []string{"l"}, Rate: 90}, matcher.Team{Name: "free", Keys: []string{"f"}},
		matcher.Team{Name: "low", Keys: []string{"o"}, Rate: 30, Rank: 1, HasRank: true},
	)
	browse, ok := c.matcher.Match("h", "/obs/x")
	assert.Assert(t, ok)
	// 0.324 of 155 a second fit: 50.23. The small team keeps its 5 and the large one its 20, which are below their shares; the
	// rest is divided by the weights of 30 and 50, the mean of the rates.
	want := map[string]float64{"g": 1 - 25.23*30/80/70, "s": 0, "l": 0, "f": 1 - 25.23*50/80/60}
	for key, ratio := range want {
		team, ok := c.matcher.TeamOf(key)
		assert.Assert(t, ok)
		assertNear(t, c.refusedRatio(&call{route: browse, team: team, service: "portal", class: 2}, 50), ratio)
	}
	assertNear(t, c.refusedRatio(&call{route: browse, service: "portal", class: 2}, 50), want["f"])
}

// Guards against reports that grow without overload, and against two ways to compute the excess that alternate.
func TestArrivalsAreReportedSomeSecondsAfterOverload(t *testing.T) {
	c := planned(t, exchanger.Report{Load: 900, Capacity: 450}, exchanger.Report{})
	assert.Assert(t, len(c.Report(60).Arrivals) > 0)
	number := int64(1)
	for now := clock.Time(100); now < 20000; now += 100 {
		number++
		r := exchanger.Report{Member: peer("e", "clock"), Number: number, Load: 90, Capacity: 450}
		c.Apply(ReportsReceived{Reports: []exchanger.Report{r}}, now)
		sent := c.Report(now + 50)
		within := now < clock.Time(0).Add(arrivalsKeptFor)
		assert.Equal(t, len(sent.Arrivals) > 0, within, fmt.Sprint(now))
		if !within {
			assert.Equal(t, sent.Capacity, 0.0)
			assert.Equal(t, c.ExchangePeriod(now+50), exchangePeriod)
			break
		}
	}
}
