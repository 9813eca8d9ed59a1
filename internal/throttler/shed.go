package throttler

// An overloaded service refuses the demands with the least importance for each call that they cause at the service. Of
// two equally important kinds of request, one that makes eight calls to the service is refused before one that makes a
// single call, since eight requests of the second kind can be served with the same capacity.
//
// Example: non-idempotent requests of importance 1 that make 8 calls each, and idempotent requests of importance 1/2
// that make 1: the non-idempotent ones are refused first.

import (
	"cmp"
	"slices"
)

// Demand is the load that one kind of request puts on a service.
type Demand struct {
	// Load is in calls; Worth is the importance of one call.
	Load, Worth float64
}

// Shed returns the fraction of each demand to refuse so that the given fraction of the total load is removed, in order
// of increasing worth.
func Shed(demands []Demand, excess float64) []float64 {
	order := make([]int, len(demands))
	total := 0.0
	for i, d := range demands {
		order[i] = i
		total += d.Load
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(demands[a].Worth, demands[b].Worth) })
	refused := make([]float64, len(demands))
	remaining := excess * total
	for first := 0; first < len(order) && remaining > 0; {
		end, load := first, 0.0
		for ; end < len(order) && demands[order[end]].Worth == demands[order[first]].Worth; end++ {
			load += demands[order[end]].Load
		}
		fraction := 0.0
		if load > 0 {
			fraction = min(1, remaining/load)
		}
		for _, i := range order[first:end] {
			refused[i] = fraction
		}
		remaining -= load
		first = end
	}
	return refused
}
