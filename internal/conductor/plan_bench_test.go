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
