package pipeliner

// The system resets a connection that is closed while it holds bytes that were not read, and drops what it has not sent yet. A
// caller that sends ahead would thereby lose the end of an answer that was written completely. Therefore such a connection is
// first closed for writing only.
//
// Example: a caller sends its next request while the last answer, 90 kB with Connection: close, is on its way.

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// deliveryTime is how long a connection with unread bytes is kept after its last answer: some round trips and a retransmission.
const deliveryTime = 500 * time.Millisecond

// CloseWrite ends the connection for the caller; the server uses it where it waits before it closes.
func (c *connection) CloseWrite() error {
	c.halfClosed.Store(true)
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}

// awaitDelivery sends the end of the last answer and gives the caller time to read it.
func (c *connection) awaitDelivery() {
	if c.CloseWrite() != nil {
		// The caller has reset the connection.
		return
	}
	timer := time.NewTimer(deliveryTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.pipeliner.context.Done():
	}
}

// hasUnread returns whether the system holds bytes of a connection that were not read; false if it can't tell.
func hasUnread(n net.Conn) bool {
	s, ok := n.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	unread := 0
	if err := raw.Control(func(fd uintptr) { unread, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ) }); err != nil {
		return false
	}
	return err == nil && unread > 0
}
