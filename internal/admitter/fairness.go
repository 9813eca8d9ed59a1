// Overuse levels share the capacity fairly among the teams of a priority class. If all calls of a heavy team had a high
// level, it would starve: all its calls would be shed before another team lost one. So the levels of a team's calls are
// spread evenly from zero up to the level of the team's call rate per weight. A threshold at one level then limits every
// team to the same rate per weight, and a team below that rate loses no calls.
//
// Levels are absolute call rates, not relative to this node's mean: a level has to mean the same at a node that
// receives only the heavy team's calls and at a node that receives only the others'.
//
// Example: seven teams send 10 calls a second, one sends 100. The calls of the seven have levels up to the one of
// 10 calls a second, as do a tenth of the heavy team's calls. With capacity for 80 calls, the threshold settles at
// that level, and each of the eight teams gets 10.

package admitter

import (
	"math"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// FairnessOptions configures a Fairness or a Shares; zero fields take the defaults.
type FairnessOptions struct {
	// TimeConstant is that of the exponential decay of the call counts: after it a call weighs 1/e; default 2 s.
	TimeConstant clock.Duration
}

const (
	defaultTimeConstant = 2 * clock.Second
	// goldenFraction is the fractional part of the golden ratio. Its multiples modulo 1 are spread evenly over 0 to 1.
	goldenFraction = 0.6180339887498949
)

// Fairness measures each team's call rate and assigns overuse levels to calls; it is not safe for concurrent use.
type Fairness struct {
	options FairnessOptions
	teams   map[identifier.Team]*teamUse
	// weights is the sum of the weights of all known teams.
	weights float64
}

type teamUse struct {
	weight float64
	recent decayingCount
	// levelPosition is where the last call's level lay between zero and the team's call rate, as a fraction.
	levelPosition float64
	// share is the smoothed fraction of the team's calls that enter at this node; zero while unknown.
	share          float64
	shareLearnedAt clock.Time
}

func (o FairnessOptions) withDefaults() FairnessOptions {
	if o.TimeConstant <= 0 {
		o.TimeConstant = defaultTimeConstant
	}
	return o
}

// NewFairness returns a Fairness without teams.
func NewFairness(o FairnessOptions) *Fairness {
	return &Fairness{options: o.withDefaults(), teams: make(map[identifier.Team]*teamUse)}
}

// SetTeam sets the weight of a team; less than 1 counts as 1.
func (f *Fairness) SetTeam(team identifier.Team, weight int) {
	t := f.team(team)
	f.weights -= t.weight
	t.weight = float64(max(weight, 1))
	f.weights += t.weight
}

// CountCall counts a call of the team that entered at this node.
func (f *Fairness) CountCall(team identifier.Team, now clock.Time) {
	f.team(team).recent.add(now, f.options.TimeConstant)
}

// shareWeight is the weight of one answer in the exponential smoothing of the share.
const shareWeight = 1.0 / 16

// LearnShare updates, from an answer, the share of the team's calls that enter at this node (see Shares).
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

// use estimates the team's calls per second at all entry nodes, as the rate at this node divided by this node's share.
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
	// levelsPerDouble is how many levels the call rate passes when it doubles.
	levelsPerDouble = 2
	// levelOneUse is the rate in calls per second at which level 1 begins; the highest level begins 15 doublings above it.
	levelOneUse = 0.125
)

// level converts calls per second to an overuse level on a logarithmic scale.
func level(use float64) uint8 {
	if use <= levelOneUse {
		return 0
	}
	steps := 1 + levelsPerDouble*math.Log2(use/levelOneUse)
	return uint8(min(steps, identifier.MaxOveruse))
}
