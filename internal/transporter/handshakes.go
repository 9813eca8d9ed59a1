// A handshake that its client begins and does not go on with holds its keys and buffers until HandshakeIdleTimeout, and any address can be
// given as the sender of a packet. Above a few handshakes under way, a client therefore has to show first that it receives packets at
// its address, which costs the node no memory; above a bound, further ones are refused.
//
// Example: 300 clients send their first packet and read nothing: 16 of them hold memory, the others are sent Retry packets.

package transporter

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/quic-go/quic-go"
)

const (
	// maxUnverified is the number of handshakes under way above which clients have to prove their address.
	maxUnverified = 16
	// maxHandshakes is the number of handshakes under way above which further ones are refused; more nodes than a fleet has.
	maxHandshakes = 1024
)

// HandshakesError reports that a connection was refused because too many handshakes are under way.
type HandshakesError struct{ Limit int }

// Error names the limit.
func (e HandshakesError) Error() string { return fmt.Sprintf("%d handshakes are under way", e.Limit) }

// handshakes counts the handshakes under way with clients, and what was done to bound them.
type handshakes struct {
	pending, verified, refused atomic.Int64
}

type handshakeKey struct{}

// mustVerify returns whether a client has to prove its address.
func (h *handshakes) mustVerify() bool {
	if h.pending.Load() < maxUnverified {
		return false
	}
	h.verified.Add(1)
	return true
}

// begin counts a handshake until it is ended or its connection closes.
func (h *handshakes) begin(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	if h.pending.Load() >= maxHandshakes {
		h.refused.Add(1)
		return nil, HandshakesError{Limit: maxHandshakes}
	}
	h.pending.Add(1)
	end := sync.OnceFunc(func() { h.pending.Add(-1) })
	context.AfterFunc(ctx, end)
	return context.WithValue(ctx, handshakeKey{}, end), nil
}

// end ends the handshake of a connection that has been accepted.
func (h *handshakes) end(conn *quic.Conn) {
	if end, ok := conn.Context().Value(handshakeKey{}).(func()); ok {
		end()
	}
}
