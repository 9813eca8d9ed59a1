package conductor

import (
	"fmt"
	"testing"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

// BenchmarkPlan measures a plan, which every node computes ten times a second from the reports of all nodes.
func BenchmarkPlan(b *testing.B) {
	for _, nodes := range []int{13, 88, 1000} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			c := newConductor("x")
			inner := route("in", "clock", matcher.Idempotent)
			inner.Public = true
			m, err := matcher.New(configuration(1, route("obs", "portal", matcher.Idempotent), route("ord", "desk", matcher.Idempotent), inner))
			if err != nil {
				b.Fatal(err)
			}
			c.Apply(ConfigurationRead{Matcher: m}, 0)
			services := []identifier.Service{"portal", "desk", "clock"}
			var reports []exchanger.Report
			for i := range nodes {
				calls := map[identifier.Route]map[identifier.Route]float64{"obs": {"in": 1}, "ord": {"in": 4}, unknownRoute: {}}
				reports = append(reports, exchanger.Report{
					Member: peer(identifier.Node(fmt.Sprint("n", i)), services[i%3]), Number: 1, Load: 100, Excess: 0.1, Calls: calls,
				})
			}
			c.Apply(ReportsReceived{Reports: reports}, 0)
			c.Apply(arrival(1, "/obs/x"), 0)
			c.Apply(arrival(2, "/ord/x"), 0)
			for b.Loop() {
				c.makePlan(clock.Time(0))
			}
		})
	}
}

// BenchmarkFleetPlan measures a plan from the arrivals of all nodes, with the requests at the threshold divided between
// 1,000 teams.
func BenchmarkFleetPlan(b *testing.B) {
	for _, nodes := range []int{30, 300} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			c := newConductor("clock")
			inner := route("in", "clock", matcher.Idempotent)
			inner.Public = true
			config := configuration(1, route("obs", "portal", matcher.Idempotent), route("ord", "desk", matcher.Idempotent), inner)
			demand := map[identifier.Team]float64{}
			byTeam := map[identifier.Team]map[identifier.Route]float64{}
			for i := range 1000 {
				name := identifier.Team(fmt.Sprint("team", i))
				config.Teams = append(config.Teams, matcher.Team{Name: name, Keys: []string{fmt.Sprint("k", i)}, Rate: 60, Burst: 60})
				demand[name] = 0.5
				byTeam[name] = map[identifier.Route]float64{"obs": 0.5, "ord": 0.5}
			}
			m, err := matcher.New(config)
			if err != nil {
				b.Fatal(err)
			}
			c.Apply(ConfigurationRead{Matcher: m}, 0)
			services := []identifier.Service{"portal", "desk", "clock"}
			calls := map[identifier.Route]map[identifier.Route]float64{"obs": {"in": 1}, "ord": {"in": 4}, unknownRoute: {}}
			byClass := map[identifier.Class]float64{0: 10, 1: 10, 2: 10, 5: 10}
			arrivals := map[identifier.Route]map[identifier.Class]float64{"obs": byClass, "ord": byClass}
			for number := range int64(2) {
				var reports []exchanger.Report
				for i := range nodes {
					reports = append(reports, exchanger.Report{
						Member: peer(identifier.Node(fmt.Sprint("n", i)), services[i%3]), Number: number + 1, Load: 100, Excess: 0.1, Calls: calls,
						Demand: demand, Arrivals: arrivals, TeamArrivals: byTeam, Capacity: 60, NestedTime: 40,
					})
				}
				c.Apply(ReportsReceived{Reports: reports}, clock.Time(300*number))
			}
			for b.Loop() {
				c.makePlan(clock.Time(400))
			}
			if len(c.plan.thresholds) == 0 || !c.plan.thresholds[0].divided {
				b.Fatalf("no requests are divided between teams: %+v", c.plan.excess)
			}
		})
	}
}
