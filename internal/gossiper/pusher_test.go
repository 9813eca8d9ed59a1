package gossiper

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Another domain pushes its changes to only some of the relays. If these passed a change on only once, a relay that
// lost that message would use an endpoint that left until the next comparison of tables.
func TestRelaysRepeatRemoteChangesToEachOther(t *testing.T) {
	g := newTestGossiper("a", "b")
	assert.Assert(t, g.IsRelay())
	left := testMember("far", Left)
	left.Domain = "east"
	pushed := map[identifier.Node]int{}
	count := func(effects []Effect) {
		for _, e := range effects {
			s, ok := e.(Send)
			if !ok {
				continue
			}
			if m, ok := s.Message.(Members); ok && m.Domain == "east" && len(m.Members) > 0 {
				pushed[s.To]++
			}
		}
	}
	count(g.Receive("relayOfEast", Members{Domain: "east", Members: []Member{left}}, 200))
	for now := clock.Time(300); now < 1500; now = now.Add(TickInterval) {
		count(g.Tick(now))
	}
	assert.DeepEqual(t, pushed, map[identifier.Node]int{"a": pushCopies, "b": pushCopies})
}
