package conductor

// Repeats are bounded over the whole fleet for each service. Each node may repeat a part of what it sends itself, so
// the sum keeps the bound without a word between nodes.
//
// A repeat at a service that makes nested calls repeats all of them, so only services that make none get most of the
// allowance. There, root requests come first: a nested call that succeeds by its repeat still needs all of its sisters
// to succeed, a root request needs nothing else. Roots are few beside the nested calls, which come from other nodes; so
// each node gets its part of what all calls together allow, by the load that the service's nodes report.
//
// Example: an allowed ratio of 0.2, 13 nodes, and a service without nested calls that gets 1,100 nested calls and 150
// roots a second: each node may repeat 6.7 roots a second by the load, and 0.6 for its own 12.

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	// The parts of the allowed ratio that nodes use: of the whole load for roots, of a node's own roots, of its nested
	// calls. What is left over covers the nested calls that repeats at the services above make: an eighth of a tenth,
	// with up to eight calls each.
	leafLoadPart   = 0.35
	leafRootPart   = 0.25
	leafNestedPart = 0.2
	innerPart      = 0.05
	// usedSlack is the part of the allowed constant that all nodes together may save up.
	usedSlack = 0.3
	// savedSeconds of the part by the load may be saved up: failures come in bunches.
	savedSeconds = 1.0
)

// firstRepeats is what a node that has just started may repeat: the first request to meet a faulty endpoint needs it.
const firstRepeats = 1

// repeatBudget is what this node may repeat at one service.
type repeatBudget struct {
	root, nested float64
	// most and rootMost are how many may be saved up.
	most, rootMost float64
	refilled       clock.Time
}

func (c *Conductor) budget(service identifier.Service, now clock.Time) *repeatBudget {
	b, ok := c.repeats[service]
	if !ok {
		b = &repeatBudget{root: firstRepeats, nested: firstRepeats, refilled: now}
		c.repeats[service] = b
	}
	nodes := float64(max(1, len(c.members)))
	b.most = max(1, usedSlack*c.options.Bounds.RepeatSlack/nodes)
	b.rootMost = b.most
	if c.plan.leaf[service] {
		passed := float64(now.Sub(b.refilled)) / float64(clock.Second)
		part := leafLoadPart * c.options.Bounds.RepeatRatio * c.plan.arriving[service] / nodes
		b.rootMost = max(b.most, savedSeconds*part)
		b.root = min(b.rootMost, b.root+part*passed)
	}
	b.refilled = now
	return b
}

// earnRepeat counts the first attempt of a request.
func (c *Conductor) earnRepeat(service identifier.Service, now clock.Time) {
	b := c.budget(service, now)
	ratio := c.options.Bounds.RepeatRatio
	if c.plan.leaf[service] {
		b.root = min(b.rootMost, b.root+leafRootPart*ratio)
		b.nested = min(b.most, b.nested+leafNestedPart*ratio)
		return
	}
	b.root = min(b.most, b.root+innerPart*ratio)
	b.nested = min(b.most, b.nested+innerPart*ratio)
}

// mayRepeat takes a repeat if one is left.
func (c *Conductor) mayRepeat(service identifier.Service, nested bool, now clock.Time) bool {
	b := c.budget(service, now)
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
