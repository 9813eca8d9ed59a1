package conductor

// A team's importance goes before its route's, and among requests of equally important teams the route's counts. The
// two together are a class; under pressure whole classes are refused, the least important first.
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

// levels is how many ranks of teams and of routes are told apart.
const levels = 4

func level(rank int) int {
	return min(max(rank, 0), levels-1)
}

// classOf returns a request's class. Nested calls come first: the work that their parents have done would be lost.
func classOf(r *call) class {
	if r.nested {
		return 0
	}
	team := 0
	if r.team != nil && r.team.HasRank {
		team = level(r.team.Rank)
	}
	return class(team*levels + level(r.route.Rank))
}

// rank orders requests as they are shed: by their team, then by what they are worth for their calls, then by chance. A request
// whose chain makes 2^costLevel calls at one service counts as that many levels less important.
func (c class) rank(costLevel int, hash uint64) identifier.Rank {
	level := min(int(c%levels)+costLevel, identifier.MaxOveruse)
	return identifier.MakeRank(identifier.Priority(c/levels), uint8(level), hash)
}

// arrivals counts the root requests that arrive here, by their origin and their class.
type arrivals struct {
	counts map[origin]*throttler.Mix
	faded  clock.Time
}

// arrivalMemory is the time constant of the counts: long enough to hold a few requests of each class at a node that
// takes 20 a second, short enough to follow a shift of callers.
const arrivalMemory = 2 * clock.Second

func (a *arrivals) add(from origin, c class) {
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

// minArrivals is the faded count below which an origin is dropped; routes come and go.
const minArrivals = 0.001

// fade lets old arrivals count less; it is called every chainPeriod or later.
func (a *arrivals) fade(now clock.Time) {
	age := float64(now.Sub(a.faded)) / float64(arrivalMemory)
	a.faded = now
	keep := 1 / (1 + max(0, age))
	for from, m := range a.counts {
		total := 0.0
		for c := range m {
			m[c] *= keep
			total += m[c]
		}
		if total < minArrivals {
			delete(a.counts, from)
		}
	}
}

const (
	// teamWorth and routeWorth are by how much a request is worth less for each level of its team and of its route. A team's
	// level goes before all that routes and chains make up.
	teamWorth  = 1.0 / 1024
	routeWorth = 1.0 / 2
)

// worth is what a request of the class is worth for one of its calls at a service where it makes 2^costLevel, 1 for the most
// important with one call.
func (c class) worth(costLevel int) float64 {
	return math.Pow(teamWorth, float64(c/levels)) * math.Pow(routeWorth, float64(c%levels)) / math.Exp2(float64(costLevel))
}
