// Within a priority class the teams compete for what is left. Marking all calls of a heavy team as overuse
// would starve it: all its calls go before any other team loses one. So each call gets a level drawn evenly
// from nothing up to its team's use per weight. A threshold at one level then cuts every team down to the
// same use per weight, and a team below that loses nothing.
//
// The levels stand for calls a second, not for parts of this node's mean: ranks made at a node that sees only
// the heavy team must mean the same as those of a node that sees only the others.
//
// Example: seven teams send 10 calls a second, one sends 100. The levels of the seven end at that of 10; so do
// those of a tenth of the heavy team's calls. With room for 80 calls, the threshold settles there, and each of
// the eight gets 10.

package admitter

import (
	"math"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// FairnessOptions set a fairness up; zero fields take the defaults.
type FairnessOptions struct {
	// TimeConstant is the time after which a call counts for a third; default 2 s.
	TimeConstant clock.Duration
}

const (
	defaultTimeConstant = 2 * clock.Second
	// goldenFraction is the fractional part of the golden ratio: its multiples spread evenly over 0 to 1.
	goldenFraction = 0.6180339887498949
)

// Fairness measures each team's use at this node; it is not safe for concurrent use.
type Fairness struct {
	options FairnessOptions
	teams   map[identifier.Team]*teamUse
	// weights is the sum of the weights of all known teams.
	weights float64
}

type teamUse struct {
	weight float64
	recent decayingCount
	// levelPosition is the place of the last call between nothing and the team's use.
	levelPosition float64
	// share is the part of the team's calls that come in here, as last learned; zero while unknown.
	share          float64
	shareLearnedAt clock.Time
}

func (o FairnessOptions) withDefaults() FairnessOptions {
	if o.TimeConstant <= 0 {
		o.TimeConstant = defaultTimeConstant
	}
	return o
}

// NewFairness returns a fairness that knows no team.
func NewFairness(o FairnessOptions) *Fairness {
	return &Fairness{options: o.withDefaults(), teams: make(map[identifier.Team]*teamUse)}
}

// SetTeam takes a team's weight over; less than 1 counts as 1.
func (f *Fairness) SetTeam(team identifier.Team, weight int) {
	t := f.team(team)
	f.weights -= t.weight
	t.weight = float64(max(weight, 1))
	f.weights += t.weight
}

// CountCall counts a call of the team.
func (f *Fairness) CountCall(team identifier.Team, now clock.Time) {
	f.team(team).recent.add(now, f.options.TimeConstant)
}

// shareWeight is the weight of one answer in the learned share.
const shareWeight = 1.0 / 16

// LearnShare takes over, from an answer, which part of the team's calls come in here (see Shares).
func (f *Fairness) LearnShare(team identifier.Team, share uint8, now clock.Time) {
	t := f.team(team)
	reported := float64(max(share, 1)) / math.MaxUint8
	if t.share == 0 || now.Sub(t.shareLearnedAt) > f.options.TimeConstant {
		t.share = reported
	}
	t.share += shareWeight * (reported - t.share)
	t.shareLearnedAt = now
}

// Overuse returns the overuse level of the team's next call.
func (f *Fairness) Overuse(team identifier.Team, now clock.Time) uint8 {
	t := f.team(team)
	t.levelPosition += goldenFraction
	if t.levelPosition >= 1 {
		t.levelPosition--
	}
	mean := f.weights / float64(len(f.teams))
	return level(t.levelPosition * f.use(t, now) * mean / t.weight)
}

// use is the team's calls a second at all entries, by those that come in here and their part of all.
func (f *Fairness) use(t *teamUse, now clock.Time) float64 {
	entryUse := t.recent.at(now, f.options.TimeConstant) * float64(clock.Second) / float64(f.options.TimeConstant)
	if t.share == 0 || now.Sub(t.shareLearnedAt) > f.options.TimeConstant {
		return entryUse
	}
	return entryUse / t.share
}

func (f *Fairness) team(name identifier.Team) *teamUse {
	t, ok := f.teams[name]
	if !ok {
		t = &teamUse{weight: 1}
		f.weights++
		f.teams[name] = t
	}
	return t
}

const (
	// levelsPerDouble is how many levels each doubling of use takes.
	levelsPerDouble = 2
	// levelOneUse in calls a second is where level 1 begins; the highest level begins 15 doublings above it.
	levelOneUse = 0.125
)

func level(use float64) uint8 {
	if use <= levelOneUse {
		return 0
	}
	steps := 1 + levelsPerDouble*math.Log2(use/levelOneUse)
	return uint8(min(steps, identifier.MaxOveruse))
}
