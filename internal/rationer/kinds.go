package rationer

// An overloaded service refuses the kinds of requests that are worth least for the slot time that they need there. Of two
// equally important kinds, one that makes eight calls at the service is refused before one that makes a single call,
// since eight requests of the second kind can be served with the same capacity. The rank of the team precedes the worth.
//
// The order depends only on the arguments, so nodes with the same reports refuse the same kinds.
//
// Example: a capacity of 90 for demands of 60 (worth 4), 40 (worth 2) and 20 (worth 1): refused are 0, a quarter and all.

import (
	"cmp"
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

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

// compare orders kinds from the first to be refused to the last.
func compare(a, b Kind) int {
	return cmp.Or(cmp.Compare(b.teamRank(), a.teamRank()), cmp.Compare(a.Worth, b.Worth))
}

// Refuse returns the fraction of each kind to refuse so that the demand of the rest is the capacity. Kinds that are equal
// in order are refused in equal parts.
func Refuse(kinds []Kind, capacity float64) []float64 {
	order := make([]int, len(kinds))
	total := 0.0
	for i, k := range kinds {
		order[i] = i
		total += k.Demand
	}
	slices.SortStableFunc(order, func(a, b int) int { return compare(kinds[a], kinds[b]) })
	refused := make([]float64, len(kinds))
	remaining := total - max(0, capacity)
	for first := 0; first < len(order) && remaining > 0; {
		end, demand := first, 0.0
		for ; end < len(order) && compare(kinds[order[end]], kinds[order[first]]) == 0; end++ {
			demand += kinds[order[end]].Demand
		}
		fraction := 0.0
		if demand > 0 {
			fraction = min(1, remaining/demand)
		}
		for _, i := range order[first:end] {
			refused[i] = fraction
		}
		remaining -= demand
		first = end
	}
	return refused
}
