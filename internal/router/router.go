// Every node picks for itself, from figures that are always a little old. If all took the best endpoint, all
// would take the same one, and flood it. So a node draws two at random and takes the better of them, in its
// own failure domain while that has headroom.
//
// Example: own domain measured full, the other half used: the call goes to the other.

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

// New returns a router that knows no endpoint.
func New(o Options) *Router {
	return &Router{
		options:  o.withDefaults(),
		members:  make(map[identifier.Endpoint]*member),
		services: make(map[identifier.Service]*service),
	}
}

// Put takes an announced endpoint over, new or changed.
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
		m.warmUp(now)
	}
	m.endpoint = e
	r.place(m)
}

// Remove forgets an endpoint; calls in flight there may still be reported with Done.
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

// Learn takes over how long a run at an endpoint takes on average, as the node beside it says.
func (r *Router) Learn(id identifier.Endpoint, p RunTimes) {
	if m, ok := r.members[id]; ok && p != (RunTimes{}) {
		m.runTimes = p
	}
}

// Pick chooses an endpoint that is not excluded and counts the call as in flight there.
func (r *Router) Pick(name identifier.Service, now clock.Time, exclude []identifier.Endpoint) (Endpoint, bool) {
	choice, ok := r.PickWithin(name, now, exclude, Need{})
	return choice.Endpoint, ok
}

// PickWithin is Pick for a call with a need.
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
	m, crossing := r.choose(s, request{now: now, exclude: exclude, need: need})
	if m == nil {
		return Choice{}, false
	}
	m.inFlight++
	r.place(m)
	if m.endpoint.Domain == r.options.Domain {
		crossing = Inside
	}
	return Choice{Endpoint: m.endpoint, Crossing: crossing}, true
}

const (
	// spillScore is the score from which the own failure domain counts as having no headroom.
	spillScore = 0.98
	// farCost is by how much an endpoint elsewhere must be better: without it, half of all calls would cross
	// failure domains whenever every endpoint is full.
	farCost = 0.3
)

// request is what a pick is for.
type request struct {
	now     clock.Time
	exclude []identifier.Endpoint
	need    Need
}

// allows tells whether an endpoint is not excluded and may run the call.
func (q request) allows(m *member) bool {
	return !slices.Contains(q.exclude, m.endpoint.ID) && q.need.allows(m.endpoint)
}

// choose returns an endpoint, and why it would be one elsewhere.
func (r *Router) choose(s *service, q request) (*member, Crossing) {
	if m := r.probe(s, q); m != nil {
		return m, Probing
	}
	if len(q.need.Domains) > 0 {
		if m := r.drawIn(&s.far, q); m != nil {
			return m, ForItsCalls
		}
	}
	near := r.draw(&s.near, q)
	reason := NearFull
	if near != nil && near.score(q.now, r.options) < spillScore {
		reason = NearSlow
		if near.lateness(q.need) == 0 {
			return near, Inside
		}
	}
	far := r.draw(&s.far, q)
	switch {
	case near == nil && far == nil:
		return r.lastResort(s, q), NoneSound
	case near == nil:
		return far, NoneNear
	case far == nil:
		return near, Inside
	case r.cost(far, q)+farCost < r.cost(near, q):
		return far, reason
	default:
		return near, Inside
	}
}

// cost is lower for the better choice.
func (r *Router) cost(m *member, q request) float64 {
	return m.score(q.now, r.options) + m.lateness(q.need) + m.queueing(q.need.Within, q.now, r.options)
}

func (r *Router) lastResort(s *service, q request) *member {
	for _, g := range []*group{&s.limited, &s.stopping, &s.ejected, &s.suspect} {
		if m := r.draw(g, q); m != nil {
			return m
		}
	}
	return nil
}

// draw takes the better of two random members, or any that is allowed.
func (r *Router) draw(g *group, q request) *member {
	n := len(g.members)
	if n == 0 {
		return nil
	}
	first := r.options.Rand.IntN(n)
	a := r.allowed(g, first, q)
	if a == nil || n == 1 {
		return a
	}
	second := r.options.Rand.IntN(n - 1)
	if second >= first {
		second++
	}
	b := r.allowed(g, second, q)
	if r.cost(b, q) < r.cost(a, q) {
		return b
	}
	return a
}

// drawIn takes an endpoint with room in the domains that the call needs, the best of those; there are rarely more than a few.
func (r *Router) drawIn(g *group, q request) *member {
	var best *member
	for _, m := range g.members {
		if !slices.Contains(q.need.Domains, m.endpoint.Domain) || !q.allows(m) {
			continue
		}
		if m.score(q.now, r.options) < spillScore && (best == nil || r.cost(m, q) < r.cost(best, q)) {
			best = m
		}
	}
	return best
}

// allowed returns the member at the place, or the next one that may run the call.
func (r *Router) allowed(g *group, place int, q request) *member {
	n := len(g.members)
	for i := range n {
		m := g.members[(place+i)%n]
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
		m.headroom, m.wait = result.Headroom, result.Wait
		m.measured, m.measuredOwn = now, m.inFlight
		m.known = true
		m.service.used += newestUse * (m.measuredUse() - m.service.used)
		m.learnRefusal(result.Outcome == Refused)
	}
	if result.Outcome == Succeeded {
		m.learnLatency(result.Latency)
	}
	r.judge(m, result.Outcome, now)
	r.place(m)
}

func (r *Router) service(name identifier.Service) *service {
	s, ok := r.services[name]
	if !ok {
		s = &service{}
		r.services[name] = s
	}
	return s
}

// place puts the member into the group that its state and ejection ask for.
func (r *Router) place(m *member) {
	s := r.service(m.endpoint.Service)
	want := r.groupOf(s, m)
	if m.group == want {
		return
	}
	if m.group != nil {
		m.group.remove(m)
	}
	want.add(m)
}

func (r *Router) groupOf(s *service, m *member) *group {
	switch {
	case m.endpoint.State == Leaving || m.endpoint.State == Evacuated:
		return &s.leaving
	case m.full():
		return &s.full
	case m.endpoint.State == Suspect:
		return &s.suspect
	case m.until != 0:
		return &s.ejected
	case m.endpoint.State == Limited:
		return &s.limited
	case m.endpoint.State == Stopping:
		return &s.stopping
	case m.endpoint.Domain == r.options.Domain:
		return &s.near
	default:
		return &s.far
	}
}
