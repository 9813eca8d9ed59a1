package conductor

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

// admittedRatios sends orders, browses and lookups in equal numbers to a node while the leaf service that they lead to
// is overloaded, and returns the part of each that is admitted. Orders and browses make eight calls at the leaf
// service, lookups one.
func admittedRatios(t *testing.T, excess float64, lowTeams bool) map[string]float64 {
	t.Helper()
	browse, order := route("obs", "portal", matcher.Idempotent), route("ord", "desk", matcher.NonIdempotent)
	lookup, inner := route("fast", "clock", matcher.Idempotent), route("in", "clock", matcher.Idempotent)
	browse.Rank, order.Rank, lookup.Rank = 2, 0, 1
	inner.Public = true
	config := configuration(3, browse, order, lookup, inner)
	config.Teams[0].HasRank = true
	config.Teams = append(config.Teams, matcher.Team{Name: "low", Keys: []string{"l"}, Rank: 1, HasRank: true})
	c := newConductor("x")
	configure(t, c, config, 0)
	eight := map[identifier.Route]float64{"in": 8}
	c.Apply(ReportsReceived{Reports: []exchanger.Report{
		{Member: peer("a", "portal"), Number: 1, Load: 100, Calls: map[identifier.Route]map[identifier.Route]float64{"obs": eight}},
		{Member: peer("b", "desk"), Number: 1, Load: 100, Calls: map[identifier.Route]map[identifier.Route]float64{"ord": eight}},
		{Member: peer("e", "clock"), Number: 1, Load: 100, Excess: excess, Calls: map[identifier.Route]map[identifier.Route]float64{
			"in": {}, "fast": {},
		}},
	}}, 0)
	asked, admitted := map[string]float64{}, map[string]float64{}
	id := CallID(0)
	for now := clock.Time(0); now < 2000; now++ {
		for _, path := range []string{"/obs/x", "/ord/x", "/fast/x"} {
			id++
			r := arrival(id, path)
			name := path
			if lowTeams && id%2 == 0 {
				r.Key, name = "l", path+" low"
			}
			asked[name]++
			for _, e := range c.Apply(r, now) {
				if _, ok := e.(Send); ok {
					admitted[name]++
				}
			}
			c.Apply(RequestClosed{ID: id}, now)
		}
	}
	for name := range asked {
		admitted[name] /= asked[name]
	}
	return admitted
}

// A leaf service is overloaded. Requests that make eight calls there are refused before slightly less important
// requests that make one: refusing all lookups instead would leave capacity for only an eighth as many orders.
func TestExpensiveRequestsAreShedFirst(t *testing.T) {
	// Browses are 8 of 17 parts of the load, orders 8, lookups 1. Each kind has at least half of the part that fits.
	let := admittedRatios(t, 0.6, false)
	assert.Assert(t, let["/obs/x"] > 0.15 && let["/obs/x"] < 0.25, "%v", let)
	assert.Assert(t, let["/ord/x"] > 0.45 && let["/ord/x"] < 0.6, "%v", let)
	assert.Assert(t, let["/fast/x"] > 0.95, "%v", let)
	// Lookups are refused only when orders have no more than that.
	let = admittedRatios(t, 0.95, false)
	assert.Assert(t, let["/ord/x"] < 0.1 && let["/fast/x"] > 0.35, "%v", let)
}

// A less important team is refused first, regardless of the cost of its requests.
func TestTeamRankPrecedesCost(t *testing.T) {
	let := admittedRatios(t, 0.5, true)
	for _, path := range []string{"/obs/x low", "/ord/x low", "/fast/x low"} {
		assert.Assert(t, let[path] < 0.1, "%v", let)
	}
	for _, path := range []string{"/obs/x", "/ord/x", "/fast/x"} {
		assert.Assert(t, let[path] > 0.9, "%v", let)
	}
}
