package conductor

// An admitted request is sent to an endpoint, or waits for one. The message carries what the endpoint's node needs to
// know: how long the request may be queued there, when the answer is due, and how important it is.
//
// Example: a nested call with 700 ms left may be queued for 233 ms.

import (
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
	"github.com/jackdawtide/jackdawtide/internal/router"
)

const (
	// maxAttempts bounds the nodes that are asked for capacity; only some of them pass the request to an endpoint.
	maxAttempts = 4
	// minTimeLeft is the shortest remaining time in which an attempt can succeed: a round trip and some work.
	minTimeLeft = 10 * clock.Millisecond
	// A root request may be queued for its route's objective divided by rootQueueDivisor; a nested call, or a request to
	// a route without an objective, for its remaining time divided by nestedQueueDivisor. Waiting helps few root
	// requests: after an eighth of its objective, one is late more often than not. A nested call that is refused wastes
	// the work of its parent.
	rootQueueDivisor   = 4
	nestedQueueDivisor = 3
)

// due is when the answer is expected: the arrival plus the route's objective, or the deadline if the route has none.
func (r *call) due() clock.Time {
	if r.route.Objective <= 0 {
		return r.deadline
	}
	return min(r.deadline, r.arrived.Add(r.route.Objective))
}

// origin returns the route and service at which the request enters.
func (r *call) origin() origin {
	return origin{route: identifier.Route(r.route.Name), service: r.service}
}

// routerNeed returns the placement requirements for the router. Uploads stay in their failure domain while it has
// capacity, however slow it is, because their bodies make up most of the traffic that would cross failure domains.
func (c *Conductor) routerNeed(r *call) router.Need {
	from := r.origin()
	c.sentOrigins[from] = true
	n := router.Need{Within: r.route.Objective, Nested: r.nested, Domains: c.plan.preferredDomains[from], Allowed: r.permittedDomains}
	if r.route.Kind == matcher.Upload {
		n.Within = 0
	}
	return n
}

// attempt sends a request to the next endpoint, makes it wait for one, or rejects it.
func (c *Conductor) attempt(r *call, now clock.Time) {
	if r.deadline.Sub(now) < minTimeLeft {
		c.rejectCall(r, Deadline, now)
		return
	}
	if r.permittedDomains != nil && len(r.permittedDomains) == 0 {
		c.rejectCall(r, NoEndpoint, now)
		return
	}
	if c.place(r, now) || c.awaitEndpoint(r, now) {
		return
	}
	reason := NoEndpoint
	if r.rateUnchecked {
		reason = OverRate
	}
	c.rejectCall(r, reason, now)
}

// pickUntried picks an endpoint that the request has not been sent to.
func (c *Conductor) pickUntried(r *call, now clock.Time) (router.Choice, bool) {
	endpoint, ok := c.router.PickWithin(r.service, now, r.excluded, c.routerNeed(r))
	if ok && slices.Contains(r.excluded, endpoint.ID) {
		c.router.Done(endpoint.ID, router.Result{Outcome: router.Cancelled}, now)
		ok = false
	}
	return endpoint, ok
}

// place sends a request to the next endpoint; it reports whether there was one.
func (c *Conductor) place(r *call, now clock.Time) bool {
	endpoint, ok := c.pick(r, now)
	if !ok {
		return false
	}
	if r.attempts == 0 {
		c.earnRetry(r.service, now)
		c.budgetFor(r.service, now).CountRequest(kindOf(r.nested), urgencyOf(r.rank), now)
	}
	r.attempts++
	r.picked, r.pickedNode = endpoint.ID, endpoint.Node
	r.sent, r.attempting = now, true
	member := c.members[endpoint.Node]
	local := endpoint.Node == c.self.Node
	if !local {
		r.attemptNode = endpoint.Node
		c.detector.Sent(r.attemptNode, now)
	}
	limit, limited := c.limitOf(member)
	team := identifier.Team("")
	if r.team != nil {
		team = r.team.Name
	}
	c.emit(Send{
		ID:             r.id,
		Local:          local,
		Address:        member.DeliveryAddress,
		Node:           endpoint.Node,
		Endpoint:       endpoint.ID,
		Service:        r.service,
		Team:           team,
		Rank:           r.rank,
		Nested:         r.nested,
		Retry:          r.endpointArrivals > 0,
		ArrivalCounted: r.arrivalCounted,
		RateUnchecked:  r.rateUnchecked,
		Idempotent:     r.route.Kind == matcher.Idempotent,
		Deadline:       r.deadline,
		QueueTimeout:   c.queueTimeout(r, now),
		Due:            r.due(),
		Route:          r.route.Name,
		Version:        r.version,
		Limit:          Notice{Limited: limited, PerSecond: limit},
		Crossing:       endpoint.Crossing,
	})
	return true
}

func (c *Conductor) queueTimeout(r *call, now clock.Time) clock.Duration {
	left := r.deadline.Sub(now)
	if r.nested || r.route.Objective <= 0 {
		return left / nestedQueueDivisor
	}
	timeout := r.route.Objective / rootQueueDivisor
	if r.heldBack {
		// Queued for the whole time at one limited endpoint after the other, it would be refused late.
		timeout = max(0, timeout-now.Sub(r.arrived))
	}
	return min(left, timeout)
}
