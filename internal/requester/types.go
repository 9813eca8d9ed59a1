package requester

// What can go wrong with a request falls in two kinds that must never be mixed up: it was not sent, or it may have
// run.
//
// Example: var d DialError; errors.As(err, &d) tells that nothing was sent.

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

// Request is what is sent.
type Request struct {
	Method string
	// URI is the path and query as they came, Host the host that was asked for.
	URI    string
	Host   string
	Header http.Header
	// Body is nil where there is none; Length is -1 where it is not known.
	Body   io.Reader
	Length int64
	// ExpectContinue tells to send the body only when the other side asks for it, so that a refusal leaves it unread.
	ExpectContinue bool
	// Traffic takes the bytes that the request and its answer have on the wire; nil counts none.
	Traffic *Traffic
	// Matches tells whether an answer belongs to this request; another one is read and dropped. Nil takes any.
	Matches func(http.Header) bool
}

// Traffic is what one request has sent and received, heads and bodies, under the connection's own framing.
type Traffic struct {
	Sent, Received atomic.Int64
}

// Options set a client up.
type Options struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout clock.Duration
	// IdleTime is how long an unused connection is kept where the other side does not say.
	IdleTime clock.Duration
	// MaxIdle is how many unused connections are kept for each address.
	MaxIdle int
	// Connections counts those of this client with the others of the process.
	Connections *Connections
	// Now reads the monotonic clock.
	Now func() clock.Time
}

// DialError tells that no connection came about; nothing was sent.
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

// SentError tells that the request was sent, wholly or in part, and no answer to it came.
type SentError struct {
	Address string
	Cause   error
}

// Error names the address.
func (e SentError) Error() string {
	return fmt.Sprintf("no answer from %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e SentError) Unwrap() error {
	return e.Cause
}

// StatusError tells that an answer came with a status that says nothing of what was asked.
type StatusError struct {
	Address string
	Status  int
}

// Error names the address and the status.
func (e StatusError) Error() string {
	return fmt.Sprintf("answer from %s: status %d", e.Address, e.Status)
}

// BodyError tells that the request's body could not be read to its end, so that the request was sent in part only.
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
