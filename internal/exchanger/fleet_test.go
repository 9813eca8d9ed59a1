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

// fleet is some nodes that exchange reports every 500 ms, unless they are cut off from each other.
type fleet struct {
	members map[identifier.Node]Member
	tables  map[identifier.Node]*Table
	number  int64
	// answeredExchanges and crossed are how many exchanges each node answered, and how many of all crossed domains.
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

// runRounds runs rounds of 500 ms from one moment to another.
func (f *fleet) runRounds(from, to clock.Time, reachable func(a, b identifier.Node) bool) {
	for now := from; now < to; now += 500 {
		f.round(now, reachable)
	}
}

// oldestReportAge returns the age of the oldest report that any node has of another one that lives.
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

// All nodes start anew while a part of them can't reach the rest, as when a failure domain is cut off and the power fails.
// Each part finds a node to ask, and when the cut is over each still asks that one. The parts then know nothing of each
// other's load: half of the entry nodes sends on to a service that drowns, and callers get errors until somebody
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
			assert.Assert(t, table.isFresh(other, 14000), "%s knows nothing new of %s", node, other)
		}
	}
}

// Machines that are gone leave their records. The node that is asked looks for them in turn; the others ask it as before.
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

// A fleet of 200 nodes must not load one node and the links between domains with every node's exchange.
func TestMostExchangesStayInTheirFailureDomain(t *testing.T) {
	f := newFleetOf(200, 6)
	f.runRounds(0, 5000, allReachable)
	assert.Assert(t, f.oldestReportAge(5000) <= 2000, "%d ms", f.oldestReportAge(5000))
	clear(f.answeredExchanges)
	f.crossDomainExchanges = 0
	f.runRounds(5000, 10_000, allReachable)
	const rounds = 10
	assert.Equal(t, f.crossDomainExchanges, 5*rounds)
	for node, n := range f.answeredExchanges {
		assert.Assert(t, n <= rounds*(200/6+1+5), "%s answers %d exchanges", node, n)
	}
	assert.Assert(t, f.oldestReportAge(10_000) <= 2000, "%d ms", f.oldestReportAge(10_000))
}

// Losing a collector, or the fleet's one, must not leave the others without news of each other.
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
				assert.Assert(t, f.oldestReportAge(now) <= 2000, "%d ms at %d", f.oldestReportAge(now), now)
			}
		})
	}
}

// A failure domain that is cut off must keep hearing of itself, and hear of all others soon after the cut.
func TestPartitionedFailureDomainRecovers(t *testing.T) {
	for name, cut := range map[string]identifier.FailureDomain{"the first": "domain-0", "another": "domain-3"} {
		t.Run(name, func(t *testing.T) {
			f := newFleetOf(60, 6)
			f.runRounds(0, 5000, allReachable)
			apart := func(a, b identifier.Node) bool {
				return (f.members[a].Domain == cut) == (f.members[b].Domain == cut)
			}
			f.runRounds(5000, 65_000, apart)
			for node, table := range f.tables {
				for other := range f.tables {
					age, _ := table.Age(other, 65_000)
					assert.Assert(t, !apart(node, other) || age <= 2000, "%s hears of %s %d ms late", node, other, age)
				}
			}
			f.runRounds(65_000, 70_000, allReachable)
			assert.Assert(t, f.oldestReportAge(70_000) <= 2000, "%d ms", f.oldestReportAge(70_000))
		})
	}
}

// The collector is started anew with an empty table: its domain's nodes must be heard of elsewhere as before.
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
	assert.Assert(t, f.oldestReportAge(8000) <= 2000, "%d ms", f.oldestReportAge(8000))
}
