package requester

// A connection's reset is reported once, to the call that finds it first. If that is a write of the request's body, a read finds only
// the end of the connection, and an answer that ends with its connection looks whole. Therefore the state of a connection that
// ends is looked at: one that was reset is closed in both directions, one that the other end has finished is not.
//
// Example: an endpoint answers an upload at once, without a length, and resets the connection after a part: the body ends with a
// ResetError.

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ResetError reports that a connection was reset, though a read of it found only its end.
type ResetError struct{ Address string }

// Error names the other end's address.
func (e ResetError) Error() string { return "connection to " + e.Address + " was reset" }

// resetConn is a connection on which a reset is never taken for an end.
type resetConn struct {
	net.Conn
}

// Read reads from the connection.
func (c resetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF && wasReset(c.Conn) {
		err = ResetError{Address: c.RemoteAddr().String()}
	}
	return n, err
}

// SyscallConn returns the connection's descriptor.
func (c resetConn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return s.SyscallConn()
}

// SetLinger sets what becomes of unsent data when the connection is closed.
func (c resetConn) SetLinger(seconds int) error {
	t, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.ErrUnsupported
	}
	return t.SetLinger(seconds)
}

// wasReset returns whether a connection that has ended was reset. One that this process has closed meanwhile counts as reset: a
// failed write is the reason to close it.
func wasReset(n net.Conn) bool {
	s, ok := n.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true
	}
	states := []unix.PollFd{{}}
	failed := raw.Control(func(fd uintptr) {
		states[0].Fd = int32(fd)
		_, err = unix.Poll(states, 0)
	})
	return failed != nil || err == nil && states[0].Revents&(unix.POLLHUP|unix.POLLERR) != 0
}

// DetectResets returns a function that opens connections with dial, on which a reset is never taken for an end; it is for
// http.Transport.
func DetectResets(
	dial func(ctx context.Context, network, address string) (net.Conn, error),
) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return resetConn{n}, nil
	}
}
