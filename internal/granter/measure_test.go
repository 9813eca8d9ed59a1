// These tests measure how much of a team's rate is served. The design note quotes the figures that they log.

package granter_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/claimer"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// If a team's calls arrive at few nodes, or move between nodes, its callers may be refused although the team is
// within its rate. Such traffic is normal, so at least 95% of the rate must be served while everything is healthy.
func TestSkewedTrafficIsServedUpToItsRate(t *testing.T) {
	one := func(f *fleet, team identifier.Team, load, _ int64) { f.setLoad(team, load) }
	two := func(f *fleet, team identifier.Team, load, _ int64) { f.setLoad(team, (load+1)/2, 0, (load+1)/2) }
	nodes := func(f *fleet, team identifier.Team, load, second int64) {
		l := make([]int64, 2)
		l[second%2] = load
		f.setLoad(team, l...)
	}
	domains := func(f *fleet, team identifier.Team, load, second int64) {
		l := make([]int64, 8)
		l[second*2%8] = load
		f.setLoad(team, l...)
	}
	even := func(f *fleet, team identifier.Team, load, _ int64) {
		l := make([]int64, 8)
		for i := range l {
			l[i] = load / 8
		}
		f.setLoad(team, l...)
	}
	tables := map[string]func(*fleet, identifier.Team, int64, int64){
		"oneNode": one, "twoDomains": two, "moveNodes": nodes, "moveDomains": domains, "even": even,
	}
	const warmUp, seconds = 5, 30
	for name, spread := range tables {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, percent := range []int64{95, 300} {
				f := newFleet(1, 4, 2, false)
				f.run(6000)
				var sent, appends int
				for s := range int64(warmUp + seconds) {
					if s == warmUp {
						// The initial burst is used up by now and doesn't distort the ratio.
						f.oracle.resetCounts()
						sent, appends = f.sent(), f.appends
					}
					for _, team := range f.teams {
						spread(f, team.Name, max(1, int64(team.Rate)/1000*percent/100), s)
					}
					f.run(1000)
				}
				for _, team := range f.teams {
					b := f.oracle[team.Name]
					entitled := min(b.offered, int(team.Rate)*seconds/1000)
					if entitled == 0 {
						continue // the load is below one call a second at each node
					}
					ratio := float64(b.served) / float64(entitled)
					t.Logf("%s load %d%% %s: served ÷ entitled %.3f", name, percent, team.Name, ratio)
					assert.Check(t, ratio >= 0.95, "team %s at %d%% load: served ÷ entitled is %.3f, below the required ratio", team.Name, percent, ratio)
				}
				t.Logf("%s load %d%%: %.0f messages per node and second, %.2f appends per second", name, percent,
					float64(f.sent()-sent)/8/seconds, float64(f.appends-appends)/seconds)
				assert.DeepEqual(t, f.faults, []string(nil))
			}
		})
	}
}

// The platform's log accepts several hundred appends a second in all; claims that needed many of them would delay
// operators' changes.
func TestClaimsNeedFewAppends(t *testing.T) {
	t.Parallel()
	f := newFleet(1, 4, 3, false)
	f.claimsOnly = true
	f.run(20_000)
	start := f.appends
	f.run(720_000)
	t.Logf("%d claims: %d appends at the start, %d in 720 s", len(f.claimNames), start, f.appends-start)
	assert.Check(t, start <= 2*len(f.claimNames))
	assert.Check(t, f.appends-start <= 2*len(f.claimNames))
}

// A fault may cost a team a part of its rate, but never all of it. The lower bounds are documented to operators;
// lowering one changes what users were promised.
func TestRateServedUnderFaults(t *testing.T) {
	tables := map[string]struct {
		floor float64
		fault func(f *fleet, second int)
	}{
		"none":         {0.99, func(*fleet, int) {}},
		"holder dies":  {0.93, func(f *fleet, s int) { f.inThirdSecond(s, func() { f.replace(f.holderOf("rates/alfa/0")) }) }},
		"holder stops": {0.95, func(f *fleet, s int) { f.inThirdSecond(s, func() { f.leave(f.holderOf("rates/alfa/0")) }) }},
		"log down":     {0.99, func(f *fleet, s int) { f.logDown = s < 30 }},
		"domain cut off": {0.99, func(f *fleet, s int) {
			f.inThirdSecond(s, func() {
				f.partitionedFromLog["alfa"] = true
				for _, d := range f.domains[1:] {
					f.partitions[[2]string{"alfa", string(d.Domain)}] = true
					f.partitions[[2]string{string(d.Domain), "alfa"}] = true
				}
			})
		}},
		"5% lost": {0.90, func(f *fleet, _ int) { f.loss = 50 }},
		"holder paused past its lease": {0.95, func(f *fleet, s int) {
			f.inThirdSecond(s, func() { f.holderOf("rates/alfa/0").pausedUntil = f.now + 15_000 })
		}},
		"log down and holder dies": {0.80, func(f *fleet, s int) {
			f.logDown = s < 30
			f.inThirdSecond(s, func() { f.replace(f.holderOf("rates/alfa/0")) })
		}},
	}
	for name, c := range tables {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(1, 4, 3, false)
			f.run(20_000)
			f.oracle.resetCounts()
			for s := range 40 {
				c.fault(f, s)
				for _, team := range f.teams {
					loads := make([]int64, len(f.nodes))
					for i := range loads {
						loads[i] = int64(team.Rate) / 1000 * 95 / 100 / int64(len(loads))
					}
					f.setLoad(team.Name, loads...)
				}
				f.run(1000)
			}
			for _, team := range []identifier.Team{"large", "tight"} {
				b := f.oracle[team]
				ratio := float64(b.served) / float64(b.offered)
				t.Logf("%s, %s: served ÷ entitled %.3f", name, team, ratio)
				assert.Check(t, ratio >= c.floor, "team %s: served ÷ entitled is %.3f, below the required ratio", team, ratio)
			}
			assert.DeepEqual(t, f.faults, []string(nil))
		})
	}
}

// inThirdSecond runs do if second, which counts from 0, is 2.
func (f *fleet) inThirdSecond(second int, do func()) {
	if second == 2 {
		do()
	}
}

func (f *fleet) holderOf(name claimer.Name) *node {
	return f.node(f.withAuthority(name)[0])
}

func (f *fleet) replace(n *node) {
	f.kill(n)
	f.add(n.domain)
}

func (f *fleet) sent() (sum int) {
	for _, n := range f.nodes {
		sum += n.sent
	}
	return sum
}
