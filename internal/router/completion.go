// Endpoints of some services tell their pace: how long work takes on their VM at this moment. The utilization of a VM
// that has just turned slow rises only as its runs do not end, when its queue has already formed. So endpoints of such a
// service are compared by the time at which a call sent now is expected to be answered.
//
// Example: 40 ms at a pace of 250 in an idle endpoint are 100 ms; 60 ms at the usual pace and 20 ms in the queue are 80.

package router

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/gauger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	// paceMemory is how long after the last told pace the endpoints of a service are compared by completion time. It is
	// longer than a pace is used: with the other comparison between two answers, a rarely called service would send each
	// second call to a slow endpoint.
	paceMemory = 10 * clock.Second
	// crossDomainLatency is what a round trip to another failure domain of the region takes longer, with a margin;
	// domains are 0.9 to 1.4 ms apart.
	crossDomainLatency = 3.0
	// slowFactor is the factor of the run time from which an endpoint counts as slow in the metrics.
	slowFactor = 1.5
	// maxDraws is how many random endpoints are compared at most. Over the two loads of TestUnevenEndpoints, 2 leave 7,776
	// and 3,821 calls late, 4 leave 5,214 and 2,278, 6 leave 4,565 and 1,900, and 12 leave 4,739 and 1,600.
	maxDraws = 6
	// spilloverDraws is how many other endpoints are asked for headroom before a call leaves the local failure domain. If
	// none were, 48 of 22,437 calls would leave it when all VMs are slow, as the fast ones are full then.
	spilloverDraws = 3
	// congestionWeight is the wait at a load of 1 as a part of the run time, and queueWeight the weight of the queue that
	// an answer shows: it was seen by other nodes as well and has usually grown since.
	congestionWeight = 2
	queueWeight      = 2
)

// SetPace records the pace that an endpoint tells, for the endpoint beside this node.
func (r *Router) SetPace(id identifier.Endpoint, p gauger.Pace, now clock.Time) {
	if m, ok := r.members[id]; ok {
		m.learnPace(p, now)
	}
}

// SlowEndpoints returns how many endpoints besides the given one are slow at present, as far as this node knows.
func (r *Router) SlowEndpoints(besides identifier.Endpoint, now clock.Time) int {
	n := 0
	for id, m := range r.members {
		if id != besides && m.pace.Factor(now) >= slowFactor {
			n++
		}
	}
	return n
}

func (m *member) learnPace(p gauger.Pace, now clock.Time) {
	if p == 0 {
		return
	}
	m.pace.Learn(p, now)
	m.service.tellsPace, m.service.paceToldAt = true, now
}

// comparesCompletion returns whether the service's endpoints are compared by expected completion time.
func (s *service) comparesCompletion(now clock.Time) bool {
	return s.tellsPace && now.Sub(s.paceToldAt) <= paceMemory
}

// betterByCompletion returns the better of two members, or a better one of up to maxDraws random ones if a slow but
// ordinary run of the better of two would be late.
func (r *Router) betterByCompletion(g *group, a, b *member, q pickRequest) *member {
	best, least := a, r.completion(a, q)
	compare := func(m *member) {
		if expected := r.completion(m, q); expected < least {
			best, least = m, expected
		}
	}
	compare(b)
	for range maxDraws - 2 {
		if g != &a.service.local || tailFactor*least <= float64(q.need.Within) || q.need.Within <= 0 {
			break
		}
		compare(r.nextAllowed(g, r.options.Rand.IntN(len(g.members)), q))
	}
	return best
}

// nearHeadroom returns whether the local failure domain counts as having headroom, from the local endpoint that was
// picked. Among endpoints that tell their pace a full one may be the best, so others are asked as well.
func (r *Router) nearHeadroom(s *service, picked *member, q pickRequest) bool {
	if picked.score(q.now, r.options) < spilloverScore {
		return true
	}
	if !s.comparesCompletion(q.now) {
		return false
	}
	for range spilloverDraws {
		m := r.nextAllowed(&s.local, r.options.Rand.IntN(len(s.local.members)), q)
		if m.score(q.now, r.options) < spilloverScore {
			return true
		}
	}
	return false
}

// completion returns the milliseconds until a call sent now is expected to be answered.
func (r *Router) completion(m *member, q pickRequest) float64 {
	queue := float64(m.queueWait) * (1 - m.staleness(q.now, m.headroomAge(r.options)))
	total := m.expectedRun(q)*(1+congestion(m.load(q.now, r.options))) + queueWeight*queue + r.refusalCost(m, q)
	if m.endpoint.Domain != r.options.Domain {
		total += crossDomainLatency
	}
	return total
}

// minExpectedRun is the shortest run in milliseconds that is expected. Before the first answer of a service none is known,
// and with an expected run of 0 the load of its endpoints would not count.
const minExpectedRun = 1.0

// runTimeWeight is the smoothing weight of one report in the run times of a service.
const runTimeWeight = 1.0 / 8

// learnRunTimes takes the run times that the node beside one of the service's endpoints reports.
func (s *service) learnRunTimes(p RunTimes) {
	learn := func(mean *float64, reported clock.Duration) {
		switch {
		case reported <= 0:
		case *mean == 0:
			*mean = float64(reported)
		default:
			*mean += runTimeWeight * (float64(reported) - *mean)
		}
	}
	learn(&s.runTimes.root, p.Root)
	learn(&s.runTimes.nested, p.Nested)
}

// runTime returns the mean run time of one kind of call in milliseconds, or that of the other kind if there was none.
func (s *service) runTime(nested bool) float64 {
	if nested && s.runTimes.nested > 0 || s.runTimes.root == 0 {
		return s.runTimes.nested
	}
	return s.runTimes.root
}

// expectedRun returns the milliseconds for which a call of this kind is expected to run at the endpoint's present pace. An
// endpoint whose run times are not known yet counts as an average one of its service: as one that runs at once, it would
// get most of the calls.
func (m *member) expectedRun(q pickRequest) float64 {
	run := float64(m.runTimes.forKind(q.need.Nested))
	if run == 0 {
		run = m.service.runTime(q.need.Nested)
	}
	if run == 0 {
		run = m.service.latency
	}
	return max(minExpectedRun, run) * m.pace.Factor(q.now)
}

// congestion returns the expected wait for a free slot as a part of the run time. It grows with the cube of the load,
// since the load is known from the last answer only and other nodes have sent calls meanwhile; calls beyond the slots
// are queued.
func congestion(load float64) float64 {
	return congestionWeight*load*load*load + queueWeight*max(0, load-1)
}

// refusalCost is the cost in milliseconds of being refused and sent elsewhere, in the same proportion to a queue as in
// score.
func (r *Router) refusalCost(m *member, q pickRequest) float64 {
	within := q.need.Within
	if within <= 0 {
		within = defaultWithin
	}
	return refusalPenalty * m.currentRefusalRate(q.now, r.options) * float64(within)
}
