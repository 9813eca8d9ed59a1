// Whether an attempt may be retried depends on whether it may already have run. A second booking is worse than a
// failed one, and retries to an overloaded service prolong the overload.
//
// Example: a GET whose connection broke after sending may be retried; a booking in the same state may not.

package retrier

// Phase is how far an attempt progressed.
type Phase uint8

// The phases of an attempt.
const (
	// NotSent means that no byte of the call left the node.
	NotSent Phase = iota
	// Sent means that the call may have run.
	Sent
	// Answered means that an answer arrived.
	Answered
)

// Reason is why an attempt failed.
type Reason uint8

// The reasons.
const (
	// Broken is a connection or stream that failed.
	Broken Reason = iota
	// EndpointFull is a refusal by one endpoint of a service that has others.
	EndpointFull
	// ServiceOverloaded is a refusal by the service's threshold; every other endpoint of the service would refuse the
	// call as well.
	ServiceOverloaded
	// EndpointLeaving is a refusal by an endpoint that takes no new calls.
	EndpointLeaving
	// ServerError is an error answer of the backend server.
	ServerError
	// DeadlineExceeded means that the deadline of the call passed.
	DeadlineExceeded
	// DeeperFailure is a failure at a hop further down the chain, which has already retried or given up.
	DeeperFailure
)

// Attempt is what the calling hop knows of a failed attempt.
type Attempt struct {
	Phase Phase
	// Idempotent is true if the call may safely run twice.
	Idempotent bool
	// NotRun is true if the answer was a refusal that guarantees that nothing ran.
	NotRun bool
	Reason Reason
}

// MayRetry returns whether the attempt may be retried at all; Damper and Budget must allow it as well.
func MayRetry(a Attempt) bool {
	switch a.Reason {
	case ServiceOverloaded, DeadlineExceeded, DeeperFailure:
		return false
	case Broken, EndpointFull, EndpointLeaving, ServerError:
		return a.Idempotent || a.notRun()
	default:
		return false
	}
}

func (a Attempt) notRun() bool {
	return a.Phase == NotSent || a.Phase == Answered && a.NotRun
}
