package conductor

// An overload is judged afterwards by what became of each kind of request: how many were offered, which decision refused how
// many, and how much of the slot time of a full service went to requests that then failed. Each node counts this for the
// requests that enter at it, by route, and for the runs at its endpoint, by level of rank, which is all that it knows of their
// root requests. The counts are taken each second; summed over the nodes, they are those of the fleet.
//
// Example: browse: 100 offered, 60 refused by pressure/clock, 39 answered, 1 late; level 4 at clock: 312 runs, 15,600 ms.

import (
	"cmp"
	"maps"
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Decision is what refused a request: the reason, for an overloaded or declining service followed by a slash and its name.
type Decision string

const (
	pressureDecision  = string(Pressure) + "/"
	decliningDecision = "declining/"
	// otherRoutes is the route under which the counts of all but the busiest routes are summed.
	otherRoutes identifier.Route = "other"
	// maxCountedRoutes bounds the routes that are reported by name.
	maxCountedRoutes = 16
)

// RouteCounts is what became of the requests of one route that entered at this node.
type RouteCounts struct {
	// Offered requests had a route, and a key where one is needed. Admitted are those that were sent, or waited for an endpoint.
	Offered, Admitted int64
	// Answered requests got an endpoint's answer within the route's objective, Late ones a later one. Failed ones got an
	// endpoint's 5xx or may have run without an answer, Left are those whose callers left.
	Answered, Late, Failed, Left int64
	// Refused are the requests that were answered as not run.
	Refused map[Decision]int64
}

func (r *RouteCounts) add(o *RouteCounts) {
	r.Offered += o.Offered
	r.Admitted += o.Admitted
	r.Answered += o.Answered
	r.Late += o.Late
	r.Failed += o.Failed
	r.Left += o.Left
	for d, n := range o.Refused {
		r.refused(d, n)
	}
}

func (r *RouteCounts) refused(d Decision, n int64) {
	if r.Refused == nil {
		r.Refused = map[Decision]int64{}
	}
	r.Refused[d] += n
}

// Fields returns the counts under the names that a log line shows.
func (r *RouteCounts) Fields() map[string]any {
	return map[string]any{
		"offered": r.Offered, "admitted": r.Admitted, "answered": r.Answered, "late": r.Late, "failed": r.Failed, "left": r.Left,
		"refused": r.Refused,
	}
}

// RunCounts is what became of the deliveries of one level at the local endpoint.
type RunCounts struct {
	// Runs are the deliveries that ended after they were passed on, with the SlotTime that they took. Failed and FailedSlotTime
	// are those of them that were of no use to their callers.
	Runs, Failed             int64
	SlotTime, FailedSlotTime clock.Duration
	// TurnedAway are the deliveries for which there was no slot in time.
	TurnedAway int64
}

// Fields returns the counts under the names that a log line shows.
func (r *RunCounts) Fields() map[string]any {
	return map[string]any{
		"runs": r.Runs, "failed": r.Failed, "slotMs": int64(r.SlotTime), "failedSlotMs": int64(r.FailedSlotTime),
		"turnedAway": r.TurnedAway,
	}
}

// KindCounts is what became of requests and deliveries within some time.
type KindCounts struct {
	Routes map[identifier.Route]*RouteCounts
	Runs   map[identifier.Level]*RunCounts
}

func (k *KindCounts) route(r *call) *RouteCounts {
	return countsOf(&k.Routes, identifier.Route(r.route.Name))
}

func (k *KindCounts) runs(rank identifier.Rank) *RunCounts {
	return countsOf(&k.Runs, rank.Level())
}

// countsOf returns the counts of a key, which are added if they are missing.
func countsOf[K comparable, C any](all *map[K]*C, key K) *C {
	if *all == nil {
		*all = map[K]*C{}
	}
	counts, ok := (*all)[key]
	if !ok {
		counts = new(C)
		(*all)[key] = counts
	}
	return counts
}

// bounded sums the counts of all but the busiest routes.
func (k KindCounts) bounded() KindCounts {
	if len(k.Routes) <= maxCountedRoutes {
		return k
	}
	routes := slices.SortedFunc(maps.Keys(k.Routes), func(a, b identifier.Route) int {
		return cmp.Or(cmp.Compare(k.Routes[b].Offered, k.Routes[a].Offered), cmp.Compare(a, b))
	})
	for _, route := range routes[maxCountedRoutes:] {
		counts := k.Routes[route]
		delete(k.Routes, route)
		countsOf(&k.Routes, otherRoutes).add(counts)
	}
	return k
}

// TakeKindCounts returns the counts since it was last called.
func (c *Conductor) TakeKindCounts() KindCounts {
	counts := c.kindCounts
	c.kindCounts = KindCounts{}
	return counts.bounded()
}

// countAnswer counts the end of a request by an endpoint's answer.
func (c *Conductor) countAnswer(r *call, status int, now clock.Time) {
	r.answered = true
	counts := c.kindCounts.route(r)
	switch {
	case status >= firstServerError:
		counts.Failed++
	case r.route.Objective > 0 && now.Sub(r.arrived) > r.route.Objective:
		counts.Late++
	default:
		counts.Answered++
	}
}

// countRefusal counts the end of a request by an answer of this node.
func (c *Conductor) countRefusal(r *call, reason Reason) {
	counts := c.kindCounts.route(r)
	r.answered = true
	if r.mayHaveRun {
		counts.Failed++
		return
	}
	decision := Decision(reason)
	if reason == Pressure || reason == ServiceLimited {
		decision = cmp.Or(c.plan.causes[r.kind()].decision, decision)
	}
	counts.refused(decision, 1)
}

// refusalCause is the decision that refuses most of a kind, and the part of the kind that it refuses.
type refusalCause struct {
	decision Decision
	part     float64
}

// blame records the decision by which a part of a kind is refused.
func (p *plan) blame(k requestKind, part float64, decision Decision) {
	if part > p.causes[k].part {
		p.causes[k] = refusalCause{decision: decision, part: part}
	}
}
