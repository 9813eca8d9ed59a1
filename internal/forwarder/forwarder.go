// In a small failure domain half of the calls are delivered by the node at which they entered. Sending those
// through QUIC from a node to itself would double the node's work, so they pass through an in-memory pipe. The
// receiver sees no difference between the local and the remote path.
//
// Example: f.Call(ctx, transporter.Peer{Node: self}, head, body) calls this node's Local and returns its answer
// as if it had come over the network.

package forwarder

import (
	"context"
	"io"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/transporter"
)

// Remote sends a call to another node.
type Remote interface {
	Call(ctx context.Context, to transporter.Peer, head transporter.CallHead, body io.Reader) (*transporter.Answer, transporter.Phase, error)
}

// Local serves a call on this node.
type Local interface {
	ServeCall(ctx context.Context, from identifier.Node, head transporter.CallHead, body io.Reader, w transporter.AnswerWriter)
}

// Answer is the answer to one attempt; its body may still be arriving.
type Answer interface {
	Head() transporter.AnswerHead
	io.ReadCloser
	// Tail returns the answer's tail, and true once Read has returned io.EOF.
	Tail() (transporter.AnswerTail, bool)
}

// Forwarder sends calls to the nodes of endpoints.
type Forwarder struct {
	self   identifier.Node
	local  Local
	remote Remote
}

// New returns a forwarder for the node self.
func New(self identifier.Node, l Local, r Remote) *Forwarder {
	return &Forwarder{self: self, local: l, remote: r}
}

// Call sends one attempt to the peer; on an error the phase says whether the call may have run.
func (f *Forwarder) Call(ctx context.Context, to transporter.Peer, head transporter.CallHead, body io.Reader) (Answer, transporter.Phase, error) {
	if to.Node == f.self {
		return f.callLocal(ctx, head, body)
	}
	a, phase, err := f.remote.Call(ctx, to, head, body)
	if err != nil {
		return nil, phase, err
	}
	return remoteAnswer{a}, phase, nil
}

type remoteAnswer struct{ *transporter.Answer }

// Head returns the answer's status and header.
func (a remoteAnswer) Head() transporter.AnswerHead { return a.Answer.Head }

// Read reads the answer's body.
func (a remoteAnswer) Read(b []byte) (int, error) { return a.Body.Read(b) }

// Close abandons the rest of the answer.
func (a remoteAnswer) Close() error { return a.Body.Close() }
