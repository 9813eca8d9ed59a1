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
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

const (
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
)

// unboundedHead is what headLeft is while no head is read.
const unboundedHead = -1

var errHeadTooLong = errors.New("the head of the answer is too long")

// conn is one connection and its buffers.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	writer    *bufio.Writer
	address   string
	idleUntil clock.Time
	// sent are the requests that the connection has carried.
	sent sentRequests
	// reused is whether a request has been answered on the connection before.
	reused bool
	// ackTimeout is how long sent bytes may stay unacknowledged.
	ackTimeout time.Duration
	count      *Connections
	closed     atomic.Bool
	// traffic counts the bytes of the request under way, nil for none.
	traffic atomic.Pointer[Traffic]
	// headLeft is how many bytes may still be received for the head that is being read, unboundedHead while none is.
	headLeft atomic.Int64
	// bodyFailed is set if the body of the request under way could not be read.
	bodyFailed atomic.Pointer[BodyError]
}

// Read reads from the connection and counts the bytes received.
func (c *conn) Read(p []byte) (int, error) {
	left := c.headLeft.Load()
	if left == 0 {
		return 0, errHeadTooLong
	}
	if left > 0 {
		p = p[:min(int64(len(p)), left)]
	}
	n, err := c.Conn.Read(p)
	if left > 0 {
		c.headLeft.Store(left - int64(n))
	}
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
	if t, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		// This fails only if the connection is closed already.
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

type pool struct {
	mu      sync.Mutex
	idle    map[string][]*conn
	maxIdle int
	// reportUnread is called before an idle connection is closed.
	reportUnread func(*conn)
}

func newPool(maxIdle int) *pool {
	return &pool{idle: map[string][]*conn{}, maxIdle: maxIdle}
}

// take returns the connection that was used last, so that the others reach their idle time and are closed, and how many
// connections it has passed over because they had carried the request before.
func (p *pool) take(address string, k requestKey, now clock.Time) (*conn, int) {
	for {
		c, passedOver := p.pop(address, k)
		if c == nil || now < c.idleUntil && c.hasNoInput() {
			return c, passedOver
		}
		p.discard(c)
	}
}

// discard closes an idle connection.
func (p *pool) discard(c *conn) {
	p.reportUnread(c)
	_ = c.Close()
}

func (p *pool) pop(address string, k requestKey) (c *conn, passedOver int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i, c := range slices.Backward(list) {
		if !c.sent.contains(k) {
			p.idle[address] = slices.Delete(list, i, i+1)
			return c, passedOver
		}
		passedOver++
	}
	return nil, passedOver
}

func (p *pool) put(c *conn) {
	c.reused = true
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.address]
	if len(list) >= p.maxIdle {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(list, c)
}

// expire closes the connections whose idle time has passed.
func (p *pool) expire(now clock.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now < c.idleUntil {
				kept = append(kept, c)
				continue
			}
			p.discard(c)
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// closeIdle closes all idle connections to an address.
func (p *pool) closeIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		p.discard(c)
	}
	delete(p.idle, address)
}

// hasNoInput returns whether nothing can be read on the connection, not even end of file.
func (c *conn) hasNoInput() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if _, ok := c.Conn.(syscall.Conn); !ok {
		return true
	}
	var b [1]byte
	_, err := c.peek(b[:])
	return err == unix.EAGAIN
}

// peekInput returns up to size bytes that have arrived and were not read, and leaves them where they are.
func (c *conn) peekInput(size int) []byte {
	if n := c.reader.Buffered(); n > 0 {
		// The bytes are buffered, so Peek returns no error.
		text, _ := c.reader.Peek(min(n, size))
		return text
	}
	b := make([]byte, size)
	n, err := c.peek(b)
	if err != nil {
		return nil
	}
	return b[:n]
}

// peek reads what has arrived at the socket without waiting and without removing it; at the end of file it returns 0.
func (c *conn) peek(b []byte) (n int, err error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, unix.ENOTSUP
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, err
	}
	var failed error
	err = raw.Read(func(fd uintptr) bool {
		n, _, failed = unix.Recvfrom(int(fd), b, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	if err != nil {
		return 0, err
	}
	return n, failed
}
