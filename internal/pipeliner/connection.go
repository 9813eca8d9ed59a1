package pipeliner

// While it answers, net/http's server detects that the caller has closed the connection by a background read of one byte.
// If the caller has already sent its next request, that byte belongs to the request and the detection ends: the caller
// may then close the connection unnoticed, and endpoints continue work that nobody waits for. Therefore the connection
// handles this read itself: it reads ahead, up to a bound, and returns only when the connection ends or the server aborts
// the read.
//
// Example: a caller pipelines two idempotent requests and closes the connection 150 ms later: the background read sees
// the end, the server cancels the first request, and the second is never started or is cancelled as well.

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackdawtide/jackdawtide/internal/reserver"
)

const (
	// maxReadAheadBytes bounds the bytes held for a pipelining caller: some 200 requests. Beyond it the system's
	// buffers fill up, and a closed connection is only detected when the next request's turn comes.
	maxReadAheadBytes = 64 << 10
	// readChunkBytes is the size of each connection's read buffer; it holds one or two requests.
	readChunkBytes = 512
	// endCheckPeriod is how often a connection from which nothing may be read is checked for its end.
	endCheckPeriod = 100 * time.Millisecond
)

// phase is what the server reads next.
type phase uint8

const (
	// headPhase: the next request's head.
	headPhase phase = iota
	// bodyPhase: the rest of a body of known length.
	bodyPhase
	// answeringPhase: nothing; a read is the server's background read, which detects a closed connection.
	answeringPhase
	// chunksPhase: the rest of a chunked body.
	chunksPhase
	// passthroughPhase: anything, since a malformed chunked body has no known end; the connection ends with its answer.
	passthroughPhase
)

// connection gives its server one request at a time and reads ahead what the caller sends meanwhile.
type connection struct {
	net.Conn
	pipeliner *Pipeliner
	openedAt  time.Time
	// cancelAhead cancels the context of the requests that were started ahead.
	cancelAhead context.CancelFunc
	context     context.Context

	mu        sync.Mutex
	phase     phase
	head      head
	readAhead []byte
	// account is what the connection holds of the pool: readAhead, the head of the request that is served, once parsed, what
	// its handler keeps of its body, what is held for requests that were started ahead, and input that the system holds because
	// it may not be read.
	account                    reserver.Account
	heldHead, heldBody, unread int64
	closed                     bool
	// established is whether something has been read, so that the handshake of an encrypted connection has ended.
	established bool
	// refused is whether nothing more is read, since the caller has been refused.
	refused bool
	// full is whether there was no memory to read further behind the current request.
	full bool
	// readBuffer is the buffer of backgroundRead.
	readBuffer []byte
	// bodyLeft is how many bytes of the body have not been given to the server.
	bodyLeft int64
	// chunks is what is known of a chunked body at the bytes that have been given to the server.
	chunks chunks
	// serving is whether a request is being answered; answering lasts from its head until its whole answer has been passed
	// to the network, which the server shows by asking for the next head.
	serving, answering bool
	// requestBegun is whether the server has been given bytes of a request that is not answered.
	requestBegun bool
	// stopped is whether no further request may be read.
	stopped bool
	// halfClosed is whether the server has closed the connection for writing, and has waited.
	halfClosed atomic.Bool
	// closing is whether an answer ends the connection: the current one or that of the last request started ahead. No
	// further request is started ahead then.
	closing bool
	// closeAnnounced is whether mayClose has let an answer end the connection; nothing is read behind that one.
	closeAnnounced bool
	// holdAhead is whether no further request may be started behind the current one, waitsForTurn whether the next one that has been
	// read can't be started ahead of its turn.
	holdAhead, waitsForTurn bool
	// readAborted is whether the server has aborted its background read, reading whether a read of the network is in
	// progress; stateCond signals changes of both.
	readAborted bool
	reading     bool
	stateCond   *sync.Cond
	queue       queue
	// handedRun is the run started ahead for the request whose head was given to the server last, nil if none was.
	handedRun *run
}

func newConnection(inner net.Conn, p *Pipeliner) *connection {
	ctx, cancel := context.WithCancel(p.options.Context)
	c := &connection{
		Conn: inner, pipeliner: p, openedAt: time.Now(), context: ctx, cancelAhead: cancel, account: p.options.Memory.Account(),
	}
	c.stateCond = sync.NewCond(&c.mu)
	return c
}

