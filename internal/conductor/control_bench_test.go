package conductor

import (
	"fmt"
	"testing"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

// benchFleet returns a node of a fleet of 68 in four failure domains with 76 teams, and a function that creates its
// collector's answers: reports of all other nodes, each with the demand of 20 teams.
func benchFleet(b *testing.B) (*Conductor, func(round int64) exchanger.Answer) {
	b.Helper()
	c := newConductor("desk")
	config := configuration(3, route("obs", "portal", matcher.Idempotent), route("ord", "desk", matcher.NonIdempotent), route("in", "clock", matcher.Idempotent))
	for i := range 76 {
		config.Teams = append(config.Teams, matcher.Team{Name: identifier.Team(fmt.Sprint("team", i)), Keys: []string{fmt.Sprint("k", i)}, Rate: 60, Burst: 60})
	}
	m, err := matcher.New(config)
	if err != nil {
		b.Fatal(err)
	}
	c.Apply(ConfigurationRead{Matcher: m}, 0)
	services := []identifier.Service{"portal", "desk", "clock"}
	var members []exchanger.Member
	for i := range 67 {
		p := peer(identifier.Node(fmt.Sprintf("n%02d", i)), services[i%3])
		p.Domain = identifier.FailureDomain(fmt.Sprint("d", i%4))
		members = append(members, p)
		c.Apply(MemberLearned{Member: p}, 0)
	}
	calls := map[identifier.Route]map[identifier.Route]float64{"obs": {"in": 2}, "ord": {"in": 8}}
	return c, func(round int64) exchanger.Answer {
		var a exchanger.Answer
		a.Cursor = exchanger.Cursor{Table: 9, Change: uint64(round * 67)}
		for i, p := range members {
			r := exchanger.Report{Member: p, Number: round, Excess: 0.2, Load: 100, Calls: calls, RootTime: 100, NestedTime: 40}
			r.Compact = round > 1
			if r.Compact {
				r.Member = exchanger.Member{Node: p.Node}
			}
			r.Demand = map[identifier.Team]float64{}
			for t := range 20 {
				r.Demand[identifier.Team(fmt.Sprint("team", (i+t*3)%76))] = 0.5
			}
			a.Reports = append(a.Reports, r)
		}
		return a
	}
}

// BenchmarkExchange measures one exchange of reports, which each node makes two to five times a second.
func BenchmarkExchange(b *testing.B) {
	c, answer := benchFleet(b)
	round := int64(0)
	var data []byte
	now := clock.Time(0)
	for b.Loop() {
		b.StopTimer()
		round++
		now += 200
		data, _ = exchanger.EncodeAnswer(answer(round))
		b.StartTimer()
		a, err := exchanger.DecodeAnswer(data)
		if err != nil {
			b.Fatal(err)
		}
		c.Apply(PeerAnswered{Node: "n00", Answer: a}, now)
	}
	b.ReportMetric(float64(len(data)), "bytes")
}

// BenchmarkControlTick measures the work of each node every 25 ms. Checking members for silence at each tick would more
// than double it.
func BenchmarkControlTick(b *testing.B) {
	c, answer := benchFleet(b)
	announceEndpoint(c, 40, 1, false, 0)
	c.Apply(PeerAnswered{Node: "n00", Answer: answer(1)}, 0)
	for i := range 30 {
		c.Apply(arrival(CallID(i+1), "/obs/x"), 0)
	}
	now := clock.Time(0)
	for b.Loop() {
		now += 25
		if now%1000 == 0 {
			b.StopTimer()
			c.Apply(PeerAnswered{Node: "n00", Answer: answer(int64(now/1000) + 1)}, now)
			b.StartTimer()
		}
		c.Apply(Ticked{}, now)
	}
}
