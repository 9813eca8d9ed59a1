package conductor

// A team's rank takes precedence over the rank of the route; among teams of equal rank, the route's rank decides. The
// two together form a class. Under overload whole classes are refused, the least important first.
//
// Example: team 1 and route 2 are class 6, team 1 and route 0 class 4, team 0 and route 3 class 3.

import (
	"math"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/throttler"
)

// class is the importance of a root request; 0 is the most important.
type class int

// rankLevels is the number of distinct ranks of teams and of routes.
const rankLevels = identifier.RankLevels

func rankLevel(rank int) int {
	return min(max(rank, 0), rankLevels-1)
}

// classOf returns a request's class. Nested calls are most important: refusing one wastes the work of its parent.
func classOf(r *call) class {
	if r.nested {
		return 0
	}
	team := 0
	if r.team != nil && r.team.HasRank {
		team = rankLevel(r.team.Rank)
	}
	return class(team*rankLevels + rankLevel(r.route.Rank))
}

// rank returns the shedding order of a request: by team, then by worth per call, then random. A request whose chain
// makes 2^costLevel calls at one service counts as that many levels less important.
func (c class) rank(costLevel int, hash uint64) identifier.Rank {
	level := min(int(c%rankLevels)+costLevel, identifier.MaxOveruse)
	return identifier.MakeRank(identifier.Priority(c/rankLevels), uint8(level), hash)
}

// leastRank is the rank of a request that is admitted whatever the importance of its kind: only the rank of its team counts.
func (c class) leastRank(hash uint64) identifier.Rank {
	return identifier.MakeRank(identifier.Priority(c/rankLevels), 0, hash)
}

// arrivalCounts counts the root requests that arrive at this node, by origin and class, with exponential decay.
type arrivalCounts struct {
	timeConstant clock.Duration
	counts       map[origin]*throttler.Mix
	decayedAt    clock.Time
}

// arrivalTimeConstant is the time constant of the exponential decay: long enough to cover a few requests of each class
// at a node that takes 20 a second, short enough to follow a shift of callers.
const arrivalTimeConstant = 2 * clock.Second

func (a *arrivalCounts) add(from origin, c class) {
	if a.counts == nil {
		a.counts = map[origin]*throttler.Mix{}
	}
	m, ok := a.counts[from]
	if !ok {
		m = &throttler.Mix{}
		a.counts[from] = m
	}
	m[c]++
}

// remove takes back a number of arrivals, as far as they are still counted.
func (a *arrivalCounts) remove(from origin, c class, n float64) {
	if m, ok := a.counts[from]; ok {
		m[c] = max(0, m[c]-n)
	}
}

// minArrivalCount is the decayed count below which an origin is dropped, because routes come and go.
const minArrivalCount = 0.001

// decay reduces the weight of old arrivals; it is called once for each plan.
func (a *arrivalCounts) decay(now clock.Time) {
	age := float64(now.Sub(a.decayedAt)) / float64(a.timeConstant)
	a.decayedAt = now
	keep := 1 / (1 + max(0, age))
	for from, m := range a.counts {
		total := 0.0
		for c := range m {
			m[c] *= keep
			total += m[c]
		}
		if total < minArrivalCount {
			delete(a.counts, from)
		}
	}
}

// routeLevelFactor is the factor by which each level of the route's rank reduces a request's worth.
const routeLevelFactor = 1.0 / 2

// worth returns the worth of a request of the class per unit of cost at a service where it costs 2^costLevel units; it is 1
// for the most important route with one unit. The rank of the team is not part of it, since it precedes the worth.
func (c class) worth(costLevel int) float64 {
	return math.Pow(routeLevelFactor, float64(c%rankLevels)) / math.Exp2(float64(costLevel))
}
