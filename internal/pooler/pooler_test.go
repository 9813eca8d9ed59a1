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
		"small over many":           {13, 88, true},
		"large over many":           {400, 88, false},
		"large over few":            {60, 14, false},
		"small over few":            {20, 14, true},
		"one node, no other to ask": {2, 1, false},
		"no limit":                  {0, 88, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, newPooler(test.rate, test.rate).Pools(team, test.nodes), test.want)
		})
	}
	assert.Assert(t, !New(tolerance, -60000).Pools("unknown", 88))
}

// A bucket that was taken over holds almost nothing, and one in continuous use fills up to the burst. A burst granted
// again after each failure of a node would be at the cost of other teams.
func TestBucketTakenOverIsNearlyEmpty(t *testing.T) {
	p := newPooler(20, 20)
	assert.Equal(t, drain(p, 1, 1000), initialTokens)
	// One second at a time, so that the bucket does not count as taken over again.
	for now := clock.Time(2000); now < 6000; now += 1000 {
		assert.Equal(t, drain(p, 1, now), 20)
	}
	// Idle for longer than it takes nodes to turn to another node: taken over again.
	assert.Equal(t, drain(p, 1, 60000), initialTokens)
}

// A node that receives the reports of a quarter of the fleet grants a quarter of the rate: the rest may be serving on
// the other side of a partition.
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

// A node cannot reach the bucket. Its first request of a team within its rate is admitted, and the next ones wait until
// the node with the bucket has detected the silence; a team that was refused a moment ago waits from the first request
// on.
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

	// After a kill of all nodes none may admit a request of its own because the others are missing.
	p = New(tolerance, 0)
	p.SetTeam(team, 88, 88)
	assert.Assert(t, !p.TakeFallback(team, 88, 1000).Allowed)
}

// Nodes fail and join. Only the teams whose bucket was at a failed node get another one, and the buckets are spread
// over the nodes: one node with all buckets would have to answer thousands of token requests a second.
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
		assert.Assert(t, n >= 5 && n <= 45, "%s has %d of 400 buckets", node, n)
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
