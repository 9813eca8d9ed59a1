package conductor

// A request is judged once where it comes in: is there a route, whose key is it, is the team within its rate, can its
// whole chain be carried. What is refused here has cost nothing yet.
//
// Example: a route with Timeout 1000 and a caller that waits 5000: the deadline is 1000 from now.

import (
	"net/http"
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
	"github.com/jackdawtide/jackdawtide/internal/router"
)

// call is a request that this node took in.
type call struct {
	id       CallID
	route    *matcher.Route
	team     *matcher.Team
	service  identifier.Service
	class    class
	rank     identifier.Rank
	nested   bool
	arrived  clock.Time
	deadline clock.Time
	sent     clock.Time
	version  identifier.Version
	// tries counts attempts, arrivals those of them that reached an endpoint.
	tries, arrivals int
	picked          identifier.Endpoint
	// at is the other node that an attempt is under way at, empty for none.
	at       identifier.Node
	excluded []identifier.Endpoint
	// doubt tells that an attempt may have run.
	doubt bool
	// counted tells that a node has counted the request among its endpoint's arrivals. One that was only dialled in vain
	// must still count at the next: else the last endpoint of a service, to which everything comes by way of dead
	// ones, would seem to have little to do.
	counted bool
	// turnedAway tells that an endpoint, or the node beside it, has had the request and did not want it.
	turnedAway bool
	// awaits is until when the request waits for an endpoint, 0 if it has not waited yet.
	awaits clock.Time
	// unpaid tells that this node had no token for the request; wait is until it has one.
	unpaid bool
	wait   clock.Duration
}

const (
	// mostTries bounds the nodes that are asked for room, of which only some pass the request to an endpoint.
	mostTries = 4
	// leastLeft is the least time with which an attempt makes sense: a round trip and some work.
	leastLeft = 10 * clock.Millisecond
	// rootPatience and nestedPatience are the parts of an objective, and of the time left, that a request may be
	// queued. A root that waits longer than an eighth of its objective is late more often than not; a nested call
	// has a parent whose work would be lost.
	rootPatience   = 4
	nestedPatience = 3
)

func (c *Conductor) arrive(e RequestArrived, now clock.Time) {
	if c.matcher == nil {
		c.refuse(e.ID, http.StatusServiceUnavailable, NoConfiguration, retryUnready)
		return
	}
	route, ok := c.matcher.Match(e.Host, e.Path)
	if !ok {
		c.refuse(e.ID, http.StatusNotFound, NoRoute, 0)
		return
	}
	team, ok := c.authenticate(e, route)
	if !ok {
		return
	}
	r := &call{
		id:       e.ID,
		route:    route,
		team:     team,
		nested:   e.Key == "" && route.Public,
		arrived:  now,
		deadline: now.Add(route.Timeout),
		version:  c.matcher.Version(),
	}
	if e.Left > 0 {
		r.deadline = min(r.deadline, now.Add(e.Left))
	}
	r.class = classOf(r)
	r.rank = r.class.rank(c.random.Uint64())
	r.service = c.splitOf(route).next()
	if r.nested {
		c.runs.called(c.parents[e.Parent], identifier.Route(route.Name))
	}
	if !c.admit(r, now) {
		return
	}
	c.calls[r.id] = r
	c.attempt(r, now)
}

// authenticate finds the team of the key; it has refused the request where it returns false.
func (c *Conductor) authenticate(e RequestArrived, route *matcher.Route) (*matcher.Team, bool) {
	if route.Public || !c.matcher.HasTeams() {
		return nil, true
	}
	team, ok := c.matcher.TeamOf(e.Key)
	fresh := c.fresh(e.Boot)
	switch {
	case !ok && e.Key == "":
		c.refuse(e.ID, http.StatusUnauthorized, UnknownKey, 0)
		return nil, false
	case !ok && !fresh:
		// The key may have been issued since this node last read the store.
		c.refuse(e.ID, http.StatusServiceUnavailable, StaleKeys, retryStale)
		return nil, false
	case !ok:
		c.refuse(e.ID, http.StatusUnauthorized, UnknownKey, 0)
		return nil, false
	case !fresh:
		c.refuse(e.ID, http.StatusServiceUnavailable, StaleKeys, retryStale)
		return nil, false
	}
	return team, true
}

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
	n := router.Need{Within: r.route.Objective, Nested: r.nested, Domains: c.plan.homes[from]}
	if r.route.Kind == matcher.Upload {
		n.Within = 0
	}
	return n
}

