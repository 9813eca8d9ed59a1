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
	// maxReadAheadBytes bounds what is held of a caller that sends without waiting: some 200 requests. From there on it is the
	// system's buffers that fill up, and whether the caller is still there is seen when the next request's turn comes.
	maxReadAheadBytes = 64 << 10
	// readChunkBytes is what is gathered at once, one or two requests; each connection has a buffer of it.
	readChunkBytes = 512
)

// phase is what the server reads next.
type phase uint8

const (
	// head: up to the end of the next request's head.
	headPhase phase = iota
	// body: what is left of a body whose length is known.
	bodyPhase
	// answering: nothing; a read is the server's look for a caller that has left.
	answeringPhase
	// plain: anything, since a body in chunks has hidden where requests end.
	passthroughPhase
)

// connection hands its server one request at a time and gathers what is sent ahead.
type connection struct {
	net.Conn
	options Options
	// cancelAhead ends the context of the requests that were begun ahead.
	cancelAhead context.CancelFunc
	context     context.Context

	mu        sync.Mutex
	phase     phase
	boundary  boundary
	readAhead []byte
	// readBuffer is what gathering reads into.
	readBuffer []byte
	// bodyLeft is how much of the body has not been handed out.
	bodyLeft int64
	// serving tells that a request is being answered.
	serving bool
	// closing tells that the answer under way ends the connection.
	closing bool
	// readAborted tells that the server no longer waits for its look; changed is told of that.
	readAborted     bool
	readAbortedCond *sync.Cond
	queue           queue
	// handedRun is the run that was begun ahead for the request whose head was handed out last, nil for none.
	handedRun *run
}

func newConnection(inner net.Conn, o Options) *connection {
	ctx, cancel := context.WithCancel(context.Background())
	c := &connection{Conn: inner, options: o, context: ctx, cancelAhead: cancel}
	c.readAbortedCond = sync.NewCond(&c.mu)
	return c
}

// SetReadDeadline bounds reads; a time in the past is how the server takes its look back.
func (c *connection) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.readAborted = !t.IsZero() && t.Before(time.Now())
	c.readAbortedCond.Broadcast()
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// Close closes the connection and ends what was begun ahead.
func (c *connection) Close() error {
	c.cancelAhead()
	c.mu.Lock()
	c.readAborted = true
	c.readAbortedCond.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}

// Read is the server's: the next head, a body, or the look for a caller that has left.
func (c *connection) Read(p []byte) (int, error) {
	c.mu.Lock()
	for {
		if c.phase == answeringPhase {
			return c.backgroundRead()
		}
		if len(c.readAhead) > 0 {
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
		c.readAhead = append(c.readAhead, p[:n]...)
	}
}

// handOut gives the server what belongs to the present request; the caller holds the lock.
func (c *connection) handOut(p []byte) int {
	n := min(len(p), len(c.readAhead))
	ended := false
	switch c.phase {
	case headPhase:
		n, ended = c.boundary.end(c.readAhead[:n])
	case bodyPhase:
		n = int(min(int64(n), c.bodyLeft))
		c.bodyLeft -= int64(n)
		ended = c.bodyLeft == 0
	}
	copy(p, c.readAhead[:n])
	c.readAhead = append(c.readAhead[:0], c.readAhead[n:]...)
	switch {
	case ended && c.phase == headPhase:
		c.handedRun = c.queue.consume(n)
		c.phase = answeringPhase
	case ended:
		c.phase = c.afterBody()
	case c.phase == headPhase:
		c.queue.consume(n)
	}
	return n
}

func (c *connection) afterBody() phase {
	if c.serving {
		return answeringPhase
	}
	return headPhase
}

// backgroundRead reads ahead until the connection ends or the server takes its look back; the caller holds the lock, gather lets
// go of it.
func (c *connection) backgroundRead() (int, error) {
	defer c.mu.Unlock()
	c.startAllowed()
	if c.readBuffer == nil {
		c.readBuffer = make([]byte, readChunkBytes)
	}
	for len(c.readAhead) < maxReadAheadBytes {
		c.mu.Unlock()
		n, err := c.Conn.Read(c.readBuffer)
		c.mu.Lock()
		c.readAhead = append(c.readAhead, c.readBuffer[:n]...)
		if err != nil {
			if !isTimeout(err) {
				c.cancelAhead()
			}
			return 0, err
		}
		c.startAllowed()
	}
	for !c.readAborted {
		c.readAbortedCond.Wait()
	}
	return 0, os.ErrDeadlineExceeded
}

func isTimeout(err error) bool {
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}

// serve notes that the server begins to answer a request, and returns the run that was begun for it ahead, if any.
func (c *connection) serve(r *http.Request) *run {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = true
	c.closing = c.closing || r.Close
	switch {
	case c.phase == passthroughPhase:
	case r.ContentLength > 0:
		c.phase, c.bodyLeft = bodyPhase, r.ContentLength
	case r.ContentLength < 0:
		c.phase = passthroughPhase
	default:
		c.startAllowed()
	}
	handedRun := c.handedRun
	c.handedRun = nil
	return handedRun
}

// served notes that the request has its answer.
func (c *connection) served() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = false
	if c.phase == answeringPhase {
		c.phase = headPhase
	}
}

// startAllowed starts the requests that were sent ahead, as many as are allowed at once; the caller holds the lock.
func (c *connection) startAllowed() {
	for c.serving && !c.closing && c.phase == answeringPhase && c.queue.len() < c.options.MaxAhead {
		ahead := c.readAhead[c.queue.coveredBytes:]
		var b boundary
		n, whole := b.end(ahead)
		if !whole {
			return
		}
		request, ok := parseHead(ahead[:n])
		if !ok || !c.options.MayStartAhead(request) {
			return
		}
		c.closing = request.Close
		c.queue.add(c.startRun(request, n))
	}
}

// mayClose tells whether the answer to a request may end the connection. Where requests behind it were begun it may not:
// they have been passed on, and would go without an answer. Otherwise nothing behind it is begun any more.
func (c *connection) mayClose(answered *run) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.queue.countBehind(answered) > 0 {
		return false
	}
	c.closing = true
	return true
}
