package pipeliner

// The system resets a connection that is closed while it holds bytes that were not read, or that gets some afterwards, and drops
// what it has not sent yet. A caller that sends ahead would thereby lose the end of an answer that was written completely.
// Therefore a connection that ends with an answer is first closed for writing only, until all of it has been acknowledged.
//
// Example: a caller sends its next request while the last answer, 90 kB with Connection: close, is on its way.

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxDeliveryTime is how long a caller may take to read the last answer of a connection; it may pause for seconds.
	maxDeliveryTime = 10 * time.Second
	// minDeliveryCheck and maxDeliveryCheck are the shortest and longest time between two looks at what is not acknowledged.
	minDeliveryCheck = 2 * time.Millisecond
	maxDeliveryCheck = 50 * time.Millisecond
)

// CloseWrite ends the connection for the caller; the server uses it where it waits before it closes.
func (c *connection) CloseWrite() error {
	c.halfClosed.Store(true)
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}

// awaitDelivery waits until the caller's system has all of the last answer.
func (c *connection) awaitDelivery() {
	if !c.halfClosed.Load() && c.CloseWrite() != nil {
		// The caller has reset the connection.
		return
	}
	begun := time.Now()
	for check := minDeliveryCheck; hasUnacknowledged(c.Conn) && time.Since(begun) < maxDeliveryTime; {
		timer := time.NewTimer(check)
		select {
		case <-timer.C:
		case <-c.pipeliner.context.Done():
			timer.Stop()
			return
		}
		check = min(2*check, maxDeliveryCheck)
	}
}

// hasUnacknowledged returns whether the other end of a connection has not acknowledged all bytes; false if that can't be told.
func hasUnacknowledged(n net.Conn) bool {
	count := 0
	err := WithDescriptor(n, func(fd int) (err error) {
		count, err = unix.IoctlGetInt(fd, unix.TIOCOUTQ)
		return err
	})
	return err == nil && count > 0
}

// unreadInput returns how many bytes of a connection's input the system holds; 0 if that can't be told.
func unreadInput(n net.Conn) int64 {
	count := 0
	err := WithDescriptor(n, func(fd int) (err error) {
		count, err = unix.IoctlGetInt(fd, unix.TIOCINQ)
		return err
	})
	if err != nil {
		return 0
	}
	return int64(count)
}

// hasEnded returns whether the other end has closed a connection or reset it, without reading from it; false if that can't be
// told.
func hasEnded(n net.Conn) bool {
	const ended = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	states := []unix.PollFd{{Events: unix.POLLRDHUP}}
	err := WithDescriptor(n, func(fd int) error {
		states[0].Fd = int32(fd)
		_, err := unix.Poll(states, 0)
		return err
	})
	return err == nil && states[0].Revents&ended != 0
}

// WithDescriptor calls f with the file descriptor of a connection or a listener; that of an encrypted connection is the descriptor of
// the one below it.
func WithDescriptor(n any, f func(fd int) error) error {
	if encrypted, ok := n.(interface{ NetConn() net.Conn }); ok {
		n = encrypted.NetConn()
	}
	s, ok := n.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return err
	}
	failed := error(nil)
	if err := raw.Control(func(fd uintptr) { failed = f(int(fd)) }); err != nil {
		return err
	}
	return failed
}
