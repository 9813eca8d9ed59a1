package requester

// A failed request was either not sent at all or may have run. The error types keep these two cases apart, since only
// the first can always be retried.
//
// Example: if errors.As(err, &d) holds for a var d DialError, nothing was sent.

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

// Request is one HTTP request to send.
type Request struct {
	Method string
	// URI is the path and query as received, Host the requested host.
	URI    string
	Host   string
	Header http.Header
	// Body is nil if there is none; Length is -1 if it is not known.
	Body   io.Reader
	Length int64
	// ExpectContinue delays the body until the server answers 100 Continue, so that a refusal leaves the body unread.
	ExpectContinue bool
	// Traffic counts the bytes of the request and its answer on the wire; nil counts none.
	Traffic *Traffic
	// ID is the id that the answer has to repeat in Options.IDField; other answers are read and dropped. No connection carries two
	// requests with the same id.
	ID string
	// NewConnection sends the request on a new connection and accepts an answer without regard to its id.
	NewConnection bool
}

// Traffic is the number of bytes that one request has sent and received: heads, bodies and HTTP/1.1 framing.
type Traffic struct {
	Sent, Received atomic.Int64
}

// Options configures a client.
type Options struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout clock.Duration
	// IdleTime is how long an idle connection is kept unless the server's Keep-Alive field sets a time.
	IdleTime clock.Duration
	// MaxIdle is the maximum number of idle connections for each address.
	MaxIdle int
	// Connections counts the client's connections together with the others of the process.
	Connections *Connections
	// Now reads the monotonic clock.
	Now func() clock.Time
	// IDField is the header field in which an answer repeats the id of its request. If it is empty, each answer belongs to
	// the request sent last.
	IDField string
	// AnswerDropped is called for each answer that belongs to no request under way on its connection, also for one that is found
	// when its connection is closed; nil calls nothing.
	AnswerDropped func(DroppedAnswer)
	// BoundExceeded is called for each answer that is longer than this client reads; nil calls nothing.
	BoundExceeded func(ExceededBound)
}

// DroppedAnswer is an answer that was read while another one was awaited, or none.
type DroppedAnswer struct {
	// Connection is the local address of the connection.
	Connection string
	// Awaited and Got are the ids of the request under way and of the answer. Awaited is empty on an idle connection, Got is
	// empty for bytes that are no answer.
	Awaited, Got string
	Status       int
	// Known is whether the connection has carried a request with the answer's id that is still remembered, Taken the status of
	// the answer that was returned for it, 0 for none.
	Known bool
	Taken int
}

// BoundError reports an answer that exceeds a bound; its request may have run.
type BoundError struct {
	// Bound is head, statusLines, chunkLine, trailer, interimAnswers, droppedAnswers or followedAnswer, Limit the bytes, lines in a
	// head or answers allowed.
	Bound string
	Limit int64
}

// Error names the bound.
func (e BoundError) Error() string {
	return fmt.Sprintf("answer exceeds the bound %s of %d", e.Bound, e.Limit)
}

// ExceededBound is a BoundError and where it occurred.
type ExceededBound struct {
	BoundError
	// Connection is the local address of the connection, Address the server's, ID the id of the request.
	Connection, Address, ID string
}

// DialError reports that no connection could be opened; nothing was sent.
type DialError struct {
	Address string
	Cause   error
}

// Error names the address.
func (e DialError) Error() string {
	return fmt.Sprintf("connect to %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e DialError) Unwrap() error {
	return e.Cause
}

// SentError reports that the request was sent, completely or in part, and got no answer; it may have run.
type SentError struct {
	Address string
	// Connection is the local address of the connection on which it was sent.
	Connection string
	Cause      error
}

// Error names the address.
func (e SentError) Error() string {
	return fmt.Sprintf("no answer from %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e SentError) Unwrap() error {
	return e.Cause
}

// StatusError reports an answer whose status is not one that the request expects.
type StatusError struct {
	Address string
	Status  int
}

// Error names the address and the status.
func (e StatusError) Error() string {
	return fmt.Sprintf("answer from %s: status %d", e.Address, e.Status)
}

// BodyError reports that the request's body could not be read to its end, so that only a part of the request was sent.
type BodyError struct {
	Cause error
}

// Error gives the cause.
func (e BodyError) Error() string {
	return fmt.Sprintf("read the request's body: %v", e.Cause)
}

// Unwrap returns the cause.
func (e BodyError) Unwrap() error {
	return e.Cause
}
