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
	leafLoadRatio   = 0.35
	leafRootRatio   = 0.25
	leafNestedRatio = 0.2
	innerRatio      = 0.05
	// usedSlackRatio is the part of the allowed constant that all nodes together may save up.
	usedSlackRatio = 0.3
	// maxSavedSeconds of the part by the load may be saved up: failures come in bunches.
	maxSavedSeconds = 1.0
)

// initialRetryTokens is what a node that has just started may repeat: the first request to meet a faulty endpoint needs it.
const initialRetryTokens = 1

// retryBudget is what this node may repeat at one service.
type retryBudget struct {
	rootTokens, nestedTokens float64
	// maxTokens and rootMost are how many may be saved up.
	maxTokens, maxRootTokens float64
	refilledAt               clock.Time
}

func (c *Conductor) retryBudgetFor(service identifier.Service, now clock.Time) *retryBudget {
	b, ok := c.retryBudgets[service]
	if !ok {
		b = &retryBudget{rootTokens: initialRetryTokens, nestedTokens: initialRetryTokens, refilledAt: now}
		c.retryBudgets[service] = b
	}
	nodes := float64(max(1, len(c.members)))
	b.maxTokens = max(1, usedSlackRatio*c.options.Bounds.RetrySlack/nodes)
	b.maxRootTokens = b.maxTokens
	if c.plan.leafServices[service] {
		passed := float64(now.Sub(b.refilledAt)) / float64(clock.Second)
		part := leafLoadRatio * c.options.Bounds.RetryRatio * c.plan.arrivalRates[service] / nodes
		b.maxRootTokens = max(b.maxTokens, maxSavedSeconds*part)
		b.rootTokens = min(b.maxRootTokens, b.rootTokens+part*passed)
	}
	b.refilledAt = now
	return b
}

// earnRetry counts the first attempt of a request.
func (c *Conductor) earnRetry(service identifier.Service, now clock.Time) {
	b := c.retryBudgetFor(service, now)
	ratio := c.options.Bounds.RetryRatio
	if c.plan.leafServices[service] {
		b.rootTokens = min(b.maxRootTokens, b.rootTokens+leafRootRatio*ratio)
		b.nestedTokens = min(b.maxTokens, b.nestedTokens+leafNestedRatio*ratio)
		return
	}
	b.rootTokens = min(b.maxTokens, b.rootTokens+innerRatio*ratio)
	b.nestedTokens = min(b.maxTokens, b.nestedTokens+innerRatio*ratio)
}

// takeRetry takes a repeat if one is left.
func (c *Conductor) takeRetry(service identifier.Service, nested bool, now clock.Time) bool {
	b := c.retryBudgetFor(service, now)
	tokens := &b.rootTokens
	if nested {
		tokens = &b.nestedTokens
	}
	if *tokens < 1 {
		return false
	}
	*tokens--
	return true
}
