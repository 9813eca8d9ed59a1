// Within a priority class the teams compete for what is left. Marking all calls of a heavy team as overuse
// would starve it: all its calls go before any other team loses one. So each call gets a level drawn evenly
// from nothing up to its team's use per weight. A threshold at one level then cuts every team down to the
// same use per weight, and a team below that loses nothing.
//
// Example: seven teams use 1, one uses 10. Calls of the seven get levels up to that of use 1, of the heavy
// team one tenth of the calls too; at a threshold there, each of the eight gets 1.

package admitter

import (
	"math"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// FairnessOptions set a fairness up; zero fields take the defaults.
type FairnessOptions struct {
	// Memory is the time after which a call counts for a third; default 2 s.
	Memory clock.Duration
}

const (
	defaultMemory = 2 * clock.Second
	// idleMemories is after how many memories without a call a team no longer counts as active.
	idleMemories = 3
	// sweep is how many teams each call looks at, to find those that have become idle.
	sweep = 2
	// golden is the fractional part of the golden ratio: its multiples spread evenly over 0 to 1.
	golden = 0.6180339887498949
)

// Fairness measures each team's use at this node against its fair share; it is not safe for concurrent use.
type Fairness struct {
	options FairnessOptions
	index   map[identifier.Team]int
	teams   []teamUse
	hand    int
	// total is the use of all teams, and weight the weight of the active ones.
	total  decaying
	weight float64
}

type teamUse struct {
	weight float64
	use    decaying
	active bool
	draw   float64
}

// NewFairness returns a fairness that knows no team.
func NewFairness(o FairnessOptions) *Fairness {
	if o.Memory <= 0 {
		o.Memory = defaultMemory
	}
	return &Fairness{options: o, index: make(map[identifier.Team]int)}
}

// SetTeam takes a team's weight over; less than 1 counts as 1.
func (f *Fairness) SetTeam(team identifier.Team, weight int) {
	t := f.team(team)
	before := t.weight
	t.weight = float64(max(weight, 1))
	if t.active {
		f.weight += t.weight - before
	}
}

// Note counts a call of the team.
func (f *Fairness) Note(team identifier.Team, now clock.Time) {
	t := f.team(team)
	if !t.active {
		t.active = true
		f.weight += t.weight
	}
	t.use.add(now, f.options.Memory)
	f.total.add(now, f.options.Memory)
	f.retire(now)
}

// Overuse returns the overuse level of the team's next call.
func (f *Fairness) Overuse(team identifier.Team, now clock.Time) uint8 {
	t := f.team(team)
	t.draw += golden
	if t.draw >= 1 {
		t.draw--
	}
	return level(t.draw * f.ratio(t, now))
}

// ratio is the team's use over the mean use of the active teams, each per weight.
func (f *Fairness) ratio(t *teamUse, now clock.Time) float64 {
	total := f.total.at(now, f.options.Memory)
	if total <= 0 {
		return 0
	}
	return t.use.at(now, f.options.Memory) / t.weight * max(f.weight, 1) / total
}

// retire looks at a few teams and takes the idle ones out of the weight that shares are made of.
func (f *Fairness) retire(now clock.Time) {
	for range min(sweep, len(f.teams)) {
		f.hand = (f.hand + 1) % len(f.teams)
		t := &f.teams[f.hand]
		if t.active && now.Sub(t.use.when) > idleMemories*f.options.Memory {
			t.active = false
			f.weight -= t.weight
		}
	}
}

func (f *Fairness) team(name identifier.Team) *teamUse {
	i, ok := f.index[name]
	if !ok {
		i = len(f.teams)
		f.index[name] = i
		f.teams = append(f.teams, teamUse{weight: 1})
	}
	return &f.teams[i]
}

const (
	// fineLevels cover a use of up to fineRange times the mean in even steps; the rest is logarithmic.
	fineLevels = 24
	fineRange  = 2.0
	// coarsePerDouble is how many levels each doubling of use takes above that.
	coarsePerDouble = 2
)

func level(use float64) uint8 {
	if use < fineRange {
		return uint8(use / fineRange * fineLevels)
	}
	coarse := coarsePerDouble * math.Log2(use/fineRange)
	return uint8(min(fineLevels+coarse, identifier.MaxOveruse))
}

// decaying is a count that loses weight with time.
type decaying struct {
	count float64
	when  clock.Time
}

func (d *decaying) add(now clock.Time, memory clock.Duration) {
	d.count = d.at(now, memory) + 1
	d.when = now
}

func (d *decaying) at(now clock.Time, memory clock.Duration) float64 {
	if now == d.when {
		return d.count
	}
	return d.count * math.Exp(-float64(now.Sub(d.when))/float64(memory))
}
