package throttler

// What is refused for an overloaded service is what is worth least for the load that it brings there: of two equally important
// requests, one that makes eight calls to the service goes before one that makes a single call, since eight of the other kind
// can be served for it.
//
// Example: orders of importance 1 that make 8 calls each, and look-ups of importance 1/2 that make 1: orders are refused first.

import (
	"cmp"
	"slices"
)

// Demand is what one kind of request brings to a service.
type Demand struct {
	// Load is in calls, Worth the importance of one call.
	Load, Worth float64
}

// Shed returns which part of each demand is refused to take an excess of the whole load off, the least worth first.
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
		part := 0.0
		if load > 0 {
			part = min(1, remaining/load)
		}
		for _, i := range order[first:end] {
			refused[i] = part
		}
		remaining -= load
		first = end
	}
	return refused
}
