package requester

// A VM that has lost power or is partitioned sends nothing, not even a reset. With the system's default socket options a
// connection to it hangs for many minutes, and each request on it until its deadline. The options below make the
// system close such a connection within a few seconds.
//
// Example: the peer loses power while a request is under way; after AckTimeout the read fails with a timeout.

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// AckTimeout is how long sent bytes may stay unacknowledged: several times the round trip between failure
	// domains (3 ms) and a lost packet's second retransmission (600 ms).
	AckTimeout = 1500 * time.Millisecond
	// ReadTimeout is how long the other end may leave an answer or a large body unread. The system can't tell it from a lost VM
	// while it has no room for further bytes, and callers and endpoints may pause for seconds.
	ReadTimeout = 10 * time.Second
	// probeIdle and probeEvery are when an idle connection is probed; the system's interface takes whole seconds.
	probeIdle  = 2 * time.Second
	probeEvery = time.Second
	probeCount = 2
)

// KeepAlive configures the TCP keep-alive probes on idle connections.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount}

// Control returns a function that sets TCP_USER_TIMEOUT, which package net does not set; it is for net.Dialer and
// net.ListenConfig.
func Control(timeout time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error { return setAckTimeout(c, timeout) }
}

// receiveBuffer bounds what the system holds of a caller's input that has not been read, in bytes. The system would let it grow to
// megabytes for a caller whose input is read fast at first.
const receiveBuffer = 64 << 10

// ListenControl sets the options of a listener's connections; it is for net.ListenConfig.
func ListenControl(network, address string, c syscall.RawConn) error {
	return errors.Join(BoundReceiveBuffer(network, address, c), setAckTimeout(c, ReadTimeout))
}

// BoundReceiveBuffer bounds the receive buffers of a listener's connections; it is for net.ListenConfig.
func BoundReceiveBuffer(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
	})
	return errors.Join(err, failed)
}

func setAckTimeout(c syscall.RawConn, timeout time.Duration) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// maxSmallBody is the size in bytes up to which a body always finds room in the system's buffers of the other end.
const maxSmallBody = 16 << 10

// prepareFor sets how long bytes of the request that is sent next may stay unacknowledged.
func (c *conn) prepareFor(r *Request) error {
	timeout := AckTimeout
	if r.Body != nil && (r.Length < 0 || r.Length > maxSmallBody) {
		timeout = ReadTimeout
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok || timeout == c.ackTimeout {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return err
	}
	c.ackTimeout = timeout
	return setAckTimeout(raw, timeout)
}

// Dial opens a TCP connection that fails when its peer no longer responds.
func Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAliveConfig: KeepAlive, Control: Control(AckTimeout)}
	return DetectResets(d.DialContext)(ctx, "tcp", address)
}