// SetReadDeadline sets the deadline for reads; the server aborts its background read by a time in the past.
func (c *connection) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.readAborted = !t.IsZero() && t.Before(time.Now())
	c.stateCond.Broadcast()
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// Close closes the connection and cancels the requests that were started ahead.
func (c *connection) Close() error {
	defer c.pipeliner.remove(c)
	c.cancelAhead()
	c.mu.Lock()
	c.readAborted = true
	c.stateCond.Broadcast()
	endsWithAnswer := c.closing || c.stopped
	c.closed = true
	// Giving back needs no room.
	_ = c.reserve()
	c.mu.Unlock()
	if endsWithAnswer {
		c.awaitDelivery()
	}
	return c.Conn.Close()
}

// Read is called by the server: for the next head, for a body, or as its background read.
func (c *connection) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.serving && c.phase == headPhase {
		c.answering, c.full = false, false
	}
	for {
		if c.refused {
			return 0, io.EOF
		}
		if c.phase == answeringPhase {
			return c.backgroundRead()
		}
		if c.phase == headPhase {
			if reason, refused := c.findHead(); refused {
				return 0, c.refuse(reason)
			}
			if n := c.giveHead(p); n > 0 {
				return n, nil
			}
		} else if len(c.readAhead) > 0 {
			n := c.handOut(p)
			return n, c.holdBody(n)
		}
		if c.stopped && c.idle() {
			return 0, io.EOF
		}
		// A read of one byte is the server's background read for a request in its buffer, which an end would cancel.
		if c.phase == passthroughPhase && !c.serving && len(p) > 1 {
			return 0, io.EOF
		}
		reads := c.phase
		n, err := c.readInner(c.limited(p))
		if n > 0 && reads == headPhase {
			c.readAhead = append(c.readAhead, p[:n]...)
			continue
		}
		if n > 0 {
			taken := c.take(p[:n])
			c.readAhead = append(c.readAhead, p[taken:n]...)
			return taken, c.holdBody(taken)
		}
		if err != nil && !(isTimeout(err) && c.stopped && c.idle()) {
			return 0, err
		}
	}
}

// limited returns the part of p that a read of the network may fill: a body is not read beyond its end, so that nothing of the
// next request is read while this one is answered. The caller holds the lock.
func (c *connection) limited(p []byte) []byte {
	switch c.phase {
	case bodyPhase:
		return p[:min(int64(len(p)), c.bodyLeft)]
	case chunksPhase:
		return p[:min(len(p), c.chunks.least())]
	default:
		return p
	}
}

// handOut copies into p what belongs to the current request's body; the caller holds the lock.
func (c *connection) handOut(p []byte) int {
	n := c.take(c.readAhead[:min(len(p), len(c.readAhead))])
	copy(p, c.readAhead[:n])
	c.drop(n)
	return n
}

// take returns how many of the bytes belong to the current request's body, and counts them as given to the server; the caller holds
// the lock.
func (c *connection) take(data []byte) int {
	n := len(data)
	ended := false
	switch c.phase {
	case bodyPhase:
		n = int(min(int64(n), c.bodyLeft))
		c.bodyLeft -= int64(n)
		ended = c.bodyLeft == 0
	case chunksPhase:
		n, ended = c.chunks.end(data)
	}
	switch {
	case ended:
		c.phase = c.afterBody()
	case c.phase == chunksPhase && c.chunks.state == chunkMalformed:
		c.phase = passthroughPhase
	}
	return n
}

func (c *connection) afterBody() phase {
	if c.serving {
		return answeringPhase
	}
	return headPhase
}

// backgroundRead reads ahead until the connection ends or the server aborts the read; the caller holds the lock.
func (c *connection) backgroundRead() (int, error) {
	c.startAhead()
	if c.readBuffer == nil {
		c.readBuffer = make([]byte, readChunkBytes)
	}
	for c.mayReadAhead() {
		n, err := c.readInner(c.readBuffer)
		c.readAhead = append(c.readAhead, c.readBuffer[:n]...)
		if err != nil && !(isTimeout(err) && !c.mayReadAhead()) {
			if !isTimeout(err) {
				c.cancelAhead()
			}
			return 0, err
		}
		c.full = c.reserve() != nil
		c.startAhead()
	}
	defer func() { c.unread = 0 }()
	for !c.readAborted {
		if hasEnded(c.Conn) {
			c.cancelAhead()
			return 0, io.EOF
		}
		c.unread = unreadInput(c.Conn)
		if c.reserve() != nil {
			c.refused = true
			c.cancelAhead()
			c.pipeliner.report(UnreadInput, c.Conn)
			return 0, RefusedError{Reason: UnreadInput}
		}
		c.waitForChange(endCheckPeriod)
	}
	return 0, os.ErrDeadlineExceeded
}

