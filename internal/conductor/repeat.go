package conductor

// Repeats are bounded over the whole fleet for each service. Each node may repeat a part of what it sends itself, so
// the sum keeps the bound without a word between nodes.
//
// A repeat at a service that makes nested calls repeats all of them, so only services that make none get most of the
// allowance. There, root requests have a part of their own: a nested call that succeeds by its repeat still needs all
// of its sisters to succeed, a root request needs nothing else.
//
// Example: an allowed ratio of 0.2 and 100 requests a second to a service without nested calls: 10 repeats a second
// for roots and 4 for nested calls.

import (
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	// The parts of the allowed ratio that nodes use. What is left over covers the nested calls that repeats at the
	// services above make: an eighth of a tenth, with up to eight calls each.
	leafRootPart   = 0.5
	leafNestedPart = 0.2
	innerPart      = 0.05
	// usedSlack is the part of the allowed constant that all nodes together may save up.
	usedSlack = 0.3
)

// firstRepeats is what a node that has just started may repeat: the first request to meet a faulty endpoint needs it.
const firstRepeats = 1

// repeatBudget is what this node may repeat at one service.
type repeatBudget struct {
	root, nested float64
	most         float64
}

func (c *Conductor) budget(service identifier.Service) *repeatBudget {
	b, ok := c.repeats[service]
	if !ok {
		b = &repeatBudget{root: firstRepeats, nested: firstRepeats}
		c.repeats[service] = b
	}
	b.most = max(1, usedSlack*c.options.Bounds.RepeatSlack/float64(max(1, len(c.members))))
	return b
}

// countFirst counts the first attempt of a request.
func (c *Conductor) countFirst(service identifier.Service) {
	b := c.budget(service)
	ratio := c.options.Bounds.RepeatRatio
	if c.plan.leaf[service] {
		b.root = min(b.most, b.root+leafRootPart*ratio)
		b.nested = min(b.most, b.nested+leafNestedPart*ratio)
		return
	}
	b.root = min(b.most, b.root+innerPart*ratio)
	b.nested = min(b.most, b.nested+innerPart*ratio)
}

// mayRepeat takes a repeat if one is left.
func (c *Conductor) mayRepeat(service identifier.Service, nested bool) bool {
	b := c.budget(service)
	tokens := &b.root
	if nested {
		tokens = &b.nested
	}
	if *tokens < 1 {
		return false
	}
	*tokens--
	return true
}
