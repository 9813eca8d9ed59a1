package rationer

// Weighted max-min fairness: the capacity is raised for all claims in proportion to their weights until one has what it
// demands; the others continue with what is left. A claim below its share loses nothing to one above, and whatever a
// claim leaves unused goes to the others.
//
// Example: a capacity of 100 for demands of 10, 80 and 80 with weights of 1, 1 and 2: 10, 30 and 60.

import (
	"cmp"
	"slices"
)

// Claim is the demand of one claimant and its weight, which is above 0.
type Claim struct {
	Weight, Demand float64
}

// Share returns what each claim gets of the capacity.
func Share(claims []Claim, capacity float64) []float64 {
	order := make([]int, len(claims))
	weight := 0.0
	for i, c := range claims {
		order[i] = i
		weight += c.Weight
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(claims[a].Demand*claims[b].Weight, claims[b].Demand*claims[a].Weight)
	})
	shares := make([]float64, len(claims))
	left := max(0, capacity)
	for place, i := range order {
		c := claims[i]
		// The last claim's weight is all that is left; the subtractions below would leave a rounding error in it.
		part := 1.0
		if place < len(order)-1 {
			part = min(1, c.Weight/weight)
		}
		shares[i] = min(c.Demand, left*part)
		left = max(0, left-shares[i])
		weight -= c.Weight
	}
	return shares
}
