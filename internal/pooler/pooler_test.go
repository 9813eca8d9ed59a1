package pooler

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/apportioner"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const team = identifier.Team("parish")

var tolerance = apportioner.Tolerance{Window: 5, Part: 0.1, Requests: 20}

func newPooler(rate, burst float64) *Pooler {
	p := New(tolerance, -60000)
	p.SetTeam(team, rate, burst)
	return p
}

// drain takes tokens until there is none, and returns how many there were.
func drain(p *Pooler, reach float64, now clock.Time) int {
	for n := 0; ; n++ {
		if !p.Take(team, reach, now).Allowed {
			return n
		}
	}
}

func TestPools(t *testing.T) {
	tests := map[string]struct {
		rate  float64
		nodes int
		want  bool
	}{
		"small over many":       {13, 88, true},
		"large over many":       {400, 88, false},
		"large over few":        {60, 14, false},
		"small over few":        {20, 14, true},
		"one node, nobody asks": {2, 1, false},
		"no limit":              {0, 88, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, newPooler(test.rate, test.rate).Pools(team, test.nodes), test.want)
		})
	}
	assert.Assert(t, !New(tolerance, -60000).Pools("unknown", 88))
}

// A bucket that was taken over holds next to nothing, and one that is asked all the time fills up to the burst: a burst
// granted again after each loss of a node would be paid for by the other teams.
func TestBucketTakenOverIsNearlyEmpty(t *testing.T) {
	p := newPooler(20, 20)
	assert.Equal(t, drain(p, 1, 1000), initialTokens)
	// A second at a time, so that it does not count as taken over again.
	for now := clock.Time(2000); now < 6000; now += 1000 {
		assert.Equal(t, drain(p, 1, now), 20)
	}
	// Not asked for longer than it takes to turn to another node: taken over again.
	assert.Equal(t, drain(p, 1, 60000), initialTokens)
}

// A node that hears only a quarter of the fleet gives out a quarter of the rate: the rest may be serving out of its sight.
func TestReachBoundsTheRate(t *testing.T) {
	p := newPooler(20, 20)
	drain(p, 0.25, 1000)
	given := 0
	for now := clock.Time(1000); now <= 11000; now += 100 {
		given += drain(p, 0.25, now)
	}
	assert.Assert(t, given >= 49 && given <= 51, "%d", given)
}

func TestWaitEndsWhenTokenIsAvailable(t *testing.T) {
	p := newPooler(10, 10)
	drain(p, 1, 1000)
	g := p.Take(team, 1, 1000)
	assert.Equal(t, g.Wait, 100*clock.Millisecond)
	assert.Assert(t, p.Take(team, 1, 1100).Allowed)
}

// A node can't reach the bucket. Its first request of a team that kept its rate goes through, the next ones have to wait
// until the node with the bucket must have noticed; one of a team that was refused a moment ago waits at once.
func TestFallbackTokens(t *testing.T) {
	p := newPooler(88, 88)
	assert.Assert(t, p.TakeFallback(team, 88, 1000).Allowed)
	g := p.TakeFallback(team, 88, 1100)
	assert.Assert(t, !g.Allowed)
	assert.Equal(t, g.Wait, 1400*clock.Millisecond+clock.Second)
	allowed := 0
	for now := clock.Time(1200); now < 12500; now += 100 {
		if p.TakeFallback(team, 88, now).Allowed {
			allowed++
		}
	}
	assert.Equal(t, allowed, 9)

	p = newPooler(88, 88)
	p.MarkEmpty(team, 100, 900)
	assert.Assert(t, !p.TakeFallback(team, 88, 1000).Allowed)

	// All nodes were killed: none may let a request of its own through for want of the others.
	p = New(tolerance, 0)
	p.SetTeam(team, 88, 88)
	assert.Assert(t, !p.TakeFallback(team, 88, 1000).Allowed)
}

// Nodes are lost and join. Only the teams whose bucket a lost node had get another one, and the buckets are spread over
// the nodes: with all at one node it would answer thousands of questions a second.
func TestWeightSpreadsBuckets(t *testing.T) {
	holder := func(team identifier.Team, without identifier.Node) (best identifier.Node) {
		var weight uint64
		for i := range 20 {
			node := identifier.Node(fmt.Sprintf("n%02d", i))
			if w := Weight(team, node); node != without && w > weight {
				best, weight = node, w
			}
		}
		return best
	}
	held := map[identifier.Node]int{}
	for i := range 400 {
		team := identifier.Team(fmt.Sprintf("team-%d", i))
		first := holder(team, "")
		held[first]++
		if first != "n07" {
			assert.Equal(t, holder(team, "n07"), first)
		}
	}
	for node, n := range held {
		assert.Assert(t, n >= 5 && n <= 45, "%s has %d of 400", node, n)
	}
	assert.Equal(t, len(held), 20)
}

func TestFailedNodeIsAvoidedTemporarily(t *testing.T) {
	p := newPooler(10, 10)
	assert.Assert(t, !p.Avoids("a", 0))
	p.Failed("a", 1000)
	assert.Assert(t, p.Avoids("a", 1500))
	assert.Assert(t, !p.Avoids("a", 2000))
	p.Failed("a", 3000)
	p.Answered("a")
	assert.Assert(t, !p.Avoids("a", 3001))
}

func BenchmarkTake(b *testing.B) {
	p := newPooler(1e6, 1e6)
	for i := range b.N {
		p.Take(team, 1, clock.Time(i))
	}
}
