// A delivery is a call at the node of its endpoint, on the way to a backend server of this VM. The gate refuses calls
// beyond the capacity, the limiter queues and dispatches the others, and the token identifies the delivery in nested
// calls of the backend server.
//
// Example: DeliveryArrived → Queue (no effect) → a slot becomes free → Dispatch → DeliveryEnded → EndDelivery.

package reducer

import (
	"github.com/jackdawtide/jackdawtide/internal/admitter"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/limiter"
	"github.com/jackdawtide/jackdawtide/internal/retrier"
)

type delivery struct {
	id       CallID
	request  identifier.Request
	root     identifier.Request
	team     identifier.Team
	keyHash  identifier.KeyHash
	rank     identifier.Rank
	deadline clock.Time
	depth    uint8
	budget   retrier.Budget
	token    Token
	route    admitter.Route
	backend  *backend
	// share is the share of the team's calls that enter at the same node as this one; 255 stands for all.
	share   uint8
	arrived clock.Time
	started bool
	// nestedCalls counts the calls in progress that the backend server has made on behalf of this one.
	nestedCalls int
}

// learnThreshold updates the chain of the delivery's backend server with the threshold of a service that it calls.
func (d *delivery) learnThreshold(c *call, t identifier.Threshold, now clock.Time) {
	d.backend.chain.LearnThreshold(d.route, c.service, t, now)
}

func (s *State) deliveryArrived(e *DeliveryArrived) {
	s.counters.Delivered++
	d := &delivery{
		id:       e.Delivery,
		request:  e.Request,
		root:     e.Root,
		team:     e.Team,
		keyHash:  e.KeyHash,
		rank:     e.Rank,
		deadline: s.now.Add(e.Deadline),
		depth:    e.Depth,
		budget:   retrier.NewBudget(e.Allowance),
		token:    e.Token,
		arrived:  s.now,
	}
	b, ok := s.backends[e.Endpoint]
	if !ok {
		s.refuseDelivery(d, NoBackend)
		return
	}
	d.backend = b
	d.route = s.routeOf(e)
	b.meter.CountCall(e.Attempt > 1, s.now)
	if b.refusesNew(s.now) {
		s.refuseDelivery(d, EndpointLeaving)
		return
	}
	b.gate.Observe(b.limiter.QueueDelay(s.now), s.now)
	if !b.gate.Admit(d.rank, s.now) {
		s.refuseDelivery(d, Shed)
		return
	}
	s.deliveries[d.id] = d
	if d.depth == 0 {
		d.share = b.shares.CountCall(d.team, e.From, s.now)
	}
	call := limiter.Call{ID: limiter.CallID(d.id), Rank: d.rank, Deadline: d.deadline}
	s.applyVerdicts(b, b.limiter.Offer(call, s.now, s.verdicts[:0]))
}

func (s *State) routeOf(e *DeliveryArrived) admitter.Route {
	if s.rules == nil {
		return 0
	}
	r, ok := s.rules.services[e.Service]
	if !ok {
		return 0
	}
	return r.match(e.Method, e.Path).route
}

// applyVerdicts converts the limiter's verdicts into effects. The loop also handles verdicts that are added while it
// runs: if the key of a call was withdrawn while the call was queued, its slot goes to the next call, which gives a
// further verdict.
func (s *State) applyVerdicts(b *backend, verdicts []limiter.Verdict) {
	s.verdicts = verdicts
	for i := 0; i < len(s.verdicts); i++ {
		v := s.verdicts[i]
		d, ok := s.deliveries[CallID(v.ID)]
		if !ok {
			continue
		}
		switch v.Action {
		case limiter.Dispatch:
			s.dispatch(b, d)
		case limiter.Shed:
			s.dropDelivery(d, b.shedReason())
		case limiter.Expire:
			s.dropDelivery(d, DeadlinePassed)
		case limiter.Queue:
		}
	}
	s.verdicts = s.verdicts[:0]
}

