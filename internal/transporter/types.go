// The reducers make all decisions; this package only transfers calls and messages. The rest of the process sees
// nothing of the network but these types, so another transport (TCP with TLS, for instance) could implement them.
//
// Example: an entry node sends CallHead{Service: "ice", Method: "GET", Path: "/bulletins"} with Call; the
// delivery node's Handler.ServeCall gets the same head and answers through its AnswerWriter.

package transporter

import (
	"context"
	"io"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Handler receives calls and control messages from other nodes.
type Handler interface {
	// ServeCall answers one call; ctx ends when the caller abandons the call or its connection breaks. Returning
	// without AnswerWriter.Close aborts the exchange, and the caller gets an error rather than a truncated answer.
	ServeCall(ctx context.Context, from identifier.Node, head CallHead, body io.Reader, w AnswerWriter)
	// ServeControl handles one control message and owns its bytes. It must not block for long, since the peer's
	// later messages wait for it to return.
	ServeControl(from identifier.Node, message []byte)
}

// Peer is a node and the address at which it listens; an empty Node means any node that listens there.
type Peer struct {
	Node    identifier.Node
	Address string
}

// Field is one header field.
type Field struct {
	Name  string
	Value string
}

// CallHead is what the delivery node receives of a call before the body.
type CallHead struct {
	Request identifier.Request
	Root    identifier.Request
	Team    identifier.Team
	// KeyHash lets the delivery node check that the key is still valid when the call leaves its queue.
	KeyHash  identifier.KeyHash
	Service  identifier.Service
	Endpoint identifier.Endpoint
	Method   string
	Path     string
	RawQuery string
	Header   []Field
	// ContentLength is the length of the body, or -1 when it isn't known.
	ContentLength int64
	Rank          identifier.Rank
	// Deadline is the remaining time rather than a moment, since the clocks of two nodes differ.
	Deadline clock.Duration
	// Allowance is the share of the root request's retry allowance that this call may use.
	Allowance  uint8
	Idempotent bool
	Depth      uint8
	Attempt    uint16
	// Idempotency is the caller's id for a request that must run at most once; most calls have none.
	Idempotency identifier.Idempotency
}

// Refusal says why a node of the system, rather than the backend server, answered.
type Refusal struct {
	Reason     string
	NotRun     bool
	RetryAfter clock.Duration
	DecidedBy  identifier.Node
}

// AnswerHead precedes the answer's body.
type AnswerHead struct {
	Status  int
	Header  []Field
	Refusal *Refusal
}

// AnswerTail follows the answer's body, and is sent only after a complete body.
type AnswerTail struct {
	// Allowance is the unused part of the retry allowance that came with the call.
	Allowance uint8
	Threshold identifier.Threshold
	// Headroom is the endpoint's load hint: how much more load it could accept.
	Headroom   uint8
	RetryRatio uint8
	// Share is the share of the team's calls that enter at the caller's node; 0 means unknown.
	Share uint8
}

// AnswerWriter sends one answer: WriteHead, any number of Writes, Close.
type AnswerWriter interface {
	io.Writer
	WriteHead(AnswerHead) error
	// Flush sends what has been written so far; without it a small answer is sent in one write.
	Flush() error
	// Close marks the answer as complete.
	Close(AnswerTail) error
}

// Phase says how far a call got; only NotSent proves that it did not run.
type Phase uint8

// The phases of a call.
const (
	// NotSent means that the call has not reached a handler and never will.
	NotSent Phase = iota
	// Sent means that the call may have run and that its answer is unknown.
	Sent
	// Answered means that the answer's head has arrived.
	Answered
)

// String names the phase.
func (p Phase) String() string {
	switch p {
	case NotSent:
		return "notSent"
	case Sent:
		return "sent"
	default:
		return "answered"
	}
}
