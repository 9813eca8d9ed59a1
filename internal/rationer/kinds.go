package rationer

// An overloaded service refuses the kinds of requests that are worth least for the slot time that they need there. Of two
// equally important kinds, one that makes eight calls at the service is refused before one that makes a single call,
// since eight requests of the second kind can be served with the same capacity. The rank of the team precedes the worth.
//
// In a strict order the last kind would get only what all others leave: at 1.3 times the capacity, where all kinds together
// could get three quarters of their demand, it gets next to nothing for as long as the overload lasts. So a part of the
// capacity is divided between all kinds of a team rank in proportion to their demands, and only the rest by order. A kind
// still never gets a smaller part of its demand than a less important one.
//
// The order depends only on the arguments, so nodes with the same reports refuse the same kinds.
//
// Example: a capacity of 90 for demands of 60 (worth 4), 40 (worth 2) and 20 (worth 1): each kind has 0.375 of its demand for
// certain, together 45; of the rest, the first gets 37.5 and the second 7.5. Refused are 0, 0.4375 and 0.625.

import (
	"cmp"
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// leastPart is the part of an overloaded service's capacity that is divided in proportion to demand: each kind keeps half of the
// part that it would get if all kinds were refused alike. The most important ones lose nothing by it as long as they need no
// more than about half of the capacity.
const leastPart = 0.5

// Kind is the demand of one kind of requests at a service.
type Kind struct {
	// Class is the shedding class; the rank of the team in it precedes Worth.
	Class identifier.Class
	// Demand is the slot time that the requests need in each second, Worth the importance of one unit of it.
	Demand, Worth float64
}

func (k Kind) teamRank() int {
	return int(k.Class) / identifier.RankLevels
}

// compare orders kinds from the last to be refused to the first.
func compare(a, b Kind) int {
	return cmp.Or(cmp.Compare(a.teamRank(), b.teamRank()), cmp.Compare(b.Worth, a.Worth))
}

// Division is how a service divides its capacity: fractions of each kind.
type Division struct {
	// Refused are the fractions to refuse, Least those to admit whatever the importance of the kind.
	Refused, Least []float64
}

// Divide divides the capacity between kinds so that the demand of what is admitted is the capacity. Kinds that are equal in
// order are refused in equal parts.
func Divide(kinds []Kind, capacity float64) Division {
	order := make([]int, len(kinds))
	for i := range kinds {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return compare(kinds[a], kinds[b]) })
	d := Division{Refused: make([]float64, len(kinds)), Least: make([]float64, len(kinds))}
	left := max(0, capacity)
	for len(order) > 0 {
		rank := kinds[order[0]].teamRank()
		end := prefix(order, func(i int) bool { return kinds[i].teamRank() == rank })
		left -= d.divideRank(kinds, order[:end], left)
		order = order[end:]
	}
	return d
}

// divideRank divides a capacity between the kinds of one team rank, given in the order of their importance, and returns how
// much of it they use.
func (d *Division) divideRank(kinds []Kind, order []int, capacity float64) float64 {
	demand := sumOf(kinds, order)
	if demand <= capacity {
		for _, i := range order {
			d.Least[i] = 1
		}
		return demand
	}
	least, left := leastPart*capacity/demand, (1-leastPart)*capacity
	for len(order) > 0 {
		first := kinds[order[0]]
		end := prefix(order, func(i int) bool { return compare(kinds[i], first) == 0 })
		wanted := (1 - least) * sumOf(kinds, order[:end])
		got := min(wanted, left)
		for _, i := range order[:end] {
			d.Least[i] = least
			if wanted > 0 {
				d.Refused[i] = (1 - least) * (1 - got/wanted)
			}
		}
		left -= got
		order = order[end:]
	}
	return capacity
}

// prefix returns how many of the first elements satisfy a condition.
func prefix(order []int, holds func(int) bool) int {
	end := slices.IndexFunc(order, func(i int) bool { return !holds(i) })
	if end < 0 {
		return len(order)
	}
	return end
}

func sumOf(kinds []Kind, order []int) float64 {
	sum := 0.0
	for _, i := range order {
		sum += kinds[i].Demand
	}
	return sum
}
