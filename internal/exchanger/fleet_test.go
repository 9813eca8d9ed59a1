package exchanger

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// fleet simulates nodes that exchange reports every 500 ms with the nodes that they can reach.
type fleet struct {
	members map[identifier.Node]Member
	tables  map[identifier.Node]*Table
	number  int64
	// answeredExchanges counts the exchanges that each node answered, crossDomainExchanges those between domains.
	answeredExchanges    map[identifier.Node]int
	crossDomainExchanges int
}

func newFleet(n int) *fleet { return newFleetOf(n, 1) }

// newFleetOf returns a fleet whose nodes are spread over failure domains in the order of their names.
func newFleetOf(n, domains int) *fleet {
	f := &fleet{
		members:           map[identifier.Node]Member{},
		tables:            map[identifier.Node]*Table{},
		answeredExchanges: map[identifier.Node]int{},
	}
	for i := range n {
		m := member(identifier.Node(fmt.Sprintf("n%03d", i)))
		if domains > 1 {
			m.Domain = identifier.FailureDomain(fmt.Sprintf("domain-%d", i*domains/n))
		}
		f.members[m.Node] = m
		f.tables[m.Node] = NewTable(m.Node, m.Domain, uint64(i)+1)
	}
	return f
}

func (f *fleet) countExchange(node, next identifier.Node, _ Question) {
	f.answeredExchanges[next]++
	if f.members[node].Domain != f.members[next].Domain {
		f.crossDomainExchanges++
	}
}

// runRounds runs a round every 500 ms between two times.
func (f *fleet) runRounds(from, to clock.Time, reachable func(a, b identifier.Node) bool) {
	for now := from; now < to; now += 500 {
		f.round(now, reachable)
	}
}

// oldestReportAge returns the age of the oldest report that any node holds of another living node.
func (f *fleet) oldestReportAge(now clock.Time) (oldest clock.Duration) {
	for _, table := range f.tables {
		for other := range f.tables {
			age, ok := table.Age(other, now)
			if !ok {
				return clock.Duration(now)
			}
			oldest = max(oldest, age)
		}
	}
	return oldest
}

func allReachable(identifier.Node, identifier.Node) bool { return true }

func (f *fleet) round(now clock.Time, reachable func(a, b identifier.Node) bool) {
	for _, node := range slices.Sorted(maps.Keys(f.tables)) {
		table := f.tables[node]
		f.number++
		own := Report{Member: f.members[node], Number: f.number}
		table.Put(own, own.Member, now)
		f.exchange(node, own, now, reachable)
	}
}

func (f *fleet) exchange(node identifier.Node, own Report, now clock.Time, reachable func(a, b identifier.Node) bool) {
	table := f.tables[node]
	for range len(f.tables) {
		next := table.Next(f.members, now)
		probesMissing := next == node
		question := Question{}
		if probesMissing {
			var ok bool
			if next, ok = table.NextMissing(f.members, now); !ok {
				return
			}
			question = table.QuestionWithoutReports(f.members[next], own)
		} else {
			question = table.QuestionFor(f.members[next], own, now)
		}
		if f.tables[next] != nil && reachable(node, next) {
			table.RecordAnswer(next)
			f.countExchange(node, next, question)
			for _, r := range append([]Report{own}, question.Forwarded...) {
				f.tables[next].Put(r, own.Member, now)
			}
			for _, r := range table.AcceptAnswer(next, f.tables[next].Answer(node, question.Since, now)) {
				table.Put(r, f.members[next], now)
			}
			return
		}
		if probesMissing {
			return
		}
		table.RecordFailure(next, now)
	}
}

// All nodes restart while one part of them can't reach the rest, as after a power failure during a network partition.
// Each part picks a collector and keeps it after the partition has healed. The parts then lack each other's load
// reports: half of the entry nodes keeps sending to an overloaded service, and callers get errors until an operator
// restarts the nodes.
func TestPartitionsMergeAfterRestart(t *testing.T) {
	f := newFleet(12)
	side := func(node identifier.Node) bool { return node >= "n001" && node <= "n006" }
	for now := clock.Time(0); now < 8000; now += 500 {
		f.round(now, func(a, b identifier.Node) bool { return side(a) == side(b) })
	}
	assert.Assert(t, !f.tables["n003"].isFresh("n008", 8000))
	for now := clock.Time(8000); now < 14000; now += 500 {
		f.round(now, func(identifier.Node, identifier.Node) bool { return true })
	}
	for node, table := range f.tables {
		for other := range f.members {
			assert.Assert(t, table.isFresh(other, 14000), "%s has no fresh report of %s, expected one after the partition healed", node, other)
		}
	}
}

