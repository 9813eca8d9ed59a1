// Little of a team's rate may be lost on the way. The figures that these tests print are those of the design note.

package granter_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// An end user of a team whose calls come in at few nodes, or move, is refused although the team is within its rate.
// That is the ordinary day, so at least 95% of the rate must be served while all is healthy.
func TestSkewedTrafficGetsItsRate(t *testing.T) {
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
			for _, percent := range []int64{95, 300} {
				f := newFleet(1, 4, 2, false)
				f.run(6000)
				var sent, appends int
				for s := range int64(warmUp + seconds) {
					if s == warmUp {
						// The burst of the beginning is used up by now, so it doesn't flatter the ratio.
						f.oracle.forget()
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
						continue // too few calls for a part of one at each node
					}
					ratio := float64(b.served) / float64(entitled)
					t.Logf("%s load %d%% %s: served ÷ entitled %.3f", name, percent, team.Name, ratio)
					assert.Check(t, ratio >= 0.95, "%s at %d%%: %.3f", team.Name, percent, ratio)
				}
				t.Logf("%s load %d%%: %.0f messages per node and second, %.2f appends per second", name, percent,
					float64(f.sent()-sent)/8/seconds, float64(f.appends-appends)/seconds)
				assert.DeepEqual(t, f.faults, []string(nil))
			}
		})
	}
}

func (f *fleet) sent() (sum int) {
	for _, n := range f.nodes {
		sum += n.sent
	}
	return sum
}
