package conductor

// Services are without an endpoint for some hundreds of milliseconds now and then: all VMs have lost power and their
// endpoints have yet to announce themselves, a node is being restarted, a failure domain was cut off. A nested call that
// is refused in such a moment fails a request whose work has been done; so it waits for a while. A root request
// waits only a little, since its caller can come back, but has only few tries to do so.
//
// Example: a nested call with 700 ms left and no endpoint: Hold, and Send when an endpoint is there within 233 ms.

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
)

// rootAwaitRatio of the time that a root request may be queued may go by without an endpoint.
const rootAwaitRatio = 1.0 / 2

// awaitEndpoint has a request wait for an endpoint, if it may and there is hope: whoever was turned away has met one.
func (c *Conductor) awaitEndpoint(r *call, now clock.Time) bool {
	if r.turnedAway || r.rateUnchecked || r.mayHaveRun || c.stopping {
		return false
	}
	if r.awaitsUntil == 0 {
		r.awaitsUntil = r.arrived.Add(c.endpointWait(r))
	}
	if now >= r.awaitsUntil {
		return false
	}
	r.excluded = nil
	r.attempts = min(r.attempts, maxAttempts-1)
	c.awaitingEndpoint = append(c.awaitingEndpoint, r.id)
	c.emit(Hold{ID: r.id})
	return true
}

// endpointWait is how long after its arrival a request may wait for an endpoint.
func (c *Conductor) endpointWait(r *call) clock.Duration {
	timeout := c.queueTimeout(r, r.arrived)
	if r.nested {
		return timeout
	}
	return clock.Duration(rootAwaitRatio * float64(timeout))
}

// resumeAwaiting sends on what waits for an endpoint, or gives it up; it is called on each tick.
func (c *Conductor) resumeAwaiting(now clock.Time) {
	waiting := c.awaitingEndpoint
	c.awaitingEndpoint = nil
	for _, id := range waiting {
		r, ok := c.calls[id]
		switch {
		case !ok || c.place(r, now):
		case now < r.awaitsUntil:
			c.awaitingEndpoint = append(c.awaitingEndpoint, id)
		default:
			c.rejectCall(r, NoEndpoint, now)
		}
	}
}

const (
	// retryAfterRatio of the time left is how long a caller is sent away, on average, where no endpoint is left: callers
	// return after a third at most, and the later, the likelier there is one.
	retryAfterRatio = 2.0 / 9
	// maxRetryAfterNoEndpoint is how long a killed node and its endpoint take to be back.
	maxRetryAfterNoEndpoint = clock.Second
)

func (r *call) retryAfterNoEndpoint(now clock.Time) clock.Duration {
	part := clock.Duration(retryAfterRatio * float64(r.deadline.Sub(now)))
	return max(retryAfterNoRoom, min(maxRetryAfterNoEndpoint, part))
}
