package conductor

// An endpoint that declines a call has not run it, and often runs it when asked again: whether it declines is chance, and
// a route's limit on endpoints leaves no other one to ask. Where the reports say that a service declines a good part of
// its calls, a declined call is therefore offered again, also to an endpoint that declined it before. Each offer beyond
// the first takes a retry from the service's budget (see budgeter), the calls of more important requests first.
//
// Example: a route with two endpoints, both of which decline: the third offer goes to one of these two.

import (
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/budgeter"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/router"
)

// maxOffers bounds how often a declined call is offered. Where 55 of 100 calls are declined, 1 in 1,300 needs more.
const maxOffers = 12

// serviceBudget is the retry budget of a service.
type serviceBudget struct {
	*budgeter.Budget
	// usedAt is when a retry was last taken from it, if used is set.
	used   bool
	usedAt clock.Time
	// fleetCountedAt is the time up to which the fleet's requests are counted.
	fleetCountedAt clock.Time
}

// retryCounts counts retries that were granted and refused.
type retryCounts struct {
	granted, refused int64
}

func kindOf(nested bool) budgeter.Kind {
	if nested {
		return budgeter.Nested
	}
	return budgeter.Root
}

func (c *Conductor) budgetFor(service identifier.Service, now clock.Time) *serviceBudget {
	b, ok := c.budgets[service]
	if !ok || b.Window() != max(minRetryWindow, c.options.Bounds.RetryWindow) {
		window := max(minRetryWindow, c.options.Bounds.RetryWindow)
		b = &serviceBudget{Budget: budgeter.New(window, now), fleetCountedAt: now}
		c.budgets[service] = b
	}
	b.SetLimits(budgeter.Limits{
		Ratio: c.options.Bounds.RetryRatio,
		Slack: usedSlackRatio * c.options.Bounds.RetrySlack / float64(c.nodeCount()),
	})
	return b
}

// minRetryWindow is the shortest window of the bound on retries; its bins are still longer than a tick.
const minRetryWindow = clock.Second

// nodeCount returns the number of known nodes, this one included.
func (c *Conductor) nodeCount() int {
	if _, ok := c.members[c.self.Node]; ok {
		return len(c.members)
	}
	return len(c.members) + 1
}

// maxCountedGap bounds the time for which a rate of the fleet's requests is assumed to have lasted. After a longer pause
// of this node nothing is known of the time between.
const maxCountedGap = clock.Second

// countFleetRequests counts this node's share of the calls that arrive at each service. A node that has just started, and
// may not know all others yet, counts nothing before it has had reports for as long as one is used.
func (c *Conductor) countFleetRequests(now clock.Time) {
	for service, rate := range c.plan.arrivalRates {
		b := c.budgetFor(service, now)
		passed := min(maxCountedGap, now.Sub(b.fleetCountedAt))
		b.fleetCountedAt = now
		b.CountFleet(rate/float64(c.nodeCount()), passed, now)
	}
}

// windowAllows reports whether the budget leaves room for a retry that is granted by the rules of retry_budget.go. For two
// windows after retries were last taken from the budget, these rules alone could exceed the bound.
func (c *Conductor) windowAllows(service identifier.Service, nested bool, now clock.Time) bool {
	b := c.budgetFor(service, now)
	if !b.used || now.Sub(b.usedAt) > 2*b.Window() {
		return true
	}
	return b.Available(kindOf(nested), now) >= 1
}

// mayOfferAgain reports whether a request whose last attempt ended without an answer is offered again by the rules for
// declining services, and whether these rules apply to it.
func (c *Conductor) mayOfferAgain(r *call, e AttemptEnded, now clock.Time) (offer, applies bool) {
	if !e.Replayable || r.mayHaveRun {
		return false, false
	}
	if e.Outcome != Declined {
		// The retry for this offer is already taken, but no endpoint got it.
		applies = r.reoffers > 0 && e.Outcome.NotRun()
		return applies && r.attempts-r.reoffers < maxAttempts, applies
	}
	declined, declining := c.declining[r.service]
	if !declining {
		return false, r.reoffers > 0
	}
	if r.endpointArrivals >= maxOffers || r.deadline.Sub(now) < minTimeLeft {
		return false, true
	}
	b, k := c.budgetFor(r.service, now), kindOf(r.nested)
	if !b.Take(k, urgencyOf(r.rank), declined, now) {
		c.retries[k].refused++
		return false, true
	}
	c.retries[k].granted++
	b.used, b.usedAt = true, now
	r.reoffers++
	// The node beside the endpoint has taken the team's token before it offered the call.
	r.rateUnchecked = false
	return true, true
}

// usedLevels is the number of levels within a priority that a rank of a root request has: four of routes and those of a
// chain with up to 16 calls at one service.
const usedLevels = 8

// urgencyOf returns the position of a rank in the order of retries, 1 for the most important.
func urgencyOf(rank identifier.Rank) float64 {
	const priorities = 4
	const levels = identifier.MaxOveruse + 1
	step := float64(rank) * priorities * levels / (float64(identifier.MaxRank) + 1)
	priority := float64(rank.Priority())
	level := min(step-priority*levels, usedLevels)
	return 1 - (priority+level/usedLevels)/priorities
}

// recordOffer records that the request was offered to the endpoint of the last attempt.
func (r *call) recordOffer() {
	r.endpointArrivals++
	if !slices.Contains(r.reached, r.picked) {
		r.reached = append(r.reached, r.picked)
	}
}

// pick picks the endpoint of the next attempt. A request that is offered again goes to one of the endpoints that it has
// reached, if these are as many as its route allows or no other one is usable.
func (c *Conductor) pick(r *call, now clock.Time) (router.Choice, bool) {
	if r.reoffers == 0 || r.mayHaveRun {
		return c.pickUntried(r, now)
	}
	if len(r.reached) < r.route.Attempts {
		endpoint, ok := c.pickUntried(r, now)
		if ok && endpoint.State != router.Suspect && endpoint.State != router.Stopping {
			return endpoint, true
		}
		if ok {
			c.router.Done(endpoint.ID, router.Result{Outcome: router.Cancelled}, now)
		}
	}
	return c.router.PickAmong(r.service, now, r.reached, c.routerNeed(r))
}
