// A call may be reported as not run only if that is proved, so every error of a call carries the phase that the call
// had reached.
//
// Example: a failed dial gives CallError{Phase: NotSent}; a connection that breaks before the answer's head gives
// CallError{Phase: Sent}, and the call must be treated as one that may have run.

package transporter

import (
	"errors"
	"fmt"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// CallError is the type of every error of Call and of reading an answer.
type CallError struct {
	Peer  Peer
	Phase Phase
	Err   error
}

// Error names the peer, the phase and the cause.
func (e CallError) Error() string {
	return fmt.Sprintf("call to node %s at %s, %s: %v", e.Peer.Node, e.Peer.Address, e.Phase, e.Err)
}

// Unwrap returns the cause.
func (e CallError) Unwrap() error {
	return e.Err
}

// TooLargeError reports a head or message above its size limit.
type TooLargeError struct {
	What  string
	Size  int
	Limit int
}

// Error names what was too large, its size and the limit.
func (e TooLargeError) Error() string {
	return fmt.Sprintf("%s of %d bytes exceeds the limit of %d bytes", e.What, e.Size, e.Limit)
}

// OverflowError reports a control message that was dropped because the peer's queue is full.
type OverflowError struct {
	Node identifier.Node
}

// Error names the peer.
func (e OverflowError) Error() string {
	return fmt.Sprintf("control queue to node %s is full, message dropped", e.Node)
}

// PartitionedError reports traffic that Options.Partitioned dropped.
type PartitionedError struct {
	Node identifier.Node
}

// Error names the peer.
func (e PartitionedError) Error() string {
	return fmt.Sprintf("node %s is cut off", e.Node)
}

// WrongNodeError reports that a node other than the expected one listens at an address.
type WrongNodeError struct {
	Want identifier.Node
	Got  identifier.Node
}

// Error names both nodes.
func (e WrongNodeError) Error() string {
	return fmt.Sprintf("expected node %s, got an answer from node %s", e.Want, e.Got)
}

// BackOffError reports a peer that is not dialled yet because the backoff after a failed dial has not elapsed.
type BackOffError struct {
	Peer Peer
	Last error
}

// Error names the peer and the last failure.
func (e BackOffError) Error() string {
	return fmt.Sprintf("node %s at %s is not dialled again before its backoff ends, last error: %v", e.Peer.Node, e.Peer.Address, e.Last)
}

// Unwrap returns the failure of the last dial.
func (e BackOffError) Unwrap() error {
	return e.Last
}

// MalformedError reports bytes that are not a valid frame of this protocol.
type MalformedError struct {
	What string
	Err  error
}

// Error names the frame and the cause.
func (e MalformedError) Error() string {
	return fmt.Sprintf("malformed %s: %v", e.What, e.Err)
}

// Unwrap returns the cause.
func (e MalformedError) Unwrap() error {
	return e.Err
}

// Errors without parameters.
var (
	errClosed          = errors.New("transporter or body is closed")
	errTooManyCalls    = errors.New("too many calls to this peer are under way")
	errTooManyLinks    = errors.New("as many connections as allowed are open and none is idle")
	errLinksKeepEnding = errors.New("connections to this peer end as soon as they are established")
	errLength          = errors.New("length or kind out of range")
	errWriteOrder      = errors.New("parts of the answer written out of order")
)
