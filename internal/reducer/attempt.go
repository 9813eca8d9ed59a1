// An attempt sends a call to one endpoint. A failed attempt is followed by another one only if these conditions hold,
// checked in this order: there is time left and the request can be sent again, the call may run again, the service is
// not overloaded, and the retry allowance is not used up.
//
// Example: an attempt is refused with endpointFull, which guarantees that nothing ran; the call goes to another endpoint
// and uses one retry of the root request's allowance.

package reducer

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/retrier"
	"github.com/jackdawtide/jackdawtide/internal/router"
)

// forward sends a call that has passed all checks to an endpoint. It looks the key up again, since the call may have
// waited: otherwise a withdrawn key would still work for calls that were waiting.
func (s *State) forward(c *call) {
	if c.parent == nil {
		if _, ok := s.configurer.Resolve(c.keyHash); !ok {
			s.abandonPermit(c)
			s.refuse(c, Refusal{Reason: UnknownKey})
			return
		}
	}
	left := c.deadline.Sub(s.now)
	if left <= 0 {
		s.abandonPermit(c)
		s.refuse(c, Refusal{Reason: DeadlinePassed})
		return
	}
	if s.waitForEndpoints(c) {
		return
	}
	e, ok := s.router.Pick(c.service, s.now, c.excluded)
	if !ok {
		s.abandonPermit(c)
		s.refuse(c, Refusal{Reason: c.noEndpointReason(), RetryAfter: s.randomRetryAfter()})
		return
	}
	c.attempt++
	c.endpoint = e.ID
	c.sentAt = s.now
	c.attemptAllowance = c.budget.Portion()
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
		Allowance:  c.attemptAllowance,
		Depth:      c.depth,
		Attempt:    c.attempt,
		Idempotent: c.idempotent,
		MaxBody:    c.maxBody,
		Record:     c.hasPermit,
	})
}

// noEndpointReason returns the refusal reason if no endpoint is left to try. After an attempt that may have run it is
// LostAnswer, since NoBackend would suggest that nothing ran. After a refused attempt it is the reason of that refusal:
// a service whose only endpoint is full is overloaded, not missing.
func (c *call) noEndpointReason() Reason {
	if c.mayHaveRun {
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
	s.learnFromTail(c, e.Tail)
	if e.Phase == NotSent {
		// An attempt that was never sent has used none of the allowance that was assigned to it.
		c.budget.Return(c.attemptAllowance, c.attemptAllowance)
	}
	s.endAttempt(c, attemptOutcome(e), e.Tail)
	if e.Relayed && e.Whole {
		s.reportOutcome(c, e.Outcome)
		s.record(c, "answered", s.options.Self)
		s.emit(Finished{Call: c.id})
		s.forgetCall(c)
		return
	}
	if e.Phase == Sent || (e.Phase == Answered && (e.Refusal == nil || !e.Refusal.NotRun)) {
		c.mayHaveRun = true
	}
	if s.retry(c, e) {
		return
	}
	s.giveUp(c, e)
}

// learnFromTail updates the learned thresholds, retry ratio and shares from the tail of an answer. For a nested call it
// also updates the parent's chain, so that answers to the parent's callers carry the threshold of the whole call chain.
func (s *State) learnFromTail(c *call, t *Tail) {
	if t == nil {
		return
	}
	c.budget.Return(t.Allowance, c.attemptAllowance)
	s.thresholds.LearnRouteThreshold(c.service, c.route, t.Threshold, s.now)
	s.damper.SetHint(c.service, t.RetryRatio, s.now)
	if t.Share > 0 {
		s.fairness.LearnShare(c.team, t.Share, s.now)
	}
	if c.parent != nil {
		c.parent.learnThreshold(c, t.Threshold, s.now)
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
	if e.Relayed || e.TooLarge || e.TimedOut || !e.Replayable || s.noTimeToRetry(c) {
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

// minTimeForRetry is the least time to the deadline for another attempt; no useful answer arrives in less.
const minTimeForRetry = 2 * clock.Millisecond

func (s *State) noTimeToRetry(c *call) bool {
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

// giveUp refuses a call whose last attempt failed. The refusal says "not run" only if none of the attempts may have run.
func (s *State) giveUp(c *call, e *AnswerEnded) {
	s.abandonPermit(c)
	r := Refusal{RetryAfter: s.randomRetryAfter()}
	switch {
	case e.TooLarge:
		r.Reason = BodyTooLarge
		r.RetryAfter = 0
	case e.Refusal != nil:
		r.Reason = e.Refusal.Reason
		r.RetryAfter = e.Refusal.RetryAfter
		r.DecidedBy = e.Refusal.DecidedBy
	case e.TimedOut || s.noTimeToRetry(c):
		r.Reason = DeadlinePassed
	case e.Phase == NotSent:
		r.Reason = Unreachable
	default:
		r.Reason = LostAnswer
	}
	s.refuse(c, r)
}
