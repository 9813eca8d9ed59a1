// Half of the calls in a small failure domain end at the node they entered by. Sending those through QUIC to
// itself would cost a node twice the work, so they go through a pipe; both ways look the same to the receiver.
//
// Example: f.Call(ctx, transporter.Peer{Node: self}, head, body) runs the local deliverer and returns its
// answer as if it had come over the network.

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

// Answer is what an attempt brought back.
type Answer interface {
	Head() transporter.AnswerHead
	io.ReadCloser
	// Tail is known once Read has returned io.EOF.
	Tail() (transporter.AnswerTail, bool)
}

// Forwarder sends calls to endpoints.
type Forwarder struct {
	self   identifier.Node
	local  Local
	remote Remote
}

// New returns a forwarder for the node self.
func New(self identifier.Node, l Local, r Remote) *Forwarder {
	return &Forwarder{self: self, local: l, remote: r}
}

// Call carries one attempt to the peer; on an error the phase tells whether the call may have been taken.
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

// Close gives the rest of the answer up.
func (a remoteAnswer) Close() error { return a.Body.Close() }
