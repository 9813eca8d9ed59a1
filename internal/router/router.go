// Each node picks endpoints by itself, from slightly outdated measurements. If all nodes took the best endpoint, they
// would all take the same one and overload it. So a node uses the power of two choices: it draws two endpoints at
// random and takes the better one. It stays in its own failure domain while that has headroom (zone-aware routing with
// spillover).
//
// Example: the local failure domain is measured full, the other one half used: the call goes to the other one.

package router

import (
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Router picks endpoints for one node; it is not safe for concurrent use.
type Router struct {
	options  Options
	members  map[identifier.Endpoint]*member
	services map[identifier.Service]*service
}

// New returns a router without endpoints.
func New(o Options) *Router {
	return &Router{
		options:  o.withDefaults(),
		members:  make(map[identifier.Endpoint]*member),
		services: make(map[identifier.Service]*service),
	}
}

// Put adds an announced endpoint or updates it.
func (r *Router) Put(e Endpoint, now clock.Time) {
	m, ok := r.members[e.ID]
	if ok && m.endpoint.Service != e.Service {
		r.Remove(e.ID)
		ok = false
	}
	if !ok {
		m = &member{service: r.service(e.Service)}
		r.members[e.ID] = m
		r.service(e.Service).count++
	}
	if e.State == Cold && (!ok || m.endpoint.State != Cold) {
		m.startWarmUp(now)
	}
	m.endpoint = e
	r.regroup(m)
}

// Remove deletes an endpoint; calls in flight there may still be reported with Done.
func (r *Router) Remove(id identifier.Endpoint) {
	m, ok := r.members[id]
	if !ok {
		return
	}
	m.group.remove(m)
	r.services[m.endpoint.Service].count--
	delete(r.members, id)
}

// Count returns how many endpoints of the service are known.
func (r *Router) Count(name identifier.Service) int {
	s, ok := r.services[name]
	if !ok {
		return 0
	}
	return s.count
}

// SetRunTimes sets the mean run times at an endpoint as the node beside it reports them.
func (r *Router) SetRunTimes(id identifier.Endpoint, p RunTimes) {
	if m, ok := r.members[id]; ok && p != (RunTimes{}) {
		m.runTimes = p
	}
}

// Pick chooses an endpoint that is not excluded and counts the call as in flight there.
func (r *Router) Pick(name identifier.Service, now clock.Time, exclude []identifier.Endpoint) (Endpoint, bool) {
	choice, ok := r.PickWithin(name, now, exclude, Need{})
	return choice.Endpoint, ok
}

// PickWithin is Pick for a call with requirements.
func (r *Router) PickWithin(
	name identifier.Service,
	now clock.Time,
	exclude []identifier.Endpoint,
	need Need,
) (Choice, bool) {
	s, ok := r.services[name]
	if !ok {
		return Choice{}, false
	}
	m, crossing := r.choose(s, pickRequest{now: now, exclude: exclude, need: need})
	return r.take(m, crossing)
}

// take counts a call as in flight at a chosen endpoint, if there is one.
func (r *Router) take(m *member, crossing Crossing) (Choice, bool) {
	if m == nil {
		return Choice{}, false
	}
	m.inFlight++
	r.regroup(m)
	if m.endpoint.Domain == r.options.Domain {
		crossing = Inside
	}
	return Choice{Endpoint: m.endpoint, Crossing: crossing}, true
}

const (
	// spilloverScore is the score from which the local failure domain counts as having no headroom.
	spilloverScore = 0.98
	// crossDomainPenalty is by how much the cost of an endpoint in another failure domain must be lower: without it,
	// half of all calls would cross failure domains whenever every endpoint is full.
	crossDomainPenalty = 0.3
)

// pickRequest holds the arguments of a pick.
type pickRequest struct {
	now     clock.Time
	exclude []identifier.Endpoint
	need    Need
}

// allows returns whether an endpoint is not excluded and may run the call.
func (q pickRequest) allows(m *member) bool {
	return !slices.Contains(q.exclude, m.endpoint.ID) && q.need.allows(m.endpoint)
}

// choose returns an endpoint, and the reason for leaving the local failure domain if the endpoint is in another one.
func (r *Router) choose(s *service, q pickRequest) (*member, Crossing) {
	if m := r.probe(s, q); m != nil {
		return m, Probing
	}
	if len(q.need.Domains) > 0 {
		if m := r.bestInPreferredDomains(&s.remote, q); m != nil {
			return m, ForItsCalls
		}
	}
	local := r.betterOfTwo(&s.local, q)
	reason := NearFull
	if local != nil && local.score(q.now, r.options) < spilloverScore {
		reason = NearSlow
		if local.lateness(q.need) == 0 {
			return local, Inside
		}
	}
	remote := r.betterOfTwo(&s.remote, q)
	switch {
	case local == nil && remote == nil:
		return r.lastResort(s, q), NoneSound
	case local == nil:
		return remote, NoneNear
	case remote == nil:
		return local, Inside
	case r.cost(remote, q)+crossDomainPenalty < r.cost(local, q):
		return remote, reason
	default:
		return local, Inside
	}
}

// cost is lower for the better choice.
func (r *Router) cost(m *member, q pickRequest) float64 {
	return m.score(q.now, r.options) + m.lateness(q.need) + m.queuePenalty(q.need.Within, q.now, r.options)
}

func (r *Router) lastResort(s *service, q pickRequest) *member {
	for _, g := range []*group{&s.limited, &s.stopping, &s.ejected, &s.suspect} {
		if m := r.betterOfTwo(g, q); m != nil {
			return m
		}
	}
	return nil
}

// betterOfTwo returns the better of two random members, or nil if no member may run the call.
func (r *Router) betterOfTwo(g *group, q pickRequest) *member {
	n := len(g.members)
	if n == 0 {
		return nil
	}
	first := r.options.Rand.IntN(n)
	a := r.nextAllowed(g, first, q)
	if a == nil || n == 1 {
		return a
	}
	second := r.options.Rand.IntN(n - 1)
	if second >= first {
		second++
	}
	b := r.nextAllowed(g, second, q)
	if r.cost(b, q) < r.cost(a, q) {
		return b
	}
	return a
}

// bestInPreferredDomains returns the best endpoint with headroom in the failure domains that serve the call's nested
// calls; it compares all of them, since there are rarely more than a few.
func (r *Router) bestInPreferredDomains(g *group, q pickRequest) *member {
	var best *member
	for _, m := range g.members {
		if !slices.Contains(q.need.Domains, m.endpoint.Domain) || !q.allows(m) {
			continue
		}
		if m.score(q.now, r.options) < spilloverScore && (best == nil || r.cost(m, q) < r.cost(best, q)) {
			best = m
		}
	}
	return best
}

// nextAllowed returns the first member from index start on, wrapping around, that may run the call.
func (r *Router) nextAllowed(g *group, start int, q pickRequest) *member {
	n := len(g.members)
	for i := range n {
		m := g.members[(start+i)%n]
		if q.allows(m) {
			return m
		}
	}
	return nil
}

// Done reports how a picked call ended.
func (r *Router) Done(id identifier.Endpoint, result Result, now clock.Time) {
	m, ok := r.members[id]
	if !ok {
		return
	}
	m.inFlight = max(0, m.inFlight-1)
	if result.Outcome == Succeeded || result.Outcome == Refused {
		m.headroom, m.queueWait = result.Headroom, result.Wait
		m.measuredAt, m.inFlightWhenMeasured = now, m.inFlight
		m.hasMeasurement = true
		m.service.meanUtilization += utilizationWeight * (m.measuredUtilization() - m.service.meanUtilization)
		m.recordRefusal(result.Outcome == Refused)
	}
	if result.Outcome == Succeeded {
		m.recordLatency(result.Latency)
	}
	r.recordOutcome(m, result.Outcome, now)
	r.regroup(m)
}

// InFlight returns how many picks of all endpoints have not ended.
func (r *Router) InFlight() (count int) {
	for _, m := range r.members {
		count += m.inFlight
	}
	return count
}

func (r *Router) service(name identifier.Service) *service {
	s, ok := r.services[name]
	if !ok {
		s = &service{}
		r.services[name] = s
	}
	return s
}

// regroup moves the member to the group for its state, connection limit and ejection.
func (r *Router) regroup(m *member) {
	s := r.service(m.endpoint.Service)
	target := r.groupOf(s, m)
	if m.group == target {
		return
	}
	if m.group != nil {
		m.group.remove(m)
	}
	target.add(m)
}

func (r *Router) groupOf(s *service, m *member) *group {
	switch {
	case m.endpoint.State == Leaving || m.endpoint.State == Evacuated:
		return &s.leaving
	case m.atConnectionLimit():
		return &s.full
	case m.endpoint.State == Suspect:
		return &s.suspect
	case m.ejectedUntil != 0:
		return &s.ejected
	case m.endpoint.State == Limited:
		return &s.limited
	case m.endpoint.State == Stopping:
		return &s.stopping
	case m.endpoint.Domain == r.options.Domain:
		return &s.local
	default:
		return &s.remote
	}
}
