package pipeliner

// The standard server looks for a caller that has left by reading one byte while it answers. Where the caller has sent its
// next request already, that byte is the next request's, and the look is over: the caller may close the connection, and
// what it asked for runs on at an endpoint with nobody waiting. One would notice by endpoints that work long after their
// callers have left. So that read ends here: it gathers what is sent ahead, within a bound, and returns only when the
// connection ends or the server takes its look back.
//
// Example: two lookups are sent at once and the connection is closed 150 ms later: the gathering read sees the end, the
// server cancels the first, and the second is never begun or is cancelled as well.

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// mostGathered bounds what is held of a caller that sends without waiting: some 200 requests. From there on it is the
	// system's buffers that fill up, and whether the caller is still there is seen when the next request's turn comes.
	mostGathered = 64 << 10
	// readSize is what is gathered at once, one or two requests; each connection has a buffer of it.
	readSize = 512
)

// phase is what the server reads next.
type phase uint8

const (
	// head: up to the end of the next request's head.
	head phase = iota
	// body: what is left of a body whose length is known.
	body
	// answering: nothing; a read is the server's look for a caller that has left.
	answering
	// plain: anything, since a body in chunks has hidden where requests end.
	plain
)

// connection hands its server one request at a time and gathers what is sent ahead.
type connection struct {
	net.Conn
	options Options
	// left ends the context of the requests that were begun ahead.
	left    context.CancelFunc
	context context.Context

	mu       sync.Mutex
	phase    phase
	boundary boundary
	gathered []byte
	// buffer is what gathering reads into.
	buffer []byte
	// bodyLeft is how much of the body has not been handed out.
	bodyLeft int64
	// serving tells that a request is being answered.
	serving bool
	// closing tells that the answer under way ends the connection.
	closing bool
	// withdrawn tells that the server no longer waits for its look; changed is told of that.
	withdrawn bool
	changed   *sync.Cond
	queue     queue
	// turn is the run that was begun ahead for the request whose head was handed out last, nil for none.
	turn *run
}

func newConnection(inner net.Conn, o Options) *connection {
	ctx, cancel := context.WithCancel(context.Background())
	c := &connection{Conn: inner, options: o, context: ctx, left: cancel}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// SetReadDeadline bounds reads; a time in the past is how the server takes its look back.
func (c *connection) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.withdrawn = !t.IsZero() && t.Before(time.Now())
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// Close closes the connection and ends what was begun ahead.
func (c *connection) Close() error {
	c.left()
	c.mu.Lock()
	c.withdrawn = true
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}

// Read is the server's: the next head, a body, or the look for a caller that has left.
func (c *connection) Read(p []byte) (int, error) {
	c.mu.Lock()
	for {
		if c.phase == answering {
			return c.gather()
		}
		if len(c.gathered) > 0 {
			n := c.handOut(p)
			c.mu.Unlock()
			return n, nil
		}
		c.mu.Unlock()
		n, err := c.Conn.Read(p)
		if err != nil {
			return n, err
		}
		c.mu.Lock()
		c.gathered = append(c.gathered, p[:n]...)
	}
}

// handOut gives the server what belongs to the present request; the caller holds the lock.
func (c *connection) handOut(p []byte) int {
	n := min(len(p), len(c.gathered))
	ended := false
	switch c.phase {
	case head:
		n, ended = c.boundary.end(c.gathered[:n])
	case body:
		n = int(min(int64(n), c.bodyLeft))
		c.bodyLeft -= int64(n)
		ended = c.bodyLeft == 0
	}
	copy(p, c.gathered[:n])
	c.gathered = append(c.gathered[:0], c.gathered[n:]...)
	switch {
	case ended && c.phase == head:
		c.turn = c.queue.handed(n)
		c.phase = answering
	case ended:
		c.phase = c.afterBody()
	case c.phase == head:
		c.queue.handed(n)
	}
	return n
}

func (c *connection) afterBody() phase {
	if c.serving {
		return answering
	}
	return head
}

// gather reads ahead until the connection ends or the server takes its look back; the caller holds the lock, gather lets
// go of it.
func (c *connection) gather() (int, error) {
	defer c.mu.Unlock()
	c.begin()
	if c.buffer == nil {
		c.buffer = make([]byte, readSize)
	}
	for len(c.gathered) < mostGathered {
		c.mu.Unlock()
		n, err := c.Conn.Read(c.buffer)
		c.mu.Lock()
		c.gathered = append(c.gathered, c.buffer[:n]...)
		if err != nil {
			if !isTimeout(err) {
				c.left()
			}
			return 0, err
		}
		c.begin()
	}
	for !c.withdrawn {
		c.changed.Wait()
	}
	return 0, os.ErrDeadlineExceeded
}

func isTimeout(err error) bool {
	failed, ok := err.(net.Error)
	return ok && failed.Timeout()
}

// serve notes that the server begins to answer a request, and returns the run that was begun for it ahead, if any.
func (c *connection) serve(r *http.Request) *run {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = true
	c.closing = c.closing || r.Close
	switch {
	case c.phase == plain:
	case r.ContentLength > 0:
		c.phase, c.bodyLeft = body, r.ContentLength
	case r.ContentLength < 0:
		c.phase = plain
	default:
		c.begin()
	}
	turn := c.turn
	c.turn = nil
	return turn
}

// served notes that the request has its answer.
func (c *connection) served() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = false
	if c.phase == answering {
		c.phase = head
	}
}

// begin starts the requests that were sent ahead, as many as are allowed at once; the caller holds the lock.
func (c *connection) begin() {
	for c.serving && !c.closing && c.phase == answering && c.queue.len() < c.options.Most {
		ahead := c.gathered[c.queue.covered:]
		var b boundary
		n, whole := b.end(ahead)
		if !whole {
			return
		}
		request, ok := parse(ahead[:n])
		if !ok || !c.options.Ahead(request) {
			return
		}
		c.closing = request.Close
		c.queue.add(c.start(request, n))
	}
}

// mayClose tells whether the answer to a request may end the connection. Where requests behind it were begun it may not:
// they have been passed on, and would go without an answer. Otherwise nothing behind it is begun any more.
func (c *connection) mayClose(of *run) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.queue.behind(of) > 0 {
		return false
	}
	c.closing = true
	return true
}
