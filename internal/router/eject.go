// An endpoint that fails fast looks idle and attracts more calls. Outlier ejection helps only as long as the remaining
// endpoints can carry the load: if a shared cause makes all of them fail, ejecting one after the other would overload
// the last one. So at most a third is ejected, and each is readmitted by a half-open probe, a single call.
//
// Example: 6 endpoints, all failing: 2 are ejected, the other 4 continue to get calls.

package router

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
)

// usablePerEjected is how many usable endpoints must remain for each ejected one.
const usablePerEjected = 2

func (r *Router) recordOutcome(m *member, o Outcome, now clock.Time) {
	switch o {
	case Succeeded, Refused:
		m.failures = 0
		r.readmit(m, now)
	case Failed:
		m.failures++
		r.handleFailure(m, now)
	case Cancelled:
		m.probing = false
	}
}

func (r *Router) readmit(m *member, now clock.Time) {
	m.probing = false
	if m.ejectedUntil == 0 {
		return
	}
	m.ejectedUntil = 0
	m.ejections = max(0, m.ejections-1)
	m.startWarmUp(now)
}

func (r *Router) handleFailure(m *member, now clock.Time) {
	if m.ejectedUntil != 0 {
		if m.probing {
			m.probing = false
			r.scheduleProbe(m, now)
		}
		return
	}
	if m.failures >= r.options.FailuresToEject && r.mayEject(m, now) {
		r.scheduleProbe(m, now)
	}
}

func (r *Router) mayEject(m *member, now clock.Time) bool {
	s := r.services[m.endpoint.Service]
	if m.group != &s.local && m.group != &s.remote {
		return false
	}
	rest := s.usable() - 1
	if rest >= usablePerEjected*(len(s.ejected.members)+1) {
		return true
	}
	other := s.otherUsable(m)
	return rest == 1 && other.failures == 0 && other.hasMeasurement && other.utilization(now, r.options) < maxPairUtilization
}

// maxPairUtilization is the utilization of the only other endpoint below which a failing endpoint of two may be
// ejected.
const maxPairUtilization = 0.5

// otherUsable returns the usable endpoint besides m; there must be exactly one.
func (s *service) otherUsable(m *member) *member {
	for _, g := range []*group{&s.local, &s.remote} {
		for _, candidate := range g.members {
			if candidate != m {
				return candidate
			}
		}
	}
	return nil
}

// scheduleProbe ejects the endpoint until its next probe. The interval doubles with each ejection and is jittered, so
// that nodes do not probe at the same time.
func (r *Router) scheduleProbe(m *member, now clock.Time) {
	interval := r.options.EjectTime << min(m.ejections, 10)
	interval = min(interval, r.options.EjectMax)
	m.ejections++
	jitter := clock.Duration(r.options.Rand.Int64N(int64(interval)/2 + 1))
	m.ejectedUntil = now.Add(interval + jitter)
}

// probe returns an ejected endpoint whose probe is due, for a single call.
func (r *Router) probe(s *service, q pickRequest) *member {
	n := len(s.ejected.members)
	if n == 0 {
		return nil
	}
	m := r.nextAllowed(&s.ejected, r.options.Rand.IntN(n), q)
	if m == nil || m.probing || q.now < m.ejectedUntil {
		return nil
	}
	m.probing = true
	return m
}
