// A refusal must state correctly whether the request may have run. The phase of an attempt only moves forward. A
// request counts as "not run" only if each of its attempts either stayed in phase NotSent or was refused by a delivery
// node before dispatch.
//
// Example: an answer lost after the request was sent gives Refusal{Reason: LostAnswer, NotRun: false}.

package reducer

import (
	"net/http"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Token identifies a delivery to its backend server, which sends it with nested calls.
type Token string

// Phase is how far an attempt has progressed.
type Phase uint8

// The phases of an attempt.
const (
	NotSent Phase = iota
	Sent
	Answered
)

// Reason is the reason for a refusal, as sent to callers.
type Reason string

// The reasons for a refusal.
const (
	UnknownKey      Reason = "unknownKey"
	UnknownToken    Reason = "unknownToken"
	UnknownService  Reason = "unknownService"
	NoPreset        Reason = "noPreset"
	BadRequest      Reason = "badRequest"
	BodyTooLarge    Reason = "bodyTooLarge"
	RateExceeded    Reason = "rateExceeded"
	RateUnavailable Reason = "rateUnavailable"
	Shed            Reason = "shed"
	EndpointFull    Reason = "endpointFull"
	EndpointLeaving Reason = "endpointLeaving"
	NoBackend       Reason = "noBackendServer"
	Unreachable     Reason = "unreachable"
	DeadlinePassed  Reason = "deadline"
	LostAnswer      Reason = "lostAnswer"
	OutcomeUnknown  Reason = "outcomeUnknown"
	InProgress      Reason = "inProgress"
	IDMismatch      Reason = "idempotencyMismatch"
	IDExpired       Reason = "idempotencyExpired"
	IDFromFuture    Reason = "idempotencyFromFuture"
	OwnerUnknown    Reason = "ownerUnreachable"
	TooManyInFlight Reason = "tooManyInFlight"
	TooDeep         Reason = "tooDeep"
	Cancelled       Reason = "cancelled"
)

var statuses = map[Reason]int{
	UnknownKey:      http.StatusUnauthorized,
	UnknownToken:    http.StatusUnauthorized,
	UnknownService:  http.StatusNotFound,
	BadRequest:      http.StatusBadRequest,
	BodyTooLarge:    http.StatusRequestEntityTooLarge,
	RateExceeded:    http.StatusTooManyRequests,
	DeadlinePassed:  http.StatusGatewayTimeout,
	LostAnswer:      http.StatusBadGateway,
	OutcomeUnknown:  http.StatusConflict,
	InProgress:      http.StatusConflict,
	IDMismatch:      http.StatusUnprocessableEntity,
	IDExpired:       http.StatusConflict,
	IDFromFuture:    http.StatusBadRequest,
	TooDeep:         http.StatusLoopDetected,
	TooManyInFlight: http.StatusServiceUnavailable,
}

// Status returns the HTTP status for the reason.
func (r Reason) Status() int {
	if s, ok := statuses[r]; ok {
		return s
	}
	return http.StatusServiceUnavailable
}

// Refusal is a final answer that a node gives instead of a backend server.
type Refusal struct {
	Reason Reason
	// NotRun is set only if no backend server can have started the request.
	NotRun     bool
	RetryAfter clock.Duration
	Detail     string
	// DecidedBy is the node that refused the call, Version the configuration version that the refusal is based on.
	DecidedBy identifier.Node
	Version   identifier.Version
}

// RemoteRefusal is a refusal reported by another node.
type RemoteRefusal struct {
	Reason     Reason
	NotRun     bool
	RetryAfter clock.Duration
	DecidedBy  identifier.Node
}

// Tail is control data that a delivery node sends after an answer's body.
type Tail struct {
	Allowance  uint8
	Threshold  identifier.Threshold
	Headroom   uint8
	RetryRatio uint8
	// Share is the share of the team's calls that enter at the node that sent the call; 255 stands for all, 0 for unknown.
	Share uint8
}

// RecordedOutcome is the answer kept for retries with the same idempotency id.
type RecordedOutcome struct {
	Status int
	Header []Field
	Body   []byte
	// Kept is false if the answer was too large to be recorded; a retry then learns only that the request ran.
	Kept bool
}

// Field is one header field.
type Field struct{ Name, Value string }

// DeliveryResult is how a dispatched call ended at its backend server.
type DeliveryResult uint8

// The results of a dispatched call.
const (
	DeliverySucceeded DeliveryResult = iota
	DeliveryFailed
	DeliveryTimedOut
	DeliveryAborted
)
