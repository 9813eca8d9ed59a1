// A caller must be told the truth about "not run", so every failure here carries the phase that the call had
// reached. Example: a refused dial gives CallError{Phase: NotSent}; a connection that dies before the answer's
// head gives CallError{Phase: Sent}, and upstream must treat the call as maybe run.

package transporter

import (
	"errors"
	"fmt"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// CallError is every error of Call and of reading an answer.
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

// TooLargeError reports a head or message above its bound.
type TooLargeError struct {
	What  string
	Size  int
	Limit int
}

// Error names what was too large, and the bound.
func (e TooLargeError) Error() string {
	return fmt.Sprintf("%s of %d bytes: at most %d are taken", e.What, e.Size, e.Limit)
}

// OverflowError reports a control message dropped because too many wait for the same peer.
type OverflowError struct {
	Node identifier.Node
}

// Error names the peer.
func (e OverflowError) Error() string {
	return fmt.Sprintf("control queue to node %s is full", e.Node)
}

// PartitionedError reports traffic dropped by the test switch Options.Cut.
type PartitionedError struct {
	Node identifier.Node
}

// Error names the peer.
func (e PartitionedError) Error() string {
	return fmt.Sprintf("node %s is cut off", e.Node)
}

// WrongNodeError reports that another node than the wanted one listens at an address.
type WrongNodeError struct {
	Want identifier.Node
	Got  identifier.Node
}

// Error names both nodes.
func (e WrongNodeError) Error() string {
	return fmt.Sprintf("node %s was wanted, node %s answered", e.Want, e.Got)
}

// BackOffError reports a peer that could not be dialled a moment ago and is not tried again yet.
type BackOffError struct {
	Peer Peer
	Last error
}

// Error names the peer and the last failure.
func (e BackOffError) Error() string {
	return fmt.Sprintf("node %s at %s is not dialled again yet: %v", e.Peer.Node, e.Peer.Address, e.Last)
}

// Unwrap returns the failure of the last dial.
func (e BackOffError) Unwrap() error {
	return e.Last
}

// MalformedError reports bytes that are no frame of this protocol.
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

// Reasons without data of their own.
var (
	errClosed       = errors.New("the transporter is closed")
	errTooManyCalls = errors.New("too many calls are under way to this peer")
	errTooManyLinks = errors.New("too many connections are in use")
	errLinksKeepEnding     = errors.New("connections to this peer end as soon as they are made")
	errLength       = errors.New("length out of bounds")
	errWriteOrder     = errors.New("answer written out of order")
)
