// The output of the reducer is data: effects for others to execute. An effect for a Call or Delivery goes to the
// goroutine that waits for it; the performer executes all others. The reducer itself executes none.
//
// Example: CallArrived may result in Send{a request for a slice} at once and in Forward a millisecond later.

package reducer

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Effect is an action that State.Reduce requests.
type Effect interface{ effect() }

// CallEffect is an effect for the goroutine of one call or delivery.
type CallEffect interface {
	Effect
	Recipient() CallID
}

// Forward requests an attempt at an endpoint.
type Forward struct {
	Call       CallID
	Node       identifier.Node
	Address    string
	Endpoint   identifier.Endpoint
	Root       identifier.Request
	Team       identifier.Team
	KeyHash    identifier.KeyHash
	Rank       identifier.Rank
	Deadline   clock.Duration
	Allowance  uint8
	Depth      uint8
	Attempt    uint16
	Idempotent bool
	MaxBody    int64
	// Record is set if the outcome must be recorded for retries with the same idempotency id.
	Record bool
}

// Refuse ends a call with a refusal as its final answer.
type Refuse struct {
	Call    CallID
	Refusal Refusal
}

// Replay ends a call with the recorded outcome of the first request with its idempotency id.
type Replay struct {
	Call    CallID
	Outcome RecordedOutcome
}

// Finished reports that the reducer has removed the call after its complete answer.
type Finished struct{ Call CallID }

// Dispatch sends a delivery to its backend server.
type Dispatch struct {
	Delivery CallID
	Endpoint identifier.Endpoint
	Deadline clock.Duration
	// Self and RetryAfter are used in the refusal if the backend server can't be reached.
	Self       identifier.Node
	RetryAfter clock.Duration
}

// RefuseDelivery ends a delivery that was not dispatched to its backend server.
type RefuseDelivery struct {
	Delivery CallID
	Refusal  Refusal
	Tail     Tail
}

// EndDelivery ends a delivery after its dispatched call has ended, and carries the tail for its answer.
type EndDelivery struct {
	Delivery CallID
	Tail     Tail
}

// Send sends a control message to a node; Address identifies the node if its name is not yet known.
type Send struct {
	To      identifier.Node
	Address string
	Message any
}

// Append appends a record to the platform's log.
type Append struct{ Record any }

// ReadLog requests the log's records from an offset on; RecordsRead or LogFailed is the result.
type ReadLog struct {
	From identifier.Offset
	// Asked is the time of this request. RecordsRead returns it, since a record that was appended after the request may be
	// missing from the result.
	Asked clock.Time
}

// Log writes a line to the structured log.
type Log struct {
	Message string
	Fields  []any
}

func (Forward) effect()        {}
func (Refuse) effect()         {}
func (Replay) effect()         {}
func (Finished) effect()       {}
func (Dispatch) effect()       {}
func (RefuseDelivery) effect() {}
func (EndDelivery) effect()    {}
func (Send) effect()           {}
func (Append) effect()         {}
func (ReadLog) effect()        {}
func (Log) effect()            {}

// Recipient returns the call that waits for the effect.
func (e Forward) Recipient() CallID { return e.Call }

// Recipient returns the call that waits for the effect.
func (e Refuse) Recipient() CallID { return e.Call }

// Recipient returns the call that waits for the effect.
func (e Replay) Recipient() CallID { return e.Call }

// Recipient returns the call that waits for the effect.
func (e Finished) Recipient() CallID { return e.Call }

// Recipient returns the delivery that waits for the effect.
func (e Dispatch) Recipient() CallID { return e.Delivery }

// Recipient returns the delivery that waits for the effect.
func (e RefuseDelivery) Recipient() CallID { return e.Delivery }

// Recipient returns the delivery that waits for the effect.
func (e EndDelivery) Recipient() CallID { return e.Delivery }
