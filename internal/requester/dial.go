package requester

// A VM without power, or behind a cut, answers nothing: no reset, no refusal. Left to the system's defaults a
// connection to it hangs for many minutes, and each request on it until its deadline. The options below make the
// system give such a connection up within a few seconds.
//
// Example: the peer loses power while a request is under way; after DeadAfter the read fails with a timeout.

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// AckTimeout is how long sent bytes may stay unacknowledged: several times the round trip between failure
	// domains (3 ms) and a lost packet's second retransmission (600 ms).
	AckTimeout = 1500 * time.Millisecond
	// probeIdle and probeEvery, in whole seconds by the system's interface, are when a quiet connection is probed.
	probeIdle  = 2 * time.Second
	probeEvery = time.Second
	probeCount = 2
)

// KeepAlive is how quiet connections are probed.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount}

// Control sets the options that net leaves out; it fits net.Dialer and net.ListenConfig.
func Control(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(AckTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Dial opens a TCP connection that notices a dead peer.
func Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAliveConfig: KeepAlive, Control: Control}
	return d.DialContext(ctx, "tcp", address)
}
