package conductor

// A request that was let in is sent to an endpoint, or waits for one. What the endpoint's node has to know goes with it: how
// long it may be queued there, when the answer is due, and how important it is.
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
	// maxTries bounds the nodes that are asked for room, of which only some pass the request to an endpoint.
	maxTries = 4
	// minTimeLeft is the least time with which an attempt makes sense: a round trip and some work.
	minTimeLeft = 10 * clock.Millisecond
	// rootQueueParts and nestedQueueParts are the parts of an objective, and of the time left, that a request may be
	// queued. A root that waits longer than an eighth of its objective is late more often than not; a nested call
	// has a parent whose work would be lost.
	rootQueueParts   = 4
	nestedQueueParts = 3
)

// due is when the answer is expected: the route's objective after the arrival, the deadline where there is none.
func (r *call) due() clock.Time {
	if r.route.Objective <= 0 {
		return r.deadline
	}
	return min(r.deadline, r.arrived.Add(r.route.Objective))
}

// origin is where the request comes in.
func (r *call) origin() origin {
	return origin{route: identifier.Route(r.route.Name), service: r.service}
}

// need is what the placement goes by. Uploads stay in their failure domain while it has room, however slow: their bodies are
// most of what would cross.
func (c *Conductor) need(r *call) router.Need {
	from := r.origin()
	c.sent[from] = true
	n := router.Need{Within: r.route.Objective, Nested: r.nested, Domains: c.plan.homes[from], Allowed: r.allowed}
	if r.route.Kind == matcher.Upload {
		n.Within = 0
	}
	return n
}

// attempt sends a request to the next endpoint, has it wait for one, or gives it up.
func (c *Conductor) attempt(r *call, now clock.Time) {
	if r.deadline.Sub(now) < minTimeLeft {
		c.rejectCall(r, Deadline, now)
		return
	}
	if r.allowed != nil && len(r.allowed) == 0 {
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

// place sends a request to the next endpoint, if there is one.
func (c *Conductor) place(r *call, now clock.Time) bool {
	endpoint, ok := c.router.PickWithin(r.service, now, r.excluded, c.need(r))
	if ok && slices.Contains(r.excluded, endpoint.ID) {
		c.router.Done(endpoint.ID, router.Result{Outcome: router.Cancelled}, now)
		ok = false
	}
	if !ok {
		return false
	}
	if r.tries == 0 {
		c.earnRepeat(r.service, now)
	}
	r.tries++
	r.picked = endpoint.ID
	r.sent = now
	member := c.members[endpoint.Node]
	local := endpoint.Node == c.self.Node
	if !local {
		r.at = endpoint.Node
		c.detector.Sent(r.at, now)
	}
	team := identifier.Team("")
	if r.team != nil {
		team = r.team.Name
	}
	c.emit(Send{
		ID:            r.id,
		Local:         local,
		Address:       member.DeliveryAddress,
		Node:          endpoint.Node,
		Endpoint:      endpoint.ID,
		Service:       r.service,
		Team:          team,
		Rank:          r.rank,
		Nested:        r.nested,
		Repeat:        r.arrivals > 0,
		Again:         r.counted,
		RateUnchecked: r.rateUnchecked,
		Idempotent:    r.route.Kind == matcher.Idempotent,
		Deadline:      r.deadline,
		QueueTimeout:  c.queueTimeout(r, now),
		Due:           r.due(),
		Route:         r.route.Name,
		Version:       r.version,
		Crossing:      endpoint.Crossing,
	})
	return true
}

func (c *Conductor) queueTimeout(r *call, now clock.Time) clock.Duration {
	left := r.deadline.Sub(now)
	if r.nested || r.route.Objective <= 0 {
		return left / nestedQueueParts
	}
	return min(left, r.route.Objective/rootQueueParts)
}
