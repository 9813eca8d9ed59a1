package requester

// Unexpected bytes on an idle connection would be read as the answer to the next request, and a connection that the
// server has closed would lose that request. Therefore an idle connection is checked before reuse: if anything can be
// read on it, end of file included, it is closed. The check costs one system call; without it every restart of an
// endpoint would fail the requests sent on its closed connections, and those that must not run twice could not be
// retried.
//
// Example: an endpoint sends a second answer after a complete one; the connection is closed instead of reused.

import (
	"bufio"
	"errors"
	"net"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

// conn is one connection.
type conn struct {
	net.Conn
	// reader and writer are nil while the connection is idle.
	reader    *bufio.Reader
	writer    *bufio.Writer
	address   string
	idleUntil clock.Time
	// reused is whether a request has been answered on the connection before.
	reused bool
	count  *Connections
	closed atomic.Bool
	// traffic counts the bytes of the request under way, nil for none.
	traffic atomic.Pointer[Traffic]
	// raw gives the file descriptor, nil if the connection has none.
	raw syscall.RawConn
	// bodyFailed is set if the body of the request under way could not be read.
	bodyFailed atomic.Pointer[BodyError]
}

// rawConn returns access to a connection's file descriptor, nil if it has none.
func rawConn(c net.Conn) (syscall.RawConn, error) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return nil, nil
	}
	return s.SyscallConn()
}

// Read reads from the connection and counts the bytes received.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if t := c.traffic.Load(); t != nil {
		t.Received.Add(int64(n))
	}
	return n, err
}

// Write writes to the connection and counts the bytes sent.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if t := c.traffic.Load(); t != nil {
		t.Sent.Add(int64(n))
	}
	return n, err
}

// Close closes the connection and removes it once from the count of open connections.
func (c *conn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.count.Add(-1)
	}
	return c.Conn.Close()
}

// abort resets the connection instead of closing it in order. After an orderly close, bytes delayed by a partition or a
// congested link are still delivered seconds later, and the endpoint runs requests whose callers left as much as 5.4 s
// before. A reset discards these bytes.
func (c *conn) abort() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		// This fails only if the connection is closed already.
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// hasNoInput returns whether nothing can be read on the connection, not even end of file.
func (c *conn) hasNoInput() bool {
	if c.raw == nil {
		return true
	}
	hasNoInput := false
	err := c.raw.Read(func(fd uintptr) bool {
		hasNoInput = nothingToRead(int(fd))
		return true
	})
	return hasNoInput && err == nil
}

// nothingToRead returns whether a read would block. Any other event is input, a reset or end of file included; a poll that
// fails gives no certainty. Peeking with recvfrom instead allocates a socket address for each call.
func nothingToRead(fd int) bool {
	events := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
	for {
		ready, err := unix.Poll(events[:], 0)
		if errors.Is(err, unix.EINTR) {
			// The runtime interrupts threads with signals; without another try, sound connections would be closed.
			continue
		}
		return ready == 0 && err == nil
	}
}
