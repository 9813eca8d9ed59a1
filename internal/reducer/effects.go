// What the reducer wants done is data. Effects that name a Call or Delivery go to the goroutine that waits for
// it; the others are carried out by the performer. An effect is never carried out inside the reducer.
//
// Example: CallArrived may lead to Send{a request for a slice} at once and to Forward a millisecond later.

package reducer

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Effect is anything that the reducer wants done.
type Effect interface{ effect() }

// CallEffect is an effect meant for the goroutine of one call or delivery.
type CallEffect interface {
	Effect
	Recipient() CallID
}

// Forward asks for an attempt at an endpoint.
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
	// Record tells that the outcome must be kept for retries with the same idempotency id.
	Record bool
}

// Refuse gives a call its final answer.
type Refuse struct {
	Call    CallID
	Refusal Refusal
}

// Replay gives a call the recorded outcome of the first request with its idempotency id.
type Replay struct {
	Call    CallID
	Outcome RecordedOutcome
}

// Finished tells that the reducer has forgotten the call.
type Finished struct{ Call CallID }

// Dispatch lets a delivery go to its backend server.
type Dispatch struct {
	Delivery CallID
	Endpoint identifier.Endpoint
	Deadline clock.Duration
	// Self and RetryAfter go into the refusal where the backend server cannot be reached.
	Self       identifier.Node
	RetryAfter clock.Duration
}

// RefuseDelivery ends a delivery that was not handed to its backend server, or not in time.
type RefuseDelivery struct {
	Delivery CallID
	Refusal  Refusal
	Tail     Tail
}

// EndDelivery closes a delivery that its backend server answered.
type EndDelivery struct {
	Delivery CallID
	Tail     Tail
}

// Send carries a control message to a node; Address may stand in where the node is not yet known.
type Send struct {
	To      identifier.Node
	Address string
	Message any
}

// Append puts a record on the platform's log.
type Append struct{ Record any }

// ReadLog asks for the log's records from an offset on; RecordsRead or LogFailed answers it.
type ReadLog struct {
	From identifier.Offset
	// Asked goes back in RecordsRead: the news is as old as the question, not as the answer.
	Asked clock.Time
}

// Log writes one line of the structured log.
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