// admit judges the pressure on the services that the request leads to, and the team's rate. Where it returns false, the
// request was refused, or goes on when a token has been drawn.
func (c *Conductor) admit(r *call, now clock.Time) bool {
	if r.nested {
		return true
	}
	c.arrivals.note(r.origin(), r.class)
	if part := c.refusedPart(r, now); part > 0 && c.random.Float64() < part {
		c.refuse(r.id, http.StatusServiceUnavailable, Pressure, c.spread(retryPressed))
		return false
	}
	if c.isSevered(r) {
		c.refuse(r.id, http.StatusServiceUnavailable, NoEndpoint, c.spread(r.returnsAfter(now)))
		return false
	}
	if r.team == nil {
		return true
	}
	if c.pools(r.team.Name) {
		return c.draw(r, now)
	}
	v := c.apportioner.Take(r.team.Name, now)
	if v.Allowed {
		return true
	}
	r.unpaid, r.wait = true, max(v.Wait, retryOverRate)
	if v.Elsewhere {
		return true
	}
	c.refuse(r.id, http.StatusTooManyRequests, OverRate, c.spread(r.wait))
	return false
}

const (
	// retryUnready is about how long a node takes to read its first configuration.
	retryUnready = 300 * clock.Millisecond
	// retryStale is how long the store's short disturbances last at least.
	retryStale = 500 * clock.Millisecond
	// retryPressed is the time in which the pressure on a service moves by a tenth (see throttler).
	retryPressed = 400 * clock.Millisecond
	// retryOverRate keeps a team that is over its rate from coming back for each token.
	retryOverRate = 200 * clock.Millisecond
	// retryNoRoom is how long a queue of a few requests takes to clear.
	retryNoRoom = 150 * clock.Millisecond
)

// spread returns a time around d: callers that were refused together should not come back together.
func (c *Conductor) spread(d clock.Duration) clock.Duration {
	return d/2 + clock.Duration(c.random.Int64N(int64(d)+1))
}

func (c *Conductor) refuse(id CallID, status int, reason Reason, after clock.Duration) {
	c.emit(Refuse{ID: id, Status: status, Reason: reason, RetryAfter: after})
}

// attempt sends a request to the next endpoint, has it wait for one, or gives it up.
func (c *Conductor) attempt(r *call, now clock.Time) {
	if r.deadline.Sub(now) < leastLeft {
		c.giveUp(r, Deadline, now)
		return
	}
	if c.place(r, now) || c.await(r, now) {
		return
	}
	reason := NoEndpoint
	if r.unpaid {
		reason = OverRate
	}
	c.giveUp(r, reason, now)
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
		c.countFirst(r.service, now)
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
		ID:         r.id,
		Local:      local,
		Address:    member.Deliver,
		Node:       endpoint.Node,
		Endpoint:   endpoint.ID,
		Service:    r.service,
		Team:       team,
		Rank:       r.rank,
		Nested:     r.nested,
		Repeat:     r.arrivals > 0,
		Again:      r.counted,
		Unpaid:     r.unpaid,
		Idempotent: r.route.Kind == matcher.Idempotent,
		Deadline:   r.deadline,
		Patience:   c.patience(r, now),
		Due:        r.due(),
		Route:      r.route.Name,
		Version:    r.version,
		Crossing:   endpoint.Crossing,
	})
	return true
}

func (c *Conductor) patience(r *call, now clock.Time) clock.Duration {
	left := r.deadline.Sub(now)
	if r.nested || r.route.Objective <= 0 {
		return left / nestedPatience
	}
	return min(left, r.route.Objective/rootPatience)
}

