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
	return Member{Node: node, DeliveryAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2", Domain: "west", Service: "portal", Incarnation: 5}
}

func TestNewerReportsReplaceOlderOnes(t *testing.T) {
	table := NewTable("a", "west", 1)
	assert.Assert(t, table.Put(Report{Member: member("b"), Number: 2, Excess: 0.2}, member("b"), 1000))
	assert.Assert(t, !table.Put(Report{Member: member("b"), Number: 1, Excess: 0.1}, member("b"), 1100))
	again := member("b")
	again.Incarnation = 6
	assert.Assert(t, table.Put(Report{Member: again, Number: 1, Excess: 0.3}, again, 1200))
	reports := table.Reports(1200)
	assert.Equal(t, len(reports), 1)
	assert.Equal(t, reports[0].Excess, 0.3)
}

// The age of a forwarded report counts from its creation. If it counted from the arrival, a dead node would look alive for
// as long as other nodes forward its last report.
func TestAgeCountsFromReportCreation(t *testing.T) {
	table := NewTable("a", "west", 1)
	table.Put(Report{Member: member("b"), Number: 1, Age: 3000}, member("b"), 10000)
	age, ok := table.Age("b", 10500)
	assert.Assert(t, ok)
	assert.Equal(t, age, clock.Duration(3500))
	assert.Equal(t, len(table.Reports(10500)), 1)
	assert.Equal(t, len(table.Reports(18000)), 0)
}

// Several nodes, including their collector, are suspended and resume together. Their clocks stood still, so without
// AddElapsed their last reports of each other look fresh, and they would keep exchanging reports only among themselves.
func TestResumedNodeSearchesForPeers(t *testing.T) {
	members := map[identifier.Node]Member{"a": member("a"), "b": member("b"), "c": member("c")}
	table := NewTable("a", "west", 1)
	table.Put(Report{Member: member("b"), Number: 1}, member("b"), 1000)
	assert.Equal(t, table.Next(members, 1000), identifier.Node("a"))
	table.AddElapsed(3000)
	assert.Assert(t, table.Next(members, 1000) != "a")
	age, _ := table.Age("b", 1000)
	assert.Equal(t, age, clock.Duration(3000))
}

// The collector dies. Nodes that kept asking it would have no reports of each other until it is back.
func TestNextSkipsFailedNodes(t *testing.T) {
	members := map[identifier.Node]Member{"a": member("a"), "b": member("b"), "c": member("c")}
	table := NewTable("c", "west", 1)
	assert.Equal(t, table.Next(members, 0), identifier.Node("a"))
	table.RecordFailure("a", 0)
	assert.Equal(t, table.Next(members, 10), identifier.Node("b"))
	table.RecordFailure("b", 10)
	assert.Equal(t, table.Next(members, 20), identifier.Node("c"))
	assert.Equal(t, table.Next(members, clock.Time(minBackoff)+1), identifier.Node("a"))
	// A failed node is skipped among nodes with fresh reports as well, and this node itself may come first.
	table.Put(Report{Member: member("a"), Number: 1}, member("a"), 4000)
	table.Put(Report{Member: member("b"), Number: 1}, member("b"), 4000)
	assert.Equal(t, table.Next(members, 4001), identifier.Node("a"))
	table.RecordFailure("a", 4001)
	assert.Equal(t, table.Next(members, 4002), identifier.Node("b"))
	table.RecordFailure("b", 4002)
	assert.Equal(t, table.Next(members, 4003), identifier.Node("c"))
}

