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
	// answered and crossed are how many exchanges each node answered, and how many of all crossed domains.
	answered map[identifier.Node]int
	crossed  int
}

func newFleet(n int) *fleet { return newFleetOf(n, 1) }

// newFleetOf returns a fleet whose nodes are spread over failure domains in the order of their names.
func newFleetOf(n, domains int) *fleet {
	f := &fleet{
		members:  map[identifier.Node]Member{},
		tables:   map[identifier.Node]*Table{},
		answered: map[identifier.Node]int{},
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

func (f *fleet) count(node, next identifier.Node, _ Question) {
	f.answered[next]++
	if f.members[node].Domain != f.members[next].Domain {
		f.crossed++
	}
}

// play runs rounds of 500 ms from one moment to another.
func (f *fleet) play(from, to clock.Time, reach func(a, b identifier.Node) bool) {
	for now := from; now < to; now += 500 {
		f.round(now, reach)
	}
}

// oldestView returns the age of the oldest report that any node has of another one that lives.
func (f *fleet) oldestView(now clock.Time) (oldest clock.Duration) {
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

func anywhere(identifier.Node, identifier.Node) bool { return true }

func (f *fleet) round(now clock.Time, reach func(a, b identifier.Node) bool) {
	for _, node := range slices.Sorted(maps.Keys(f.tables)) {
		table := f.tables[node]
		f.number++
		own := Report{Member: f.members[node], Number: f.number}
		table.Put(own, own.Member, now)
		f.exchange(node, own, now, reach)
	}
}

func (f *fleet) exchange(node identifier.Node, own Report, now clock.Time, reach func(a, b identifier.Node) bool) {
	table := f.tables[node]
	for range len(f.tables) {
		next := table.Next(f.members, now)
		seeks := next == node
		question := Question{}
		if seeks {
			var ok bool
			if next, ok = table.Missing(f.members, now); !ok {
				return
			}
			question = table.Seek(f.members[next], own)
		} else {
			question = table.Ask(f.members[next], own, now)
		}
		if f.tables[next] != nil && reach(node, next) {
			table.Answered(next)
			f.count(node, next, question)
			for _, r := range append([]Report{own}, question.Passed...) {
				f.tables[next].Put(r, own.Member, now)
			}
			for _, r := range table.Hear(next, f.tables[next].Answer(node, question.Heard, now)) {
				table.Put(r, f.members[next], now)
			}
			return
		}
		if seeks {
			return
		}
		table.Failed(next, now)
	}
}

// All nodes start anew while a part of them can't reach the rest, as when a failure domain is cut off and the power fails.
// Each part finds a node to ask, and when the cut is over each still asks that one. The parts then know nothing of each
// other's load: half of the entry nodes sends on to a service that drowns, and callers get errors until somebody
// restarts the nodes.
func TestPartsOfAFleetFindEachOther(t *testing.T) {
	f := newFleet(12)
	side := func(node identifier.Node) bool { return node >= "n001" && node <= "n006" }
	for now := clock.Time(0); now < 8000; now += 500 {
		f.round(now, func(a, b identifier.Node) bool { return side(a) == side(b) })
	}
	assert.Assert(t, !f.tables["n003"].fresh("n008", 8000))
	for now := clock.Time(8000); now < 14000; now += 500 {
		f.round(now, func(identifier.Node, identifier.Node) bool { return true })
	}
	for node, table := range f.tables {
		for other := range f.members {
			assert.Assert(t, table.fresh(other, 14000), "%s knows nothing new of %s", node, other)
		}
	}
}

// Machines that are gone leave their records. The node that is asked looks for them in turn; the others ask it as before.
func TestSeekGoesRound(t *testing.T) {
	f := newFleet(4)
	table := f.tables["n000"]
	table.Put(Report{Member: member("n002"), Number: 1}, member("n002"), 1000)
	var sought []identifier.Node
	for range 4 {
		node, ok := table.Missing(f.members, 1000)
		assert.Assert(t, ok)
		sought = append(sought, node)
	}
	assert.DeepEqual(t, sought, []identifier.Node{"n001", "n003", "n001", "n003"})
	table.Put(Report{Member: member("n001"), Number: 1}, member("n001"), 1000)
	table.Put(Report{Member: member("n003"), Number: 1}, member("n003"), 1000)
	_, ok := table.Missing(f.members, 1000)
	assert.Assert(t, !ok)
}

// A fleet of 200 nodes must not load one node and the links between domains with every node's exchange.
func TestExchangesStayInTheirFailureDomain(t *testing.T) {
	f := newFleetOf(200, 6)
	f.play(0, 5000, anywhere)
	assert.Assert(t, f.oldestView(5000) <= 2000, "%d ms", f.oldestView(5000))
	clear(f.answered)
	f.crossed = 0
	f.play(5000, 10_000, anywhere)
	const rounds = 10
	assert.Equal(t, f.crossed, 5*rounds)
	for node, n := range f.answered {
		assert.Assert(t, n <= rounds*(200/6+1+5), "%s answers %d exchanges", node, n)
	}
	assert.Assert(t, f.oldestView(10_000) <= 2000, "%d ms", f.oldestView(10_000))
}

// Losing a collector, or the fleet's one, must not leave the others without news of each other.
func TestLossOfCollectors(t *testing.T) {
	for name, lost := range map[string][]identifier.Node{
		"a domain's":                 {"n034"},
		"the fleet's":                {"n000"},
		"both, and those after them": {"n000", "n001", "n034", "n035"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleetOf(200, 6)
			f.play(0, 5000, anywhere)
			for _, node := range lost {
				delete(f.tables, node)
			}
			for now := clock.Time(5000); now < 15_000; now += 500 {
				f.round(now, anywhere)
				assert.Assert(t, f.oldestView(now) <= 2000, "%d ms at %d", f.oldestView(now), now)
			}
		})
	}
}

// A failure domain that is cut off must keep hearing of itself, and hear of all others soon after the cut.
func TestCutFailureDomainFindsTheOthers(t *testing.T) {
	for name, cut := range map[string]identifier.FailureDomain{"the first": "domain-0", "another": "domain-3"} {
		t.Run(name, func(t *testing.T) {
			f := newFleetOf(60, 6)
			f.play(0, 5000, anywhere)
			apart := func(a, b identifier.Node) bool {
				return (f.members[a].Domain == cut) == (f.members[b].Domain == cut)
			}
			f.play(5000, 65_000, apart)
			for node, table := range f.tables {
				for other := range f.tables {
					age, _ := table.Age(other, 65_000)
					assert.Assert(t, !apart(node, other) || age <= 2000, "%s hears of %s %d ms late", node, other, age)
				}
			}
			f.play(65_000, 70_000, anywhere)
			assert.Assert(t, f.oldestView(70_000) <= 2000, "%d ms", f.oldestView(70_000))
		})
	}
}

// The collector is started anew with an empty table: its domain's nodes must be heard of elsewhere as before.
func TestRestartedCollectorsAreToldAll(t *testing.T) {
	f := newFleetOf(60, 6)
	f.play(0, 5000, anywhere)
	for _, node := range []identifier.Node{"n000", "n010"} {
		m := f.members[node]
		m.Incarnation++
		f.members[node] = m
		f.tables[node] = NewTable(node, m.Domain, 1000)
	}
	f.play(5000, 8000, anywhere)
	assert.Assert(t, f.oldestView(8000) <= 2000, "%d ms", f.oldestView(8000))
}