func (c *Conductor) attemptEnded(e AttemptEnded, now clock.Time) {
	r, ok := c.calls[e.ID]
	if !ok {
		return
	}
	c.learnAttempt(r, e, now)
	c.learnReach(r, e.Outcome, now)
	if e.Member != nil {
		// Else each further request would go there as well, until the record comes by the store or a report.
		c.learnMember(MemberLearned{Member: *e.Member}, now)
	}
	if e.Outcome == Answered {
		c.emit(Reply{ID: r.id})
		return
	}
	if e.Outcome == Abandoned {
		return
	}
	if e.Outcome == Broken || e.Outcome == Late {
		r.doubt = true
	}
	if e.Outcome == Broken || e.Outcome == Late || e.Outcome == Declined {
		r.arrivals++
	}
	r.counted = r.counted || e.Outcome != Moved && e.Outcome != Unreached && e.Outcome != Over
	r.excluded = append(r.excluded, r.picked)
	r.turnedAway = r.turnedAway || e.Outcome != Moved && e.Outcome != Unreached
	if c.mayTryAgain(r, e, now) {
		c.attempt(r, now)
		return
	}
	if e.Replayable && c.await(r, now) {
		return
	}
	c.giveUp(r, reasonOf(e.Outcome), now)
}

// learnAttempt tells the router how an attempt went.
func (c *Conductor) learnAttempt(r *call, e AttemptEnded, now clock.Time) {
	result := router.Result{Latency: now.Sub(r.sent), Headroom: e.Headroom, Wait: e.Wait}
	if e.Outcome != Over && !e.Outcome.NotRun() {
		r.unpaid = false
	}
	switch e.Outcome {
	case Answered:
		result.Outcome = router.Succeeded
		if e.Status >= http.StatusInternalServerError {
			result.Outcome = router.Cancelled
		}
	case Full, Declined:
		result.Outcome = router.Refused
	case Moved, Abandoned, Over:
		result.Outcome = router.Cancelled
	default:
		result.Outcome = router.Failed
	}
	c.router.Done(r.picked, result, now)
}

func (c *Conductor) mayTryAgain(r *call, e AttemptEnded, now clock.Time) bool {
	if !e.Replayable || r.tries >= mostTries || e.Outcome == Late {
		return false
	}
	if r.doubt && r.route.Kind != matcher.Idempotent {
		return false
	}
	if r.arrivals == 0 {
		return true
	}
	return r.arrivals < r.route.Attempts && c.mayRepeat(r.service, r.nested, now)
}

func reasonOf(o Outcome) Reason {
	switch o {
	case Moved:
		return EndpointGone
	case Full:
		return NoRoom
	case Unreached:
		return EndpointDown
	case Declined:
		return EndpointRefused
	case Late:
		return Deadline
	case Over:
		return OverRate
	default:
		return InDoubt
	}
}

// giveUp answers at once. Only what has certainly not run may say so.
func (c *Conductor) giveUp(r *call, reason Reason, now clock.Time) {
	switch {
	case r.doubt && reason == Deadline:
		c.refuse(r.id, http.StatusGatewayTimeout, reason, 0)
	case r.doubt:
		c.refuse(r.id, http.StatusBadGateway, reason, 0)
	case reason == OverRate:
		c.refuse(r.id, http.StatusTooManyRequests, OverRate, c.spread(r.wait))
	case reason == NoEndpoint || reason == EndpointGone || reason == EndpointDown:
		c.refuse(r.id, http.StatusServiceUnavailable, reason, c.spread(r.returnsAfter(now)))
	default:
		c.refuse(r.id, http.StatusServiceUnavailable, reason, c.spread(retryNoRoom))
	}
	if !r.doubt && r.arrivals == 0 && r.team != nil && !r.unpaid {
		c.payBack(r.team.Name, now)
	}
	c.close(r.id)
}

func (c *Conductor) close(id CallID) {
	delete(c.calls, id)
}
