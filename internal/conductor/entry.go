package conductor

// A request is checked once, at the node where it enters: whether a route matches, whether the key belongs to a team,
// whether the team is within its rate, and whether the services of its call chain have capacity. A request refused here
// has cost no work yet.
//
// Example: a route with Timeout 1000 and a caller that waits 5000: the deadline is 1000 from now.

import (
	"net/http"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

// call is a request that entered at this node.
type call struct {
	id      CallID
	route   *matcher.Route
	team    *matcher.Team
	service identifier.Service
	class   class
	rank    identifier.Rank
	// nested is set for a call of the local endpoint: a request without a key to a public route counts as one.
	nested bool
	// parent is the request whose run at the local endpoint makes this nested call, empty if unknown.
	parent   identifier.Request
	arrived  clock.Time
	deadline clock.Time
	// left is how long the caller waits from the arrival on, the route's timeout if it did not say.
	left    clock.Duration
	sent    clock.Time
	version identifier.Version
	// attempts counts all attempts, endpointArrivals those that reached an endpoint.
	attempts, endpointArrivals int
	// reoffers counts the retries taken from the budget of a declining service; reached are the endpoints that the request
	// was offered to.
	reoffers   int
	reached    []identifier.Endpoint
	picked     identifier.Endpoint
	pickedNode identifier.Node
	// attempting is set while an attempt at picked has not ended.
	attempting bool
	// attemptNode is the remote node at which an attempt is in flight, empty for none.
	attemptNode identifier.Node
	excluded    []identifier.Endpoint
	// permittedDomains are the failure domains whose endpoints may run the request, nil for all.
	permittedDomains map[identifier.FailureDomain]bool
	// mayHaveRun is set when an attempt may have run.
	mayHaveRun bool
	// answered is set once the request has got its answer.
	answered bool
	// arrivalCounted is set when a node has counted the request among its endpoint's arrivals. A request whose
	// connection attempts failed has not been counted and must still be counted at the next node; otherwise the last
	// endpoint of a service, which gets requests only after attempts at dead endpoints, would report too low a load.
	arrivalCounted bool
	// endpointFound is set when an attempt reached an endpoint or the node beside it, and the endpoint had not moved.
	endpointFound bool
	// awaitsUntil is the time until which the request waits for an endpoint, 0 if it has not waited yet.
	awaitsUntil clock.Time
	// rateUnchecked is set when this node had no token for the request; tokenWait is the time until it has one.
	rateUnchecked bool
	tokenWait     clock.Duration
	// refusedPart is the part of requests like this one that was refused for overload when it was admitted.
	refusedPart float64
	// heldBack is set when a limited endpoint had no room for the request; limitWait is how long the last such endpoint
	// would have kept it waiting.
	heldBack  bool
	limitWait clock.Duration
	// quarantineLeft is for how much longer the request is quarantined.
	quarantineLeft clock.Duration
}

func (c *Conductor) requestArrived(e RequestArrived, now clock.Time) {
	if c.matcher == nil {
		c.refuse(e.ID, http.StatusServiceUnavailable, NoConfiguration, retryAfterNoConfiguration)
		return
	}
	route, ok := c.matcher.Match(e.Host, e.Path)
	if !ok {
		c.refuseUnlessOverdue(e, http.StatusNotFound, NoRoute)
		return
	}
	team, ok := c.authenticate(e, route)
	if !ok {
		return
	}
	c.recordDecision(e, route, 0)
	r := &call{
		id:       e.ID,
		route:    route,
		team:     team,
		nested:   e.Key == "" && route.Public,
		parent:   e.Parent,
		arrived:  now,
		deadline: now.Add(route.Timeout),
		left:     route.Timeout,
		version:  c.matcher.Version(),
	}
	if e.Left > 0 {
		r.left = e.Left
		r.deadline = min(r.deadline, now.Add(e.Left))
	}
	c.kindCounts.route(r).Offered++
	if !c.admitWhileStopping(r, now) {
		return
	}
	r.permittedDomains = c.permittedDomainsOf(r)
	r.class = classOf(r)
	r.service = c.splitOf(route).next()
	if r.nested {
		r.rank = c.nestedRank(r)
		c.countNestedCall(e.Parent, identifier.Route(route.Name))
	}
	if !c.admit(r, now) {
		return
	}
	c.start(r, now)
}

// nestedRank returns the rank of a nested call: that of the run that makes it, if it is known.
func (c *Conductor) nestedRank(r *call) identifier.Rank {
	if caller, known := c.parents[r.parent]; known {
		return caller.rank
	}
	return r.class.rank(c.plan.costLevels[r.origin()], c.random.Uint64())
}

// start makes the first attempt of an admitted request.
func (c *Conductor) start(r *call, now clock.Time) {
	if !r.nested {
		r.rank = c.rankOf(r)
	}
	c.calls[r.id] = r
	c.kindCounts.route(r).Admitted++
	c.attempt(r, now)
}

// authenticate returns the team of the key; where it returns false, it has refused the request.
func (c *Conductor) authenticate(e RequestArrived, route *matcher.Route) (*matcher.Team, bool) {
	if route.Public || !c.matcher.HasTeams() {
		return nil, true
	}
	team, ok := c.matcher.TeamOf(e.Key)
	keysProved := c.keysProved(e.Boot)
	switch {
	case !ok && e.Key == "":
		c.refuseUnlessOverdue(e, http.StatusUnauthorized, UnknownKey)
		return nil, false
	case !ok && !keysProved:
		// The key may have been issued since this node last read the store.
		c.refuseByConfiguration(e, http.StatusServiceUnavailable, StaleKeys, retryAfterStaleKeys)
		return nil, false
	case !ok:
		c.refuseUnlessOverdue(e, http.StatusUnauthorized, UnknownKey)
		return nil, false
	case !keysProved:
		// The key may have been withdrawn since the last proof.
		c.refuseByConfiguration(e, http.StatusServiceUnavailable, StaleKeys, retryAfterStaleKeys)
		return nil, false
	}
	return team, true
}

// admit checks the load on the services that the request leads to, and the team's rate. Where it returns false, the
// request was refused, or continues when a token has been drawn.
func (c *Conductor) admit(r *call, now clock.Time) bool {
	if r.nested {
		return true
	}
	c.arrivalCounts.add(r.origin(), r.class)
	c.recentArrivals.add(r.origin(), r.class)
	if r.team != nil {
		c.teamArrivals.add(r.team.Name, identifier.Route(r.route.Name))
	}
	r.refusedPart = c.refusedRatio(r, now)
	if r.refusedPart > 0 && c.random.Float64() < r.refusedPart {
		c.refuseForPressure(r, r.refusedPart, now)
		return false
	}
	if c.lacksService(r) {
		c.refuseCall(r, http.StatusServiceUnavailable, NoEndpoint, c.jitter(r.retryAfterNoEndpoint(now)))
		return false
	}
	if r.team == nil {
		return true
	}
	if c.seeksMembers && r.team.Rate > 0 {
		c.refuseCall(r, http.StatusServiceUnavailable, MembersUnknown, c.jitter(retryAfterNoConfiguration))
		return false
	}
	if c.isPooled(r.team.Name) {
		return c.draw(r, now)
	}
	v := c.apportioner.Take(r.team.Name, now)
	if v.Allowed {
		return true
	}
	r.rateUnchecked, r.tokenWait = true, max(v.Wait, minRetryAfterOverRate)
	if v.Elsewhere {
		return true
	}
	c.refuseCall(r, http.StatusTooManyRequests, OverRate, c.jitter(r.tokenWait))
	return false
}

// forgetArrival takes back the count of a request that is over its team's rate. Such requests are refused whatever the load, so
// they are no demand; one team at several times its rate made the services seem overloaded to the others. The request stands
// for those that were refused for overload before their team's rate was looked at.
func (c *Conductor) forgetArrival(r *call) {
	n := 1 / (1 - min(maxRefusedPart, r.refusedPart))
	c.arrivalCounts.remove(r.origin(), r.class, n)
	c.recentArrivals.remove(r.origin(), r.class, n)
	c.teamArrivals.remove(r.team.Name, identifier.Route(r.route.Name), n)
}

// refuseForPressure refuses a request for the load on the services that it leads to; refused is the part of its kind that
// is refused.
func (c *Conductor) refuseForPressure(r *call, refused float64, now clock.Time) {
	perSecond, limited := c.plan.limits[r.origin()]
	if !limited {
		c.refuseCall(r, http.StatusServiceUnavailable, Pressure, c.jitter(retryAfterOverload(refused, r.left)))
		return
	}
	next := clock.Duration(float64(clock.Second) / perSecond)
	c.refuseCall(r, http.StatusServiceUnavailable, ServiceLimited, c.jitter(max(retryAfterPressure, r.retryAfterLimit(next, now))))
}

const (
	// retryAfterNoConfiguration is about how long a node takes to read its first configuration.
	retryAfterNoConfiguration = 300 * clock.Millisecond
	// retryAfterStaleKeys is how long even a brief outage of the store lasts; an earlier retry would fail as well.
	retryAfterStaleKeys = 500 * clock.Millisecond
	// retryAfterPressure is about the time in which a service's excess load changes by a tenth; it is the shortest time to
	// return after a refusal for overload.
	retryAfterPressure = 400 * clock.Millisecond
	// minRetryAfterOverRate keeps a team that is over its rate from retrying for each single token.
	minRetryAfterOverRate = 200 * clock.Millisecond
	// retryAfterNoRoom is how long a queue of a few requests takes to drain.
	retryAfterNoRoom = 150 * clock.Millisecond
)