func TestReportsRoundTripThroughCodec(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := Report{
			Member: Member{
				Node:            identifier.Node(rapid.StringN(1, 20, 20).Draw(t, "node")),
				DeliveryAddress: "10.0.0.1:1",
				PeerAddress:     "10.0.0.1:2",
				Endpoint:        identifier.Endpoint(rapid.StringN(0, 60, 255).Draw(t, "endpoint")),
				Slots:           rapid.IntRange(0, 1000).Draw(t, "slots"),
				State:           State(rapid.IntRange(0, 2).Draw(t, "state")),
				Incarnation:     rapid.Int64Range(0, maxCount).Draw(t, "incarnation"),
				Sequence:        rapid.Int64Range(0, maxCount).Draw(t, "sequence"),
			},
			Number: rapid.Int64().Draw(t, "number"),
			Excess: 0.5, Load: 40, NestedTime: 12, RootTime: 7,
			Demand: map[identifier.Team]float64{"parish": 2.5},
			Calls:  map[identifier.Route]map[identifier.Route]float64{"order": {"hours": 4}, "": {}},
		}
		question := Question{Report: in, Since: Cursor{Table: 7, Change: rapid.Uint64().Draw(t, "change")}}
		data, err := EncodeQuestion(question)
		assert.NilError(t, err)
		asked, err := DecodeQuestion(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, asked, question)
		brief := in
		brief.Compact, brief.Member = true, Member{Node: in.Member.Node}
		answer := Answer{Cursor: question.Since, Reports: []Report{in, brief}}
		data, err = EncodeAnswer(answer)
		assert.NilError(t, err)
		out, err := DecodeAnswer(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, out, answer)
	})
}

