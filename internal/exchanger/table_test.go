package exchanger

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

func member(node identifier.Node) Member {
	return Member{Node: node, Deliver: "10.0.0.1:1", Peer: "10.0.0.1:2", Domain: "west", Service: "portal", Incarnation: 5}
}

func TestNewerReportsReplaceOlderOnes(t *testing.T) {
	table := NewTable("a")
	assert.Assert(t, table.Put(Report{Member: member("b"), Number: 2, Excess: 0.2}, 1000))
	assert.Assert(t, !table.Put(Report{Member: member("b"), Number: 1, Excess: 0.1}, 1100))
	again := member("b")
	again.Incarnation = 6
	assert.Assert(t, table.Put(Report{Member: again, Number: 1, Excess: 0.3}, 1200))
	r, ok := table.Report("b")
	assert.Assert(t, ok)
	assert.Equal(t, r.Excess, 0.3)
}

// A report that has come a long way round is as old as when it was made. Counted from its arrival, a node that died
// would look alive for as long as others pass its last report on.
func TestAgeCountsFromTheMaking(t *testing.T) {
	table := NewTable("a")
	table.Put(Report{Member: member("b"), Number: 1, Age: 3000}, 10000)
	age, ok := table.Age("b", 10500)
	assert.Assert(t, ok)
	assert.Equal(t, age, clock.Duration(3500))
	assert.Equal(t, len(table.Reports(10500)), 1)
	assert.Equal(t, len(table.Reports(18000)), 0)
}

// Some nodes are suspended, among them the one that all ask, and wake together. Its last reports look new to it and to
// them, since their clocks stood still, and they would go on hearing only of each other.
func TestWokenNodeLooksForOthers(t *testing.T) {
	members := map[identifier.Node]Member{"a": member("a"), "b": member("b"), "c": member("c")}
	table := NewTable("a")
	table.Put(Report{Member: member("b"), Number: 1}, 1000)
	assert.Equal(t, table.Next(members, 1000), identifier.Node("a"))
	table.Elapse(3000)
	assert.Assert(t, table.Next(members, 1000) != "a")
	age, _ := table.Age("b", 1000)
	assert.Equal(t, age, clock.Duration(3000))
}

// The node that everybody asks dies. Nodes that kept asking it would know nothing of each other until it is back.
func TestNextPassesOverFailedNodes(t *testing.T) {
	members := map[identifier.Node]Member{"a": member("a"), "b": member("b"), "c": member("c")}
	table := NewTable("c")
	assert.Equal(t, table.Next(members, 0), identifier.Node("a"))
	table.Failed("a", 0)
	assert.Equal(t, table.Next(members, 10), identifier.Node("b"))
	table.Failed("b", 10)
	assert.Equal(t, table.Next(members, 20), identifier.Node("c"))
	assert.Equal(t, table.Next(members, clock.Time(avoidFirst)+1), identifier.Node("a"))
	// Among nodes that are heard of, a failed one is passed over as well, and this node may be the first.
	table.Put(Report{Member: member("a"), Number: 1}, 4000)
	table.Put(Report{Member: member("b"), Number: 1}, 4000)
	assert.Equal(t, table.Next(members, 4001), identifier.Node("a"))
	table.Failed("a", 4001)
	assert.Equal(t, table.Next(members, 4002), identifier.Node("b"))
	table.Failed("b", 4002)
	assert.Equal(t, table.Next(members, 4003), identifier.Node("c"))
}

func TestReportsSurviveTheirCodec(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := Report{
			Member: Member{
				Node:        identifier.Node(rapid.StringN(1, 20, 20).Draw(t, "node")),
				Deliver:     "10.0.0.1:1",
				Peer:        "10.0.0.1:2",
				Endpoint:    identifier.Endpoint(rapid.String().Draw(t, "endpoint")),
				Slots:       rapid.IntRange(0, 1000).Draw(t, "slots"),
				State:       State(rapid.IntRange(0, 2).Draw(t, "state")),
				Incarnation: rapid.Int64().Draw(t, "incarnation"),
				Sequence:    rapid.Int64().Draw(t, "sequence"),
			},
			Number: rapid.Int64().Draw(t, "number"),
			Excess: 0.5, Load: 40, Pace: 12,
			Demand: map[identifier.Team]float64{"parish": 2.5},
			Calls:  map[identifier.Service]float64{"clock": 4},
		}
		data, err := EncodeReports([]Report{in})
		assert.NilError(t, err)
		out, err := DecodeReports(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, out, []Report{in})
	})
}

// Bytes from the network may be anything; they must give an error, never a panic or a member without an address.
func FuzzDecodeReports(f *testing.F) {
	good, err := EncodeReports([]Report{{Member: member("b"), Number: 1, Demand: map[identifier.Team]float64{"x": 1}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte{})
	f.Add([]byte{0x9f})
	f.Add(good[:len(good)-3])
	f.Fuzz(func(t *testing.T, data []byte) {
		reports, err := DecodeReports(data)
		if err != nil {
			return
		}
		for _, r := range reports {
			if r.Member.Node == "" || r.Member.Deliver == "" || r.Age < 0 || r.Excess < 0 || r.Excess > 1 {
				t.Fatalf("taken: %+v", r)
			}
		}
	})
}

// A failure domain with many nodes is cut off, and its nodes come first by name. Whoever asks them one after the other must
// get past them before the first is asked again, or the rest of the fleet never hears of itself: rates and refusals
// would stand still for as long as the cut lasts.
func TestManyDeadNodesArePassedOver(t *testing.T) {
	members := map[identifier.Node]Member{"z-self": member("z-self"), "y-alive": member("y-alive")}
	for i := range 20 {
		name := identifier.Node(fmt.Sprintf("a-%02d", i))
		members[name] = member(name)
	}
	table := NewTable("z-self")
	now := clock.Time(0)
	for asked := 0; ; asked++ {
		assert.Assert(t, asked < 40, "the living node is not asked")
		node := table.Next(members, now)
		if node == "y-alive" {
			break
		}
		table.Failed(node, now)
		now += 400
	}
	table.Put(Report{Member: member("y-alive"), Number: 1}, now)
	assert.Equal(t, table.Next(members, now+2000), identifier.Node("y-alive"))
}

// A node that answers again is asked as before.
func TestAnsweredNodeIsNotAvoided(t *testing.T) {
	members := map[identifier.Node]Member{"a": member("a"), "b": member("b")}
	table := NewTable("b")
	table.Failed("a", 0)
	table.Answered("a")
	assert.Equal(t, table.Next(members, 1), identifier.Node("a"))
}
