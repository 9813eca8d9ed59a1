package admitter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jackdawtide/jackdawtide/internal/admitter"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// oneHeavyTeam has eight teams of equal weight. Seven send 400 calls a second each, to the nodes from firstNode on and
// most of them to firstNode; team 0 sends 4000, all to node 0. The capacity is 2000, so the fair share of each team is
// 250.
func oneHeavyTeam(nodes, firstNode int, sharesReported bool) scenario {
	entries := make([]*admitter.Fairness, nodes)
	for i := range entries {
		entries[i] = admitter.NewFairness(admitter.FairnessOptions{})
	}
	shares := admitter.NewShares(admitter.FairnessOptions{})
	name := func(team int) identifier.Team { return identifier.Team(fmt.Sprint("team", team)) }
	s := surge()
	s.seconds, s.load = 25, during(0, 25, 400*17, 0)
	s.rank = func(r *rand.Rand, now clock.Time) (identifier.Rank, origin) {
		from := origin{team: max(0, r.IntN(17)-9)}
		if from.team > 0 {
			from.node = firstNode + r.IntN(1+r.IntN(nodes-firstNode))
		}
		f := entries[from.node]
		f.CountCall(name(from.team), now)
		return identifier.MakeRank(identifier.Normal, f.Overuse(name(from.team), now), r.Uint64()), from
	}
	s.admitted = func(from origin, now clock.Time) {
		share := shares.CountCall(name(from.team), identifier.Node(fmt.Sprint(from.node)), now)
		if sharesReported {
			entries[from.node].LearnShare(name(from.team), share, now)
		}
	}
	return s
}

// One team sends ten times as many calls as each of the other teams of equal weight. Without overuse levels it takes ten
// times their share of the capacity; if all its calls have a high overuse level, it gets no share at all.
func TestEveryTeamGetsItsFairShare(t *testing.T) {
	for name, c := range map[string]struct {
		scenario               scenario
		heavy, light, maxHeavy float64
	}{
		"all at one node":               {scenario: oneHeavyTeam(1, 0, true), heavy: 0.9, light: 0.9},
		"the heavy one at its own node": {scenario: oneHeavyTeam(2, 1, true), heavy: 0.9, light: 0.9},
		"the others spread":             {scenario: oneHeavyTeam(4, 0, true), heavy: 0.9, light: 0.9},
		"the others spread widely":      {scenario: oneHeavyTeam(12, 0, true), heavy: 0.9, light: 0.9},
		// Without reported shares, the other teams' call rates are underestimated at each of their entry nodes, which costs
		// the heavy team part of its share.
		"the others spread, for contrast": {scenario: oneHeavyTeam(4, 0, false), light: 0.9, maxHeavy: 0.6},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := run(c.scenario, 1)
			share := 250 * 25.0
			worst := r.servedByTeam[1]
			for team := 1; team < 8; team++ {
				worst = min(worst, r.servedByTeam[team])
			}
			t.Logf("heavy team %.3f of its fair share, worst of the others %.3f", r.servedByTeam[0]/share, worst/share)
			assert.Assert(t, r.servedByTeam[0] >= c.heavy*share)
			assert.Assert(t, worst >= c.light*share)
			assert.Assert(t, c.maxHeavy == 0 || r.servedByTeam[0] <= c.maxHeavy*share)
		})
	}
}

// Entry nodes are replaced regularly. If a delivery node kept the counts of removed entry nodes, its memory would grow
// until the process is killed.
func TestSharesEvictIdleEntries(t *testing.T) {
	s := admitter.NewShares(admitter.FairnessOptions{})
	for i := range 20_000 {
		now := clock.Time(10 * i)
		s.CountCall("a", identifier.Node(fmt.Sprint(i/100)), now)
		s.CountCall("b", "steady", now)
	}
	assert.Assert(t, s.Len() < 20, "%d pairs known", s.Len())
	assert.Equal(t, s.CountCall("b", "steady", 200_000), uint8(255))
}

// For any rates, weights and threshold: a team may get less per weight than another team only if all its calls are
// admitted.
func TestThresholdLimitsTeamsByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := admitter.NewFairness(admitter.FairnessOptions{TimeConstant: 500})
		teams := rapid.IntRange(2, 12).Draw(t, "teams")
		rates, weights := make([]int, teams), make([]float64, teams)
		for i := range teams {
			rates[i] = rapid.SampledFrom([]int{1, 2, 5, 10, 50}).Draw(t, "calls in 10 ms")
			weights[i] = float64(rapid.IntRange(1, 4).Draw(t, "weight"))
			f.SetTeam(identifier.Team(fmt.Sprint(i)), int(weights[i]))
		}
		ranks := make([][]identifier.Rank, teams)
		hash := rand.New(rand.NewPCG(1, 1))
		for now := clock.Time(0); now < 4500; now += 10 {
			for i, rate := range rates {
				name := identifier.Team(fmt.Sprint(i))
				for range rate {
					f.CountCall(name, now)
					rank := identifier.MakeRank(identifier.Normal, f.Overuse(name, now), hash.Uint64())
					if now >= 2500 {
						ranks[i] = append(ranks[i], rank)
					}
				}
			}
		}
		threshold := identifier.MakeRank(identifier.Normal, uint8(rapid.IntRange(8, 25).Draw(t, "level")), rapid.Uint64().Draw(t, "hash"))
		served, most := make([]float64, teams), 0.0
		for i := range teams {
			for _, r := range ranks[i] {
				if r <= threshold {
					served[i]++
				}
			}
			most = max(most, served[i]/weights[i])
		}
		for i := range teams {
			entitled := min(float64(len(ranks[i])), most*weights[i])
			assert.Assert(t, served[i] >= 0.85*entitled-10, "team %d got %.0f of %.0f", i, served[i], entitled)
		}
	})
}
