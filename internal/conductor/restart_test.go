package conductor

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

// recordBeforeRestart is the record that the node's previous process wrote.
func recordBeforeRestart(c *Conductor, state exchanger.State) exchanger.Member {
	m := peer("self", c.self.Service)
	m.Endpoint, m.State, m.Incarnation, m.Sequence = "i-self", state, 0, 9
	return m
}

// All nodes are killed at once and restart within a second. Their endpoints keep running, and announce themselves only
// up to 1.5 s later; without the record, two requests in five fail until then.
func TestRestartedNodeUsesItsEndpointAtOnce(t *testing.T) {
	c := newConductor("portal")
	configure(t, c, configuration(3, route("obs", "portal", matcher.Idempotent)), 0)
	p := onlyEffect[Publish](t, c.Apply(MemberLearned{Member: recordBeforeRestart(c, exchanger.Ready)}, 10))
	assert.Equal(t, p.Member.State, exchanger.Ready)
	s := onlyEffect[Send](t, c.Apply(arrival(1, "/obs/x"), 20))
	assert.Assert(t, s.Local)
	onlyEffect[Run](t, c.Apply(DeliveryArrived{ID: 2, Endpoint: "i-self", Deadline: 1000, QueueTimeout: 100}, 20))
	// The heartbeat confirms the record, so nothing is published.
	assert.Equal(t, len(announceEndpoint(c, 10, 40, false, 900)), 0)
	assert.Equal(t, len(c.Apply(Ticked{}, 3000)), 0)
	onlyEffect[Run](t, c.Apply(DeliveryArrived{ID: 3, Endpoint: "i-self", Deadline: 4000, QueueTimeout: 100}, 3000))
}

// The endpoint was lost with the node, or had left without its record being updated. It sends no heartbeat, and after
// two seconds the node must no longer rely on its record.
func TestAssumedRecordExpires(t *testing.T) {
	c := newConductor("portal")
	c.Apply(MemberLearned{Member: recordBeforeRestart(c, exchanger.Ready)}, 10)
	assert.Equal(t, onlyEffect[Publish](t, c.Apply(Ticked{}, 2225)).Member.State, exchanger.Absent)
	assert.Equal(t, onlyEffect[TurnAway](t, c.Apply(DeliveryArrived{ID: 3, Endpoint: "i-self", Deadline: 4000}, 2300)).Outcome, Moved)
}

// The endpoint had announced that it leaves. A request that reached it after the restart would be cut off when the
// endpoint ends.
func TestLeavingEndpointIsNotAssumed(t *testing.T) {
	for _, state := range []exchanger.State{exchanger.Leaving, exchanger.Absent} {
		c := newConductor("portal")
		assert.Equal(t, len(c.Apply(MemberLearned{Member: recordBeforeRestart(c, state)}, 10)), 0)
		assert.Assert(t, !c.registrar.Local().Known)
	}
}

// The time of day jumps back while the node is restarted. Its records and reports would look older than those of the
// previous process, and other nodes would suspect it until its next restart.
func TestRestartAfterClockWentBack(t *testing.T) {
	other := newConductor("desk")
	old := peer("self", "portal")
	old.Incarnation, old.Sequence = 5000, 9
	learnMembers(other, old)

	c := newConductor("portal")
	assert.Equal(t, onlyEffect[Publish](t, c.Apply(MemberLearned{Member: old}, 10)).Member.Incarnation, int64(5001))
	// The node's own record, received back, belongs to no other process.
	assert.Equal(t, len(c.Apply(MemberLearned{Member: c.Self()}, 20)), 0)
	other.Apply(MemberLearned{Member: c.Self()}, 30)
	assert.Equal(t, other.members["self"].Incarnation, int64(5001))

	// The node may learn of the previous process only from other nodes' reports.
	c = newConductor("portal")
	c.Apply(ReportsReceived{Reports: []exchanger.Report{{Member: old, Number: 70}}}, 10)
	assert.Equal(t, c.Self().Incarnation, int64(5001))
}
