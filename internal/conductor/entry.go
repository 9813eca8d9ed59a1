package conductor

// A request is judged once where it comes in: is there a route, whose key is it, is the team within its rate, can its
// whole chain be carried. What is refused here has cost nothing yet.
//
// Example: a route with Timeout 1000 and a caller that waits 5000: the deadline is 1000 from now.

import (
	"net/http"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
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
	// allowed are the failure domains whose endpoints may run it, nil for all.
	allowed map[identifier.FailureDomain]bool
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
	// rateUnchecked tells that this node had no token for the request; wait is until it has one.
	rateUnchecked bool
	wait          clock.Duration
}

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
	r.allowed = c.allowedDomains(r)
	r.class = classOf(r)
	r.service = c.splitOf(route).next()
	r.rank = r.class.rank(c.plan.costLevels[r.origin()], c.random.Uint64())
	if r.nested {
		of, known := c.parents[e.Parent]
		if known {
			r.rank = of.rank
		}
		c.runs.called(of.route, identifier.Route(route.Name))
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

// admit judges the pressure on the services that the request leads to, and the team's rate. Where it returns false, the
// request was refused, or goes on when a token has been drawn.
func (c *Conductor) admit(r *call, now clock.Time) bool {
	if r.nested {
		return true
	}
	c.arrivals.add(r.origin(), r.class)
	if part := c.refusedPart(r, now); part > 0 && c.random.Float64() < part {
		c.refuse(r.id, http.StatusServiceUnavailable, Pressure, c.spread(retryPressed))
		return false
	}
	if c.lacksService(r) {
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
	r.rateUnchecked, r.wait = true, max(v.Wait, retryOverRate)
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
