package conductor

// Retries (attempts at a second endpoint after a first one was reached) are bounded over the whole fleet for each
// service. Each node may retry a part of the requests it sends, so that the sum stays within the bound without
// coordination between nodes.
//
// A retry at a service that makes nested calls repeats all of them, so most of the allowance goes to services without
// nested calls. There, root requests come first: a nested call that succeeds on retry still needs all its sibling calls
// to succeed, a root request needs nothing else. Root requests are few compared with the nested calls, which come from
// other nodes; each node therefore gets its part of what all calls together allow, computed from the load that the
// service's nodes report.
//
// Example: an allowed ratio of 0.2, 13 nodes, and a service without nested calls that gets 1,100 nested calls and 150
// root requests a second: each node may retry 6.7 root requests a second by the load, and 0.6 for its own 12.

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	// The parts of the allowed ratio that nodes use. At a leaf service, leafLoadRatio of the total load is for retries
	// of root requests. In addition, each first attempt that a node sends there earns it leafRootRatio for root requests
	// and leafNestedRatio for nested calls. At other services, each first attempt earns innerRatio for either kind, a
	// tenth together. What is left at a leaf covers the nested calls that are repeated by retries at the services above:
	// where each run makes up to eight calls, the service above gets an eighth of the leaf's load and retries up to a
	// tenth of the allowed ratio of it, which repeats calls for a tenth of the allowed ratio at the leaf.
	leafLoadRatio   = 0.35
	leafRootRatio   = 0.25
	leafNestedRatio = 0.2
	innerRatio      = 0.05
	// usedSlackRatio is the part of RetrySlack that all nodes together may accumulate.
	usedSlackRatio = 0.3
	// maxSavedSeconds is how many seconds of the load-based allowance may be accumulated, because failures come in
	// bursts.
	maxSavedSeconds = 1.0
)

// initialRetryTokens is the budget of a node that has just started: the first request that meets a faulty endpoint
// needs it.
const initialRetryTokens = 1

// retryBudget is a token bucket for this node's retries at one service.
type retryBudget struct {
	rootTokens, nestedTokens float64
	// maxTokens and maxRootTokens are the capacities of the bucket.
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
		elapsedSeconds := float64(now.Sub(b.refilledAt)) / float64(clock.Second)
		tokensPerSecond := leafLoadRatio * c.options.Bounds.RetryRatio * c.plan.arrivalRates[service] / nodes
		b.maxRootTokens = max(b.maxTokens, maxSavedSeconds*tokensPerSecond)
		b.rootTokens = min(b.maxRootTokens, b.rootTokens+tokensPerSecond*elapsedSeconds)
	}
	b.refilledAt = now
	return b
}

// earnRetry adds the tokens earned by the first attempt of a request.
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

// takeRetry takes a token if one is left; it reports whether the retry is allowed.
func (c *Conductor) takeRetry(service identifier.Service, nested bool, now clock.Time) bool {
	b := c.retryBudgetFor(service, now)
	tokens := &b.rootTokens
	if nested {
		tokens = &b.nestedTokens
	}
	k := kindOf(nested)
	if *tokens < 1 || !c.windowAllows(service, nested, now) {
		c.retries[k].refused++
		return false
	}
	*tokens--
	c.retries[k].granted++
	c.budgetFor(service, now).CountRetry(k, now)
	return true
}
