// Everything that reaches a node is one of these events. They are plain data, so that a run can be recorded,
// replayed and fuzzed; the body of a call never enters here.
//
// Example: a caller's GET /ice/bulletins becomes CallArrived{Service: "ice", Method: "GET", Path: "/bulletins"},
// and the reducer answers with Forward or Refuse.

package reducer

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// CallID is a node's own handle of one call or delivery in progress.
type CallID uint64

// Event is anything that the reducer takes in.
type Event interface{ event() }

// CallArrived tells that a caller sent a request with its key to this node.
type CallArrived struct {
	Call          CallID
	Request       identifier.Request
	KeyHash       identifier.KeyHash
	Service       identifier.Service
	Method        string
	Path          string
	Idempotency   identifier.Idempotency
	Deadline      clock.Duration
	ContentLength int64
	Wall          clock.Wall
}

// NestedArrived tells that a backend server of this node calls another service on behalf of a delivery.
type NestedArrived struct {
	Call          CallID
	Request       identifier.Request
	Token         Token
	Service       identifier.Service
	Method        string
	Path          string
	Idempotency   identifier.Idempotency
	Deadline      clock.Duration
	ContentLength int64
	Wall          clock.Wall
}

// AnswerEnded tells that an attempt is over: answered in whole, refused, cut short, or never sent.
type AnswerEnded struct {
	Call  CallID
	Phase Phase
	// Refusal is set where a node, not the backend server, gave the answer.
	Refusal *RemoteRefusal
	// Relayed tells that the answer's head has gone to the caller, so that nothing can be tried again.
	Relayed bool
	// Whole tells that the answer came to its proper end.
	Whole bool
	// Tail is nil where the answer was lost.
	Tail *Tail
	// Replayable tells that the request's body can be sent again from its start.
	Replayable bool
	// TimedOut tells that the deadline ended the attempt.
	TimedOut bool
	// TooLarge tells that the request body was larger than the service takes.
	TooLarge bool
	Outcome  *RecordedOutcome
	Wall     clock.Wall
}

// CallCancelled tells that the caller went away.
type CallCancelled struct{ Call CallID }

// DeliveryArrived tells that a node asks this one to hand a call to its backend server.
type DeliveryArrived struct {
	Delivery   CallID
	From       identifier.Node
	Request    identifier.Request
	Root       identifier.Request
	Team       identifier.Team
	KeyHash    identifier.KeyHash
	Service    identifier.Service
	Endpoint   identifier.Endpoint
	Method     string
	Path       string
	Rank       identifier.Rank
	Deadline   clock.Duration
	Allowance  uint8
	Depth      uint8
	Attempt    uint16
	Idempotent bool
	// Token is drawn by the caller of Reduce from a secure source, since the reducer has none.
	Token Token
}

// DeliveryEnded tells that the backend server is done with a dispatched call.
type DeliveryEnded struct {
	Delivery CallID
	Result   DeliveryResult
}

// DeliveryCancelled tells that the node which asked for the delivery gave it up.
type DeliveryCancelled struct{ Delivery CallID }

// BackendAnnounced tells that a backend server of this VM is up.
type BackendAnnounced struct {
	Endpoint        identifier.Endpoint
	Service         identifier.Service
	Slots           int
	ConnectionLimit int
	ColdStart       clock.Duration
}

// BackendReported is a backend server's heartbeat; Load is in thousandths of its slots.
type BackendReported struct {
	Endpoint identifier.Endpoint
	Load     int
}

// BackendLeaving tells that a backend server wants no new work.
type BackendLeaving struct{ Endpoint identifier.Endpoint }

// MessageReceived carries a control message of another node.
type MessageReceived struct {
	From    identifier.Node
	Message any
	Wall    clock.Wall
}

// RecordsRead carries records that this node read from the log itself.
type RecordsRead struct {
	Records  []LogRecord
	Earliest identifier.Offset
	Next     identifier.Offset
	// Asked is the moment in the ReadLog that this answers.
	Asked clock.Time
	Wall  clock.Wall
}

// LogRecord is one record of the platform's log, still encoded.
type LogRecord struct {
	Offset identifier.Offset
	Data   []byte
}

// LogFailed tells that the log could not be read.
type LogFailed struct{}

// NodeLeaving tells that this node was asked to stop.
type NodeLeaving struct{ Wall clock.Wall }

// Tick tells that time went by.
type Tick struct{ Wall clock.Wall }

func (*CallArrived) event()       {}
func (*NestedArrived) event()     {}
func (*AnswerEnded) event()       {}
func (*CallCancelled) event()     {}
func (*DeliveryArrived) event()   {}
func (*DeliveryEnded) event()     {}
func (*DeliveryCancelled) event() {}
func (*BackendAnnounced) event()  {}
func (*BackendReported) event()   {}
func (*BackendLeaving) event()    {}
func (*MessageReceived) event()   {}
func (*RecordsRead) event()       {}
func (*LogFailed) event()         {}
func (*NodeLeaving) event()       {}
func (*Tick) event()              {}
