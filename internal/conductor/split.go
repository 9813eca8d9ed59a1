package conductor

// A split distributes requests in proportion to its weights, regardless of the parts' capacity: operators try new
// versions with it, and a slow part that got fewer requests would look better than it is.
//
// Example: weights 3 and 1 give a, a, b, a, a, a, b, a, ...

import (
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

// split distributes requests by smooth weighted round robin.
type split struct {
	parts   []matcher.Part
	current []int
	total   int
}

func (c *Conductor) splitOf(r *matcher.Route) *split {
	s, ok := c.splits[r.Name]
	if ok {
		return s
	}
	s = &split{parts: r.Parts, current: make([]int, len(r.Parts))}
	for _, p := range r.Parts {
		s.total += p.Weight
	}
	// Nodes start at a random position. If all began with the same part, that part would get more than its weight after
	// each change.
	for range c.random.IntN(max(1, s.total)) {
		s.next()
	}
	c.splits[r.Name] = s
	return s
}

func (s *split) next() identifier.Service {
	best := 0
	for i, p := range s.parts {
		s.current[i] += p.Weight
		if s.current[i] > s.current[best] {
			best = i
		}
	}
	s.current[best] -= s.total
	return s.parts[best].Service
}