// Arbitrary bytes from the network must give an error, never a panic or a member without an address.
func FuzzDecodeAnswer(f *testing.F) {
	full := Report{Member: member("b"), Number: 1, Demand: map[identifier.Team]float64{"x": 1}}
	good, err := EncodeAnswer(Answer{Reports: []Report{full, {Compact: true, Member: Member{Node: "c"}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte{})
	f.Add([]byte{0x9f})
	f.Add(good[:len(good)-3])
	f.Fuzz(func(t *testing.T, data []byte) {
		if q, err := DecodeQuestion(data); err == nil && (q.Report.Compact || q.Report.Member.DeliveryAddress == "") {
			t.Fatalf("decoded an invalid question: %+v", q)
		}
		answer, err := DecodeAnswer(data)
		if err != nil {
			return
		}
		for _, r := range answer.Reports {
			if r.Member.Node == "" || !r.Compact && r.Member.DeliveryAddress == "" || r.Age < 0 || r.Excess < 0 || r.Excess > 1 {
				t.Fatalf("decoded an invalid report: %+v", r)
			}
		}
	})
}

// answerAndSize returns a table's answer to node n00 since a cursor, and its encoded size in bytes.
func answerAndSize(t testing.TB, table *Table, since Cursor, now clock.Time) (Answer, int) {
	t.Helper()
	a := table.Answer("n00", since, now)
	data, err := EncodeAnswer(a)
	assert.NilError(t, err)
	return a, len(data)
}

// putReports stores a report of each node, with the demand of two teams.
func putReports(table *Table, nodes int, number int64, now clock.Time) {
	for i := range nodes {
		m := member(identifier.Node(fmt.Sprintf("n%02d", i)))
		m.Endpoint = "i-0123456789"
		table.Put(Report{
			Member: m, Number: number, Excess: 0.1, NestedTime: 60, Load: 40,
			Demand: map[identifier.Team]float64{"parish-1": 3.5, "parish-2": 4.25},
			Calls:  map[identifier.Route]map[identifier.Route]float64{"browse": {"desk": 1, "clock": 4}},
		}, m, now)
	}
}

// In an idle fleet of 88 nodes every node asks twice a second for changed reports, and every byte between failure domains
// costs money. Guards against members whose record has not changed being sent in full each time: a full answer has about
// 12 kB here, one with compact reports about 7 kB. With the demands of 87 teams full answers can have 82 kB, and that
// traffic costs more than all requests do.
func TestReportsOfKnownMembersAreCompact(t *testing.T) {
	table := NewTable("n50", "west", 1)
	putReports(table, 88, 1, 1000)
	first, whole := answerAndSize(t, table, Cursor{}, 1000)
	assert.Equal(t, len(first.Reports), 87)
	putReports(table, 88, 2, 1500)
	second, brief := answerAndSize(t, table, first.Cursor, 1500)
	assert.Equal(t, len(second.Reports), 87)
	t.Logf("first answer has %d bytes, second one with compact reports %d", whole, brief)
	assert.Assert(t, brief < whole*7/10, "compact answer has %d bytes of %d, expected less than 70 percent", brief, whole)
	none, empty := answerAndSize(t, table, second.Cursor, 1600)
	assert.Equal(t, len(none.Reports), 0)
	assert.Assert(t, empty < 32)
}

// The asked node has restarted, or the asking node has dropped a member, which makes earlier cursors and records invalid.
// If they were still used, a member's record would be missing for as long as it does not change.
func TestCompactReportsNeedAKnownMember(t *testing.T) {
	asked, asking := NewTable("a", "west", 1), NewTable("n00", "west", 2)
	putReports(asked, 3, 1, 1000)
	reports := asking.AcceptAnswer("a", asked.Answer("n00", asking.QuestionFor(member("a"), Report{}, 0).Since, 1000))
	assert.Equal(t, len(reports), 2)
	for _, r := range reports {
		asking.Put(r, member("a"), 1000)
	}
	asking.Drop("n01")
	putReports(asked, 3, 2, 1500)
	reports = asking.AcceptAnswer("a", asked.Answer("n00", asking.QuestionFor(member("a"), Report{}, 0).Since, 1500))
	assert.Equal(t, len(reports), 1)
	assert.Equal(t, reports[0].Member.Endpoint, identifier.Endpoint("i-0123456789"))
	// The missing record has reset the cursor, so the next answer holds all reports.
	reports = asking.AcceptAnswer("a", asked.Answer("n00", asking.QuestionFor(member("a"), Report{}, 0).Since, 1600))
	assert.Equal(t, len(reports), 2)
	again := NewTable("a", "west", 3)
	putReports(again, 3, 3, 2000)
	reports = asking.AcceptAnswer("a", again.Answer("n00", asking.QuestionFor(member("a"), Report{}, 0).Since, 2000))
	assert.Equal(t, len(reports), 2)
	assert.Assert(t, !reports[0].Compact && reports[0].Member.DeliveryAddress != "")
}

// A failure domain with many nodes is partitioned, and its nodes come first by name. A node that asks them in turn must
// reach a living node before the first backoff ends. Otherwise the rest of the fleet gets no reports, and rates and
// refusals stay unchanged until the partition heals.
func TestNextSkipsManyDeadNodes(t *testing.T) {
	members := map[identifier.Node]Member{"z-self": member("z-self"), "y-alive": member("y-alive")}
	for i := range 20 {
		name := identifier.Node(fmt.Sprintf("a-%02d", i))
		members[name] = member(name)
	}
	table := NewTable("z-self", "west", 1)
	now := clock.Time(0)
	for asked := 0; ; asked++ {
		assert.Assert(t, asked < 40, "living node not reached with 40 questions")
		node := table.Next(members, now)
		if node == "y-alive" {
			break
		}
		table.RecordFailure(node, now)
		now += 400
	}
	table.Put(Report{Member: member("y-alive"), Number: 1}, member("y-alive"), now)
	assert.Equal(t, table.Next(members, now+2000), identifier.Node("y-alive"))
}

// An answer clears a node's backoff, so that it is asked again at once.
func TestAnswerClearsBackoff(t *testing.T) {
	members := map[identifier.Node]Member{"a": member("a"), "b": member("b")}
	table := NewTable("b", "west", 1)
	table.RecordFailure("a", 0)
	table.RecordAnswer("a")
	assert.Equal(t, table.Next(members, 1), identifier.Node("a"))
}

// A limit of 0 and an unknown one are different: a restarted node knows of no limit and must not make others forget it.
func TestLimitsRoundTripThroughCodec(t *testing.T) {
	tests := map[string]Report{
		"unknown":  {},
		"none":     {Limit: Unlimited},
		"fraction": {Limit: Limited, RateLimit: 41.8},
		"zero":     {Limit: Limited},
	}
	for name, want := range tests {
		t.Run(name, func(t *testing.T) {
			want.Member = Member{Node: "a", DeliveryAddress: "d:1", PeerAddress: "p:1", Endpoint: "i-1", Started: 1_700_000_000_123, Left: true, Stopping: true}
			data, err := EncodeQuestion(Question{Report: want})
			assert.NilError(t, err)
			got, err := DecodeQuestion(data)
			assert.NilError(t, err)
			assert.Equal(t, got.Report.Limit, want.Limit)
			assert.Equal(t, got.Report.RateLimit, want.RateLimit)
			assert.Equal(t, got.Report.Member, want.Member)
		})
	}
}
