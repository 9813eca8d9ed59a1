// An attempt is one sending of a call to one endpoint. After a failed one it is asked, in this order: may the
// call run again at all, is the service in overload, is there an allowance left, is there time left.
//
// Example: an attempt is refused with endpointFull, which vouches that nothing ran; the call goes to another
// endpoint, at the cost of one retry of the root request's allowance.

package reducer

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/retrier"
	"github.com/jackdawtide/jackdawtide/internal/router"
)

// forward sends a call that has passed every check. The key is looked up once more, since the call may have
// waited: were it not, a withdrawn key would go on working for as long as its calls wait.
func (s *State) forward(c *call) {
	if c.parent == nil {
		if _, ok := s.configurer.Resolve(c.keyHash); !ok {
			s.abandonID(c)
			s.refuse(c, Refusal{Reason: UnknownKey})
			return
		}
	}
	left := c.deadline.Sub(s.now)
	if left <= 0 {
		s.abandonID(c)
		s.refuse(c, Refusal{Reason: DeadlinePassed})
		return
	}
	if s.search(c) {
		return
	}
	e, ok := s.router.Pick(c.service, s.now, c.excluded)
	if !ok {
		s.abandonID(c)
		s.refuse(c, Refusal{Reason: c.noneLeft(), RetryAfter: s.backOff()})
		return
	}
	c.attempt++
	c.endpoint = e.ID
	c.sentAt = s.now
	c.carried = c.budget.Portion()
	if c.attempt == 1 {
		s.damper.CountFirst(c.service, s.now)
	}
	s.counters.Forwarded++
	address, _ := s.gossiper.AddressOf(e.Node)
	s.emit(Forward{
		Call:       c.id,
		Node:       e.Node,
		Address:    address,
		Endpoint:   e.ID,
		Root:       c.root,
		Team:       c.team,
		KeyHash:    c.keyHash,
		Rank:       c.rank,
		Deadline:   left,
		Allowance:  c.carried,
		Depth:      c.depth,
		Attempt:    c.attempt,
		Idempotent: c.idempotent,
		MaxBody:    c.maxBody,
		Record:     c.owned,
	})
}

// noneLeft is the reason where no endpoint can be tried. After an attempt that may have run it is the lost answer that
// the caller has to know of; "no backend server" would read as if nothing had happened. After a refusal it is that one:
// a service whose only endpoint is full is overloaded, not gone.
func (c *call) noneLeft() Reason {
	if c.maybeRun {
		return LostAnswer
	}
	if c.lastReason != "" {
		return c.lastReason
	}
	return NoBackend
}

func (s *State) answerEnded(e *AnswerEnded) {
	s.wall = e.Wall
	c, ok := s.calls[e.Call]
	if !ok {
		return
	}
	s.learn(c, e.Tail)
	if e.Phase == NotSent {
		// What never left this node cannot have spent any of the allowance that was to go with it.
		c.budget.Return(c.carried, c.carried)
	}
	s.endAttempt(c, attemptOutcome(e), e.Tail)
	if e.Relayed && e.Whole {
		s.finishID(c, e.Outcome)
		s.record(c, "answered", s.options.Self)
		s.emit(Finished{Call: c.id})
		s.forget(c)
		return
	}
	if e.Phase == Sent || (e.Phase == Answered && (e.Refusal == nil || !e.Refusal.NotRun)) {
		c.maybeRun = true
	}
	if s.retry(c, e) {
		return
	}
	s.giveUp(c, e)
}

// learn keeps what the answer says of the service. A nested call's parent learns it as well, so that its own
// callers are told what the whole chain can take.
func (s *State) learn(c *call, t *Tail) {
	if t == nil {
		return
	}
	c.budget.Return(t.Allowance, c.carried)
	s.board.LearnRoute(c.service, c.route, t.Threshold, s.now)
	s.damper.SetHint(c.service, t.RetryRatio, s.now)
	if t.Share > 0 {
		s.fairness.LearnShare(c.team, t.Share, s.now)
	}
	if c.parent != nil {
		c.parent.note(c, t.Threshold, s.now)
	}
}

func (s *State) endAttempt(c *call, o router.Outcome, t *Tail) {
	r := router.Result{Outcome: o, Latency: s.now.Sub(c.sentAt)}
	if t != nil {
		r.Headroom = t.Headroom
	}
	s.router.Done(c.endpoint, r, s.now)
	c.lastEndpoint = c.endpoint
	c.endpoint = ""
}

func attemptOutcome(e *AnswerEnded) router.Outcome {
	switch {
	case e.TooLarge:
		return router.Cancelled
	case e.Refusal == nil && e.Whole:
		return router.Succeeded
	case e.Refusal != nil && (e.Refusal.Reason == Unreachable || e.Refusal.Reason == LostAnswer):
		return router.Failed
	case e.Refusal != nil:
		return router.Refused
	case e.TimedOut:
		return router.Cancelled
	default:
		return router.Failed
	}
}

func (s *State) retry(c *call, e *AnswerEnded) bool {
	if e.Relayed || e.TooLarge || e.TimedOut || !e.Replayable || s.leavesNoTime(c) {
		return false
	}
	may := retrier.MayRetry(retrier.Attempt{
		Phase:      retrierPhase(e.Phase),
		Idempotent: c.idempotent,
		NotRun:     e.Refusal != nil && e.Refusal.NotRun,
		Reason:     retrierReason(e),
	})
	if !may || !s.damper.Allow(c.service, s.now) || !c.budget.Spend() {
		return false
	}
	s.counters.Retried++
	c.exclude(c.lastEndpoint)
	if e.Refusal != nil {
		c.lastReason = e.Refusal.Reason
	}
	s.forward(c)
	return true
}

// minTimeForRetry is less than any useful answer takes.
const minTimeForRetry = 2 * clock.Millisecond

func (s *State) leavesNoTime(c *call) bool {
	return c.deadline.Sub(s.now) < minTimeForRetry
}

func (c *call) exclude(id identifier.Endpoint) {
	if len(c.excluded) < maxExcluded {
		c.excluded = append(c.excluded, id)
	}
}

func retrierPhase(p Phase) retrier.Phase {
	switch p {
	case NotSent:
		return retrier.NotSent
	case Sent:
		return retrier.Sent
	default:
		return retrier.Answered
	}
}

func retrierReason(e *AnswerEnded) retrier.Reason {
	if e.Refusal == nil {
		return retrier.Broken
	}
	switch e.Refusal.Reason {
	case Shed:
		return retrier.ServiceOverloaded
	case EndpointFull:
		return retrier.EndpointFull
	case EndpointLeaving, NoBackend:
		return retrier.EndpointLeaving
	case DeadlinePassed:
		return retrier.DeadlineExceeded
	case Unreachable, LostAnswer:
		return retrier.Broken
	default:
		return retrier.DeeperFailure
	}
}

// giveUp ends a call whose last attempt failed. The refusal is "not run" only if no attempt at all may have run.
func (s *State) giveUp(c *call, e *AnswerEnded) {
	s.abandonID(c)
	r := Refusal{RetryAfter: s.backOff()}
	switch {
	case e.TooLarge:
		r.Reason = BodyTooLarge
		r.RetryAfter = 0
	case e.Refusal != nil:
		r.Reason = e.Refusal.Reason
		r.RetryAfter = e.Refusal.RetryAfter
		r.DecidedBy = e.Refusal.DecidedBy
	case e.TimedOut || s.leavesNoTime(c):
		r.Reason = DeadlinePassed
	case e.Phase == NotSent:
		r.Reason = Unreachable
	default:
		r.Reason = LostAnswer
	}
	s.refuse(c, r)
}