// waitForChange waits until the connection's state changes, at most for the given time; the caller holds the lock.
func (c *connection) waitForChange(most time.Duration) {
	timer := time.AfterFunc(most, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.stateCond.Broadcast()
	})
	defer timer.Stop()
	c.stateCond.Wait()
}

// mayReadAhead returns whether the background read may read what comes behind the current request: not once an answer ends
// the connection, since that request would be read and never answered. The caller holds the lock.
func (c *connection) mayReadAhead() bool {
	return !c.closeAnnounced && !c.stopped && !c.full && len(c.readAhead) < maxReadAheadBytes && c.head.emptyBytes <= maxEmptyBytes
}

// idle returns whether no byte of an unanswered request has been read; the caller holds the lock.
func (c *connection) idle() bool {
	return c.phase == headPhase && !c.serving && !c.requestBegun && len(c.readAhead) == 0
}

// stopReading lets no further request be read: an idle connection ends, any other with the answer to the last request that was
// read from it.
func (c *connection) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	if c.reading && (c.phase == answeringPhase || c.idle()) {
		// An error means that the connection is closed, which ends the read as well.
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// yield closes the connection if it was opened before a time and no request is being served from it, and returns whether it has.
func (c *connection) yield(openedBefore time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serving || c.answering || c.phase != headPhase || c.refused || !c.openedAt.Before(openedBefore) {
		return false
	}
	c.refused = true
	// An error means that the caller has closed it.
	_ = c.Conn.Close()
	return true
}

// readInner reads from the network; the caller holds the lock, which is released meanwhile.
func (c *connection) readInner(p []byte) (int, error) {
	c.reading = true
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	if n > 0 && !c.established {
		c.established = true
		endHandshake(c.Conn)
	}
	c.reading = false
	c.stateCond.Broadcast()
	return n, err
}

// interruptRead ends a background read of the network and waits for its end; the caller holds the lock.
func (c *connection) interruptRead() {
	for c.reading && c.phase == answeringPhase {
		// An error means that the connection is closed, which ends the read as well. The server lifts the deadline when it
		// aborts its background read.
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		c.stateCond.Wait()
	}
}

func isTimeout(err error) bool {
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}

// serve records that the server starts to answer a request, and returns the run that was started ahead for it, if any.
func (c *connection) serve(r *http.Request) *run {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving, c.waitsForTurn = true, false
	c.closing = c.closing || r.Close
	switch {
	case c.phase == passthroughPhase:
	case r.ContentLength > 0:
		c.phase, c.bodyLeft = bodyPhase, r.ContentLength
	case r.ContentLength < 0:
		c.phase, c.chunks = chunksPhase, chunks{}
	default:
		c.startAhead()
	}
	handedRun := c.handedRun
	if handedRun != nil {
		c.heldHead += handedRun.cost
	}
	c.handedRun = nil
	c.holdAhead = handedRun != nil && handedRun.holdsAhead
	return handedRun
}

// served records that the request has been answered.
func (c *connection) served() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving, c.requestBegun, c.holdAhead = false, false, false
	c.heldHead, c.heldBody = 0, 0
	// Giving back needs no room.
	_ = c.reserve()
	if c.phase == answeringPhase {
		c.phase = headPhase
	}
}

// load returns whether a request is being answered, and whether bytes of a later one have been read.
func (c *connection) load() (answering, ahead bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answering, c.answering && c.hasReadFurther()
}

// hasReadFurther returns whether bytes behind the current request have been read; the caller holds the lock. Behind a
// malformed chunked body this is not known.
func (c *connection) hasReadFurther() bool {
	switch c.phase {
	case answeringPhase, headPhase:
		return len(c.readAhead) > 0
	case bodyPhase:
		return int64(len(c.readAhead)) > c.bodyLeft
	case chunksPhase:
		rest := c.chunks
		n, ended := rest.end(c.readAhead)
		return ended && n < len(c.readAhead)
	default:
		return false
	}
}

// mayClose returns whether the answer to a request may end the connection. It may not if it is not the request's turn, or if
// bytes of a later request have been read: that request would be read and get no answer. If it may, nothing further is read.
func (c *connection) mayClose(answered *run) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.queue.contains(answered) || c.hasReadFurther() {
		return false
	}
	c.closeAnnounced = true
	c.interruptRead()
	c.closeAnnounced = !c.hasReadFurther()
	c.closing = c.closing || c.closeAnnounced
	return c.closeAnnounced
}
