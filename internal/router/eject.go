// An endpoint that fails fast looks idle and draws ever more calls. Ejecting it helps only as long as the rest
// can carry the load: when a shared cause makes all fail, ejecting them one by one would drown the last one.
// So at most a third is ejected, and each comes back by a single probe call.
//
// Example: 6 endpoints, all failing: 2 are ejected, the other 4 go on getting calls.

package router

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
)

// keepFactor is how many usable endpoints must stay for each ejected one.
const keepFactor = 2

func (r *Router) judge(m *member, o Outcome, now clock.Time) {
	switch o {
	case Succeeded, Refused:
		m.failures = 0
		r.restore(m, now)
	case Failed:
		m.failures++
		r.eject(m, now)
	case Cancelled:
		m.probing = false
	}
}

func (r *Router) restore(m *member, now clock.Time) {
	m.probing = false
	if m.until == 0 {
		return
	}
	m.until = 0
	m.ejections = max(0, m.ejections-1)
	m.warmUp(now)
}

func (r *Router) eject(m *member, now clock.Time) {
	if m.until != 0 {
		if m.probing {
			m.probing = false
			r.extend(m, now)
		}
		return
	}
	if m.failures >= r.options.FailuresToEject && r.mayEject(m, now) {
		r.extend(m, now)
	}
}

func (r *Router) mayEject(m *member, now clock.Time) bool {
	s := r.services[m.endpoint.Service]
	if m.group != &s.near && m.group != &s.far {
		return false
	}
	rest := s.usable() - 1
	if rest >= keepFactor*(len(s.ejected.members)+1) {
		return true
	}
	other := s.other(m)
	return rest == 1 && other.failures == 0 && other.known && other.used(now, r.options) < pairUse
}

// pairUse is how much of the only other endpoint may be in use for a failing one to be ejected.
const pairUse = 0.5

// other returns the usable endpoint besides m; there must be exactly one.
func (s *service) other(m *member) *member {
	for _, g := range []*group{&s.near, &s.far} {
		for _, candidate := range g.members {
			if candidate != m {
				return candidate
			}
		}
	}
	return nil
}

// extend sets the next probe, later after each ejection, and jittered so that nodes do not probe together.
func (r *Router) extend(m *member, now clock.Time) {
	span := r.options.EjectTime << min(m.ejections, 10)
	span = min(span, r.options.EjectMax)
	m.ejections++
	jitter := clock.Duration(r.options.Rand.Int64N(int64(span)/2 + 1))
	m.until = now.Add(span + jitter)
}

// probe returns an ejected endpoint whose time has come, for a single call.
func (r *Router) probe(s *service, q request) *member {
	n := len(s.ejected.members)
	if n == 0 {
		return nil
	}
	m := r.allowed(&s.ejected, r.options.Rand.IntN(n), q)
	if m == nil || m.probing || q.now < m.until {
		return nil
	}
	m.probing = true
	return m
}
