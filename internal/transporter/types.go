// The reducers decide; this package only carries. These types are all that the rest of the process sees of
// the network, so that a different carrier (plain TCP and TLS, say) could stand behind the same names.
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

// Handler takes what other nodes send.
type Handler interface {
	// ServeCall answers one call; ctx ends when the caller gives the call up or its connection dies. Returning
	// without AnswerWriter.Close aborts the exchange, and the caller sees an error rather than a short answer.
	ServeCall(ctx context.Context, from identifier.Node, head CallHead, body io.Reader, w AnswerWriter)
	// ServeControl takes one control message; it owns the bytes, and must not block for long, since the
	// peer's later messages wait behind it.
	ServeControl(from identifier.Node, message []byte)
}

// Peer is a node and where it listens; an empty Node means whoever listens there.
type Peer struct {
	Node    identifier.Node
	Address string
}

// Field is one header field.
type Field struct {
	Name  string
	Value string
}

// CallHead is what a delivery node learns about a call before its body.
type CallHead struct {
	Request identifier.Request
	Root    identifier.Request
	Team    identifier.Team
	// KeyHash lets the delivery node check once more that the key still stands when the call leaves its queue.
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
	// Deadline is the time left, since the clocks of two nodes differ.
	Deadline clock.Duration
	// Allowance is the part of the root request's retry allowance that travels with this call.
	Allowance  uint8
	Idempotent bool
	Depth      uint8
	Attempt    uint16
	// Idempotency is the caller's id for a request that must run at most once, empty for most calls.
	Idempotency identifier.Idempotency
}

// Refusal says why a node of the system, rather than the backend server, answered.
type Refusal struct {
	Reason     string
	NotRun     bool
	RetryAfter clock.Duration
	DecidedBy  identifier.Node
}

// AnswerHead comes before the answer's body.
type AnswerHead struct {
	Status  int
	Header  []Field
	Refusal *Refusal
}

// AnswerTail comes after the whole answer, and only then.
type AnswerTail struct {
	// Allowance is the unused part of the retry allowance that came with the call.
	Allowance uint8
	Threshold identifier.Threshold
	// Headroom is the load hint of the endpoint: how much more it could take.
	Headroom   uint8
	RetryRatio uint8
	// Share is the part of the team's calls that come in at the caller's node; 0 tells nothing.
	Share uint8
}

// AnswerWriter sends one answer: WriteHead, any number of Writes, Close.
type AnswerWriter interface {
	io.Writer
	WriteHead(AnswerHead) error
	// Flush sends what has been written so far; without it small answers travel as one write.
	Flush() error
	// Close marks the answer as whole.
	Close(AnswerTail) error
}

// Phase says how far a call got; only NotSent proves that it did not run.
type Phase uint8

// The phases of a call.
const (
	// NotSent means that no handler has seen or will see the call.
	NotSent Phase = iota
	// Sent means that the call may have run: its answer is unknown.
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
