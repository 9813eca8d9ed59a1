package conductor

// An attempt ends with an answer, or with what is known about the request: it has certainly not run, or it may have
// run. This determines whether it is attempted again elsewhere, and what its caller may be told.
//
// Example: Broken for a non-idempotent request is answered with 502, since it may have run; after Full it is attempted
// elsewhere.

import (
	"net/http"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
	"github.com/jackdawtide/jackdawtide/internal/router"
)

// firstServerError is the lowest status of an endpoint's failure.
const firstServerError = http.StatusInternalServerError

// jitter returns a random time around d, so that callers refused at the same time do not retry at the same time.
func (c *Conductor) jitter(d clock.Duration) clock.Duration {
	return d/2 + clock.Duration(c.random.Int64N(int64(d)+1))
}

// refuseCall answers a request that has a route, and counts its end.
func (c *Conductor) refuseCall(r *call, status int, reason Reason, after clock.Duration) {
	c.countRefusal(r, reason)
	if reason == OverRate && r.team != nil {
		c.forgetArrival(r)
	}
	c.refuse(r.id, status, reason, after)
}

func (c *Conductor) refuse(id CallID, status int, reason Reason, after clock.Duration) {
	c.emit(Refuse{ID: id, Status: status, Reason: reason, RetryAfter: after})
}

func (c *Conductor) attemptEnded(e AttemptEnded, now clock.Time) {
	r, ok := c.calls[e.ID]
	if !ok {
		return
	}
	c.recordAttempt(r, e, now)
	c.learnReachability(r, e.Outcome, now)
	if e.Member != nil {
		// Without this, further requests would go to the same node until the record arrives from the store or in a
		// report.
		c.learnMember(MemberLearned{Member: *e.Member}, now)
	}
	if e.Outcome == Answered {
		c.quarantiner.Survived(e.Fingerprints, now)
		c.learnOtherNotice(r, e.Notice, now)
		c.countAnswer(r, e.Status, now)
		c.emit(Reply{ID: r.id})
		return
	}
	if e.Outcome == Abandoned {
		return
	}
	if e.Outcome == Broken || e.Outcome == Late {
		r.mayHaveRun = true
	}
	if e.Outcome == Broken || e.Outcome == Late || e.Outcome == Declined {
		r.recordOffer()
	}
	limited := e.Outcome == Full && c.limitedAttempt(r)
	if limited {
		r.heldBack, r.limitWait = true, e.Wait
	}
	// The node beside a limited endpoint counts only what the endpoint takes, if others take the rest.
	overflows := limited && c.hasUnlimitedEndpoint(r.service, now)
	r.arrivalCounted = r.arrivalCounted || e.Outcome != Moved && e.Outcome != Unreached && e.Outcome != Over && !overflows
	r.excluded = append(r.excluded, r.picked)
	r.endpointFound = r.endpointFound || e.Outcome != Moved && e.Outcome != Unreached
	if c.mayAttemptAgain(r, e, now) {
		c.attempt(r, now)
		return
	}
	if e.Replayable && c.awaitEndpoint(r, now) {
		return
	}
	reason := reasonOf(e.Outcome)
	if limited {
		reason = EndpointLimited
	}
	c.rejectCall(r, reason, now)
}

// limitedAttempt returns whether the last attempt went to an endpoint that names a rate limit.
func (c *Conductor) limitedAttempt(r *call) bool {
	m := c.members[r.pickedNode]
	_, limited := c.limitOf(m)
	return limited && m.Endpoint == r.picked
}

// recordAttempt passes the result of an attempt to the router.
func (c *Conductor) recordAttempt(r *call, e AttemptEnded, now clock.Time) {
	result := router.Result{Latency: now.Sub(r.sent), Headroom: e.Headroom, Wait: e.Wait}
	if e.Outcome != Over && !e.Outcome.NotRun() {
		r.rateUnchecked = false
	}
	switch e.Outcome {
	case Answered:
		result.Outcome = router.Succeeded
		if e.Status >= firstServerError {
			result.Outcome = router.Cancelled
		}
	case Full, Declined:
		result.Outcome = router.Refused
	case Moved, Abandoned, Over:
		result.Outcome = router.Cancelled
	default:
		result.Outcome = router.Failed
	}
	c.router.Done(r.picked, result, now)
	r.attempting = false
}

func (c *Conductor) mayAttemptAgain(r *call, e AttemptEnded, now clock.Time) bool {
	if offer, applies := c.mayOfferAgain(r, e, now); applies {
		return offer
	}
	if !e.Replayable || r.attempts >= maxAttempts || e.Outcome == Late {
		return false
	}
	if r.mayHaveRun && r.route.Kind != matcher.Idempotent {
		return false
	}
	if r.endpointArrivals == 0 {
		return true
	}
	return r.endpointArrivals < r.route.Attempts && c.takeRetry(r.service, r.nested, now)
}

func reasonOf(o Outcome) Reason {
	switch o {
	case Moved:
		return EndpointGone
	case Full:
		return NoRoom
	case Unreached:
		return EndpointDown
	case Declined:
		return EndpointRefused
	case Late:
		return Deadline
	case Over:
		return OverRate
	default:
		return InDoubt
	}
}

// rejectCall answers the caller at once. Only a request that has certainly not run may be reported as not run.
func (c *Conductor) rejectCall(r *call, reason Reason, now clock.Time) {
	c.nestedCallRejected(r)
	switch {
	case r.mayHaveRun && reason == Deadline:
		c.refuseCall(r, http.StatusGatewayTimeout, reason, 0)
	case r.mayHaveRun:
		c.refuseCall(r, http.StatusBadGateway, reason, 0)
	case reason == OverRate:
		c.refuseCall(r, http.StatusTooManyRequests, OverRate, c.jitter(r.tokenWait))
	case reason == NoEndpoint || reason == EndpointGone || reason == EndpointDown:
		if c.onlyEvacuated(r.service) {
			reason = Evacuated
		}
		c.refuseCall(r, http.StatusServiceUnavailable, reason, c.jitter(r.retryAfterNoEndpoint(now)))
	case reason == Quarantined:
		c.refuseCall(r, http.StatusServiceUnavailable, reason, r.quarantineLeft)
	case reason == EndpointLimited:
		c.refuseCall(r, http.StatusServiceUnavailable, reason, c.jitter(r.retryAfterLimit(r.limitWait, now)))
	default:
		c.refuseCall(r, http.StatusServiceUnavailable, reason, c.jitter(retryAfterNoRoom))
	}
	if !r.mayHaveRun && r.endpointArrivals == 0 && r.team != nil && !r.rateUnchecked {
		c.refundToken(r.team.Name, now)
	}
	c.closeCall(r.id)
}

// requestClosed ends a request, and an attempt that was not made since the caller had left or its body could not be read.
func (c *Conductor) requestClosed(e RequestClosed, now clock.Time) {
	r, ok := c.calls[e.ID]
	if !ok {
		return
	}
	c.dropUnsent(r, now)
	if !r.answered {
		c.kindCounts.route(r).Left++
	}
	c.closeCall(e.ID)
}

// dropUnsent ends an attempt that was not made.
func (c *Conductor) dropUnsent(r *call, now clock.Time) {
	if !r.attempting {
		return
	}
	unsent := AttemptEnded{ID: r.id, Outcome: Abandoned}
	c.recordAttempt(r, unsent, now)
	c.learnReachability(r, unsent.Outcome, now)
}

func (c *Conductor) closeCall(id CallID) {
	delete(c.calls, id)
}
