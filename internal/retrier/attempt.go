// Whether an attempt may be repeated depends on what may already have happened. A second booking is worse
// than a failed one, and a retry into an overloaded service keeps the overload alive.
//
// Example: a GET whose connection broke after sending may be repeated; a booking in the same state may not.

package retrier

// Phase is how far an attempt got.
type Phase uint8

// The phases of an attempt.
const (
	// NotSent says that no byte of the call left the node.
	NotSent Phase = iota
	// Sent says that the call may have run.
	Sent
	// Answered says that an answer came.
	Answered
)

// Reason is why an attempt failed.
type Reason uint8

// The reasons.
const (
	// Broken is a connection or stream that failed.
	Broken Reason = iota
	// EndpointFull is a refusal by one endpoint whose service has others.
	EndpointFull
	// ServiceOverloaded is a refusal by threshold, which every endpoint of the service would repeat.
	ServiceOverloaded
	// EndpointLeaving is a refusal by an endpoint that takes nothing new.
	EndpointLeaving
	// ServerError is an error that the backend server answered with.
	ServerError
	// DeadlineExceeded is a call that ran out of time.
	DeadlineExceeded
	// DeeperFailure is a failure of a hop further down, which retried or gave up already.
	DeeperFailure
)

// Attempt is what is known of a failed attempt at the hop that made it.
type Attempt struct {
	Phase Phase
	// Idempotent tells that the call may safely run twice.
	Idempotent bool
	// NotRun tells that the answer was a refusal which vouches that nothing ran.
	NotRun bool
	Reason Reason
}

// MayRetry tells whether the attempt may be repeated at all; Damper and Budget must agree as well.
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