func (s *State) dispatch(b *backend, d *delivery) {
	left := d.deadline.Sub(s.now)
	if !s.keyValid(d) {
		s.dropDelivery(d, UnknownKey)
		s.verdicts = b.limiter.Done(limiter.CallID(d.id), limiter.Cancelled, s.now, s.verdicts)
		return
	}
	d.started = true
	s.tokens[d.token] = d
	b.gate.Served(s.now)
	b.gate.Observe(s.now.Sub(d.arrived), s.now)
	b.chain.CountCall(d.route)
	s.counters.Dispatched++
	s.emit(Dispatch{
		Delivery:   d.id,
		Endpoint:   b.id,
		Deadline:   max(left, 1),
		Self:       s.options.Self,
		RetryAfter: s.randomRetryAfter(),
	})
}

// keyValid reports whether the delivery's key is still valid; it may have been withdrawn while the call was queued.
// Nested calls carry no key: they belong to a call that was already dispatched and is not interrupted.
func (s *State) keyValid(d *delivery) bool {
	if d.keyHash == "" {
		return true
	}
	_, ok := s.configurer.Resolve(d.keyHash)
	return ok
}

func (s *State) deliveryEnded(e *DeliveryEnded) {
	d, ok := s.deliveries[e.Delivery]
	if !ok {
		return
	}
	b := d.backend
	s.forgetDelivery(d)
	s.applyVerdicts(b, b.limiter.Done(limiter.CallID(d.id), limiterOutcome(e.Result), s.now, s.verdicts[:0]))
	b.gate.Observe(b.limiter.QueueDelay(s.now), s.now)
	s.emit(EndDelivery{Delivery: d.id, Tail: s.tail(d)})
}

func limiterOutcome(r DeliveryResult) limiter.Outcome {
	switch r {
	case DeliverySucceeded:
		return limiter.Succeeded
	case DeliveryTimedOut:
		return limiter.TimedOut
	case DeliveryAborted:
		return limiter.Cancelled
	default:
		return limiter.Failed
	}
}

func (s *State) deliveryCancelled(e *DeliveryCancelled) {
	d, ok := s.deliveries[e.Delivery]
	if !ok {
		return
	}
	b := d.backend
	s.forgetDelivery(d)
	if d.started {
		s.applyVerdicts(b, b.limiter.Done(limiter.CallID(d.id), limiter.Cancelled, s.now, s.verdicts[:0]))
		return
	}
	s.applyVerdicts(b, b.limiter.Cancel(limiter.CallID(d.id), s.now, s.verdicts[:0]))
}

// forgetDelivery removes the delivery and its token. If the token stayed valid, a backend server could make further
// calls for a team without a request of that team.
func (s *State) forgetDelivery(d *delivery) {
	delete(s.deliveries, d.id)
	delete(s.tokens, d.token)
}

func (s *State) dropDelivery(d *delivery, r Reason) {
	s.forgetDelivery(d)
	s.refuseDelivery(d, r)
}

func (s *State) refuseDelivery(d *delivery, r Reason) {
	s.countRefusal(r)
	s.recordDelivery(d, r)
	refusal := Refusal{Reason: r, NotRun: true, DecidedBy: s.options.Self, RetryAfter: s.randomRetryAfter()}
	s.emit(RefuseDelivery{Delivery: d.id, Refusal: refusal, Tail: s.tail(d)})
}

func (s *State) tail(d *delivery) Tail {
	t := Tail{Allowance: d.budget.Left(), Threshold: identifier.MaxRank}
	b := d.backend
	if b == nil {
		return t
	}
	own := b.gate.Threshold()
	t.Threshold = b.chain.Effective(own, d.route, s.now)
	t.Headroom = b.limiter.Headroom(s.now)
	t.RetryRatio = b.meter.Hint(own < identifier.MaxRank, s.now)
	t.Share = d.share
	return t
}
