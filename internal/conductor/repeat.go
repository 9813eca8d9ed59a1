package conductor

// Repeats are bounded over the whole fleet for each service. Each node may repeat a part of what it sends itself, so
// the sum keeps the bound without a word between nodes.
//
// Example: with a ratio of 0.2, a node that sends 100 requests a second to a service repeats at most 4 of them.

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	// usedRatio is the part of the allowed ratio that nodes use: the nested calls of a repeat are repeats too at the
	// services below, where one request may make eight of them.
	usedRatio = 0.2
	// usedSlack is the part of the allowed constant that all nodes together use.
	usedSlack = 0.3
)

type repeatBudget struct {
	ratio, most, tokens float64
}

func (c *Conductor) budget(service identifier.Service, now clock.Time) *repeatBudget {
	_ = now
	b, ok := c.repeats[service]
	if !ok {
		nodes := float64(max(1, len(c.members)))
		most := max(1, usedSlack*c.options.Bounds.RepeatSlack/nodes)
		b = &repeatBudget{ratio: usedRatio * c.options.Bounds.RepeatRatio, most: most, tokens: 1}
		c.repeats[service] = b
	}
	return b
}

// first counts the first attempt of a request.
func (b *repeatBudget) first(now clock.Time) {
	_ = now
	b.tokens = min(b.most, b.tokens+b.ratio)
}

// spend takes a repeat if one is left.
func (b *repeatBudget) spend(now clock.Time) bool {
	_ = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