// Removed nodes leave their records in the store. The fleet's collector probes members without a fresh report in
// rotation, so that one dead member does not keep it from reaching the others.
func TestNextMissingRotates(t *testing.T) {
	f := newFleet(4)
	table := f.tables["n000"]
	table.Put(Report{Member: member("n002"), Number: 1}, member("n002"), 1000)
	var sought []identifier.Node
	for range 4 {
		node, ok := table.NextMissing(f.members, 1000)
		assert.Assert(t, ok)
		sought = append(sought, node)
	}
	assert.DeepEqual(t, sought, []identifier.Node{"n001", "n003", "n001", "n003"})
	table.Put(Report{Member: member("n001"), Number: 1}, member("n001"), 1000)
	table.Put(Report{Member: member("n003"), Number: 1}, member("n003"), 1000)
	_, ok := table.NextMissing(f.members, 1000)
	assert.Assert(t, !ok)
}

// Guards against all 200 nodes of a fleet exchanging reports with one node, which would load it and the links between
// domains: only the domain collectors may exchange across domains.
func TestMostExchangesStayInTheirFailureDomain(t *testing.T) {
	f := newFleetOf(200, 6)
	f.runRounds(0, 5000, allReachable)
	assert.Assert(t, f.oldestReportAge(5000) <= 2000, "oldest report is %d ms old, expected at most 2000 ms", f.oldestReportAge(5000))
	clear(f.answeredExchanges)
	f.crossDomainExchanges = 0
	f.runRounds(5000, 10_000, allReachable)
	const rounds = 10
	assert.Equal(t, f.crossDomainExchanges, 5*rounds)
	for node, n := range f.answeredExchanges {
		assert.Assert(t, n <= rounds*(200/6+1+5), "%s answers %d exchanges, expected only those of its domain and of the other collectors", node, n)
	}
	assert.Assert(t, f.oldestReportAge(10_000) <= 2000, "oldest report is %d ms old, expected at most 2000 ms", f.oldestReportAge(10_000))
}

// The crash of a domain's collector or of the fleet's must not leave the other nodes with old reports of each other.
func TestCollectorCrashKeepsReportsFresh(t *testing.T) {
	for name, lost := range map[string][]identifier.Node{
		"a domain's":                 {"n034"},
		"the fleet's":                {"n000"},
		"both, and those after them": {"n000", "n001", "n034", "n035"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleetOf(200, 6)
			f.runRounds(0, 5000, allReachable)
			for _, node := range lost {
				delete(f.tables, node)
			}
			for now := clock.Time(5000); now < 15_000; now += 500 {
				f.round(now, allReachable)
				assert.Assert(t, f.oldestReportAge(now) <= 2000, "oldest report is %d ms old at %d ms, expected at most 2000 ms", f.oldestReportAge(now), now)
			}
		})
	}
}

// Nodes of a partitioned failure domain must keep exchanging reports with each other, and must have fresh reports of all
// others soon after the partition heals.
func TestPartitionedFailureDomainRecovers(t *testing.T) {
	for name, partitioned := range map[string]identifier.FailureDomain{"the first": "domain-0", "another": "domain-3"} {
		t.Run(name, func(t *testing.T) {
			f := newFleetOf(60, 6)
			f.runRounds(0, 5000, allReachable)
			apart := func(a, b identifier.Node) bool {
				return (f.members[a].Domain == partitioned) == (f.members[b].Domain == partitioned)
			}
			f.runRounds(5000, 65_000, apart)
			for node, table := range f.tables {
				for other := range f.tables {
					age, _ := table.Age(other, 65_000)
					assert.Assert(t, !apart(node, other) || age <= 2000, "%s has a report of %s that is %d ms old, expected at most 2000 ms", node, other, age)
				}
			}
			f.runRounds(65_000, 70_000, allReachable)
			assert.Assert(t, f.oldestReportAge(70_000) <= 2000, "oldest report is %d ms old, expected at most 2000 ms", f.oldestReportAge(70_000))
		})
	}
}

// A collector restarts with an empty table. Nodes that sent it only the delta since its last answer would leave it, and
// so the other domains, without their reports.
func TestRestartedCollectorsReceiveAllReports(t *testing.T) {
	f := newFleetOf(60, 6)
	f.runRounds(0, 5000, allReachable)
	for _, node := range []identifier.Node{"n000", "n010"} {
		m := f.members[node]
		m.Incarnation++
		f.members[node] = m
		f.tables[node] = NewTable(node, m.Domain, 1000)
	}
	f.runRounds(5000, 8000, allReachable)
	assert.Assert(t, f.oldestReportAge(8000) <= 2000, "oldest report is %d ms old, expected at most 2000 ms", f.oldestReportAge(8000))
}
