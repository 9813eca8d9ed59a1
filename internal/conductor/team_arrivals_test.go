package conductor

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

// Guards against refused requests that count as token demand: the team's rate would move to the nodes that refuse, and
// requests within the rate would be rejected at the others. They count as arrivals of the team instead.
func TestRefusedRequestsTakeNoTokens(t *testing.T) {
	// The requests of more important teams leave nothing for this one.
	team := matcher.Team{Name: "parish", Keys: []string{"k1"}, Rate: 1000, Burst: 1000, Rank: 1, HasRank: true}
	c := planned(t, exchanger.Report{Load: 900, Capacity: 1}, exchanger.Report{}, team)
	c.Apply(ReportsReceived{Reports: []exchanger.Report{{
		Member: peer("e", "clock"), Number: 2, Load: 900, Capacity: 1, RootTime: 100, NestedTime: 40,
		Arrivals: map[identifier.Route]map[identifier.Class]float64{"obs": {2: 100, 6: 1}, "fast": {0: 100}},
	}}}, 0)
	c.makePlan(50)
	var now clock.Time
	for now = 50; now < 2050; now += 20 {
		effects := c.Apply(RequestArrived{ID: CallID(now), Host: "h", Path: "/obs/x", Key: "k1", Left: 5000, Boot: boot + now}, now)
		assert.Equal(t, onlyEffect[Refuse](t, effects).Reason, Pressure, "%v", now)
	}
	r := c.Report(now)
	assert.Equal(t, r.Demand["parish"], 0.0)
	rate := r.TeamArrivals["parish"]["obs"]
	assert.Assert(t, rate > 40 && rate < 60, "50 requests a second arrive, reported are %v", rate)
	assert.Equal(t, len(r.TeamArrivals), 1)
}

// Guards against arrivals of teams that grow without bound, and against such of teams that have been removed.
func TestArrivalsOfRemovedTeamsAreDropped(t *testing.T) {
	var a teamArrivals
	for i := range 10 {
		a.add(identifier.Team(fmt.Sprint("team", i)), "obs")
	}
	a.keep([]matcher.Team{{Name: "team3"}, {Name: "team99"}})
	assert.Equal(t, len(a.rates()), 1)
	assert.Equal(t, a.rates()["team3"]["obs"], 2.5)
	a.decay(60_000)
	a.decay(clock.Time(600_000))
	assert.Equal(t, len(a.rates()), 0)
}

// Guards against requests without a team that lose all: they are no team's arrivals, and belong to the claim of teams
// without a rate.
func TestRequestsWithoutTeamHaveAClaim(t *testing.T) {
	arrivals := map[identifier.Team]map[identifier.Route]float64{"paying": {"obs": 50}}
	c := planned(t, exchanger.Report{Load: 900, Capacity: 450, TeamArrivals: arrivals}, exchanger.Report{},
		matcher.Team{Name: "paying", Keys: []string{"p"}, Rate: 30})
	browse, ok := c.matcher.Match("h", "/obs/x")
	assert.Assert(t, ok)
	// 32.4 of 100 a second fit, half of which are the paying team's; both claims have the same weight.
	assertNear(t, c.refusedRatio(&call{route: browse, service: "portal", class: 2}, 50), 0.676)
}

// Guards against sums over the fleet that count a node twice, keep what it no longer reports, or include it after its reports
// have stopped.
func TestFleetTeamsSumCurrentReports(t *testing.T) {
	var f fleetTeams
	f.configure([]matcher.Team{{Name: "a"}, {Name: "b"}})
	report := func(node identifier.Node, team identifier.Team, rate float64, at clock.Time) {
		f.learn(exchanger.Report{
			Member:       exchanger.Member{Node: node},
			TeamArrivals: map[identifier.Team]map[identifier.Route]float64{team: {"obs": rate}},
		}, at)
	}
	report("x", "a", 10, 0)
	report("x", "a", 20, 200)
	report("y", "a", 5, 2000)
	report("y", "unknown", 5, 2000)
	report("z", "a", 7, 2000)
	assert.Equal(t, f.sums["a"]["obs"], 27.0)
	assert.Equal(t, len(f.sums), 1)
	report("y", "b", 5, 2100)
	f.expire(clock.Time(200).Add(suspectAfter + 1))
	assert.Equal(t, f.sums["a"]["obs"], 7.0)
	f.drop("z")
	f.configure([]matcher.Team{{Name: "b"}, {Name: "unknown"}})
	assert.DeepEqual(t, f.sums, map[identifier.Team]map[identifier.Route]float64{"b": {"obs": 5}})
}
