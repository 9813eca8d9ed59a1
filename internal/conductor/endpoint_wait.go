package conductor

// A service can be without an endpoint for some hundreds of milliseconds: all VMs have lost power and their endpoints
// have not announced themselves yet, a node is restarting, or a failure domain was partitioned off. Refusing a nested
// call at such a moment fails a request whose work has been done, so the call waits for a while. A root request waits
// only briefly: its caller can retry, but only a few times.
//
// Example: a nested call with 700 ms left and no endpoint: Hold, and Send when an endpoint appears within 233 ms.

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
)

// rootAwaitRatio is the part of a root request's queue timeout that it may wait for an endpoint.
const rootAwaitRatio = 1.0 / 2

// awaitEndpoint makes a request wait for an endpoint if waiting can help: it does not help a request that has already
// found one.
func (c *Conductor) awaitEndpoint(r *call, now clock.Time) bool {
	if r.endpointFound || r.rateUnchecked || r.mayHaveRun || c.stopping {
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

// endpointWait returns how long after its arrival a request may wait for an endpoint.
func (c *Conductor) endpointWait(r *call) clock.Duration {
	timeout := c.queueTimeout(r, r.arrived)
	if r.nested {
		return timeout
	}
	return clock.Duration(rootAwaitRatio * float64(timeout))
}

// resumeAwaiting sends requests that wait for an endpoint, or rejects them when their wait ends; it is called on each
// tick.
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
	// retryAfterRatio is the average Retry-After, as a part of the remaining time, where no endpoint is left. With
	// jitter a caller returns after at most a third of its time; a later retry is more likely to find an endpoint.
	retryAfterRatio = 2.0 / 9
	// maxRetryAfterNoEndpoint is how long a killed node and its endpoint take to return.
	maxRetryAfterNoEndpoint = clock.Second
)

func (r *call) retryAfterNoEndpoint(now clock.Time) clock.Duration {
	delay := clock.Duration(retryAfterRatio * float64(r.deadline.Sub(now)))
	return max(retryAfterNoRoom, min(maxRetryAfterNoEndpoint, delay))
}
