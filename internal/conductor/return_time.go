package conductor

// Callers that are refused for overload return once or a few times within their deadline. The larger the refused part of
// their kind, the less likely they are admitted when they return soon, and the more requests return with them. So the time
// to return grows with the refused part, within what the caller has left. This answers overloads of some seconds in which
// most requests of a kind are refused, such as a surge or a service that declines calls.
//
// Example: 0.4 s if a tenth is refused, 2 s if four fifths are; a caller with 3.6 s left is told 0.8 s on average.

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
)

// maxRefusedPart bounds the refused part that the time to return is computed from.
const maxRefusedPart = 0.95

// retryAfterOverload returns the mean time after which a caller should return, given the refused part of its kind and how
// long it waits in all. With jitter it is at most a third of that time, which is what callers follow.
func retryAfterOverload(refused float64, left clock.Duration) clock.Duration {
	wanted := float64(retryAfterPressure) / (1 - min(maxRefusedPart, max(0, refused)))
	return max(retryAfterPressure, clock.Duration(min(wanted, retryAfterRatio*float64(left))))
}
