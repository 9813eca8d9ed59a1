package conductor

// A stopping node answers every request that it reads. One that may take longer than the node lasts would be cut off, so it is
// refused, with the promise that it has not run, as soon as callers have had time to leave. Earlier ones are accepted, since
// most end long before their deadline, and their deadline is brought forward to the node's end: the endpoint then gives up in
// time to answer. Nested calls are never refused for their length, since that would fail requests that are at work.
//
// Example: a stop from 0 s to 5.25 s; at 4 s a call with 2 s left is refused, one with 1 s left is accepted.

import (
	"net/http"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

const (
	// leaveTime is how long callers need to notice that a node is stopping: two checks of its readiness, one a second, and the
	// requests that they send meanwhile. It ends before the 3 s after SIGTERM up to which requests may be given up in the last
	// sixth of the grace time, since the signal can be handled a throttling pause late.
	leaveTime = 2800 * clock.Millisecond
	// leaveRatio bounds leaveTime by a part of a short stop, so that requests accepted last still have time.
	leaveRatio = 2.0 / 3
	// minStopTimeLeft is the time before the node's end below which no request is accepted; usual runs take longer.
	minStopTimeLeft = 100 * clock.Millisecond
	// retryAfterStopping is when a caller should try again, preferably at another node.
	retryAfterStopping = 200 * clock.Millisecond
)

func (c *Conductor) stop(end, now clock.Time) {
	if c.stopping {
		return
	}
	c.stopping, c.stopRequestedAt, c.stopEnd = true, now, end
}

// admitWhileStopping bounds a request's deadline by the end of the planned stop; where it returns false, it has refused the
// request.
func (c *Conductor) admitWhileStopping(r *call, now clock.Time) bool {
	if !c.stopping || c.stopEnd == 0 {
		return true
	}
	outlasts := r.deadline > c.stopEnd && !r.nested
	mayLeave := min(leaveTime, clock.Duration(leaveRatio*float64(c.stopEnd.Sub(c.stopRequestedAt))))
	if c.stopEnd.Sub(now) < minStopTimeLeft || outlasts && now.Sub(c.stopRequestedAt) > mayLeave {
		c.refuseCall(r, http.StatusServiceUnavailable, NodeStopping, c.jitter(retryAfterStopping))
		return false
	}
	r.deadline = min(r.deadline, c.stopEnd)
	return true
}
