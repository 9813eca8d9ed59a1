package gossiper

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a panic when the last VM of a failure domain is stopped as planned and its node has no peers left: it
// would end the process and break the connections of uploads in progress.
func TestLastNodeOfDomainLeaves(t *testing.T) {
	g := New(Options{
		Self: Member{Node: "ice-1.1", Domain: "mombetsu", Address: "127.0.0.1:1", Incarnation: 1},
		Rand: rand.New(rand.NewPCG(1, 2)),
	})
	g.Tick(100)
	effects := g.Leave(200)
	assert.DeepEqual(t, effects, []Effect{
		MembersChanged{Domain: "mombetsu"},
		Append{Record: Departed{Node: "ice-1.1", Domain: "mombetsu"}},
	})
}
