package pipeliner

// net/http parses a head while it arrives, and holds what it has parsed: 60 KiB of tiny fields become a megabyte before a bound on
// heads applies. Therefore the server is given a head only when it is complete, within its bound, and when there is memory for it
// parsed. The server has to learn earlier that a request has begun, since it waits for a new one longer than for the rest of
// one; it gets the first bytes at once.
//
// Example: 60 KiB without an empty line: the server has 4 bytes of them; 431 when the bound is reached.

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/jackdawtide/jackdawtide/internal/reserver"
)

const (
	// startBytes is how much of a head the server is given before it is complete: what it looks at before it waits for a request.
	startBytes = 4
	// usualHead is a length below which no limit on heads lies, so that none is asked for.
	usualHead = 4 << 10
	// maxEmptyBytes is how many bytes of empty lines may stand in front of a request; callers should send none, and servers accept one
	// line behind a body.
	maxEmptyBytes = 128
	// fieldCost is what a field of a head takes beside its bytes: entries in the parsed header and in the copy that is forwarded.
	fieldCost = 256
	// headCopies is how often the bytes of a head are held: as received, and parsed.
	headCopies = 2
	// maxRefusedInput and refusalTime bound how much of a refused caller's input is read, and how long, so that the connection's end
	// does not overtake the refusal.
	maxRefusedInput = 64 << 10
	refusalTime     = 500 * time.Millisecond
	refusalBuffer   = 4 << 10
	// memoryRetryAfter is when a caller may come back that was refused for want of memory, in seconds; a head is held for milliseconds.
	memoryRetryAfter = "0.500"
)

// RefusalReason is why a connection was refused.
type RefusalReason string

// The reasons of refusals.
const (
	// LongHead is a head that is longer than Options.MaxHead.
	LongHead RefusalReason = "longHead"
	// EmptyLines are more empty lines in front of a request than are passed over.
	EmptyLines RefusalReason = "emptyLines"
	// NoMemory is a request for which there is no memory.
	NoMemory RefusalReason = "noMemory"
	// UnreadInput is input that can't be read before earlier requests are answered, and for which there is no memory.
	UnreadInput RefusalReason = "unreadInput"
	// TooManyConnections is a connection without a request that had to make room for another one.
	TooManyConnections RefusalReason = "tooManyConnections"
)

// status returns the status with which a connection is refused.
func (r RefusalReason) status() int {
	switch r {
	case LongHead:
		return http.StatusRequestHeaderFieldsTooLarge
	case EmptyLines:
		return http.StatusBadRequest
	default:
		return http.StatusServiceUnavailable
	}
}

// RefusedError reports that a connection was refused.
type RefusedError struct{ Reason RefusalReason }

// Error names the reason.
func (e RefusedError) Error() string { return "connection refused: " + string(e.Reason) }

// head is what is known of the head that is read next.
type head struct {
	boundary boundary
	// given is how many of its bytes the server has, found how many more are at the start of readAhead.
	given, found int
	complete     bool
	// emptyBytes is how many bytes of empty lines were in front of it.
	emptyBytes int
}

// cost returns how much memory a head takes once it is parsed.
func cost(text []byte) int64 {
	return int64(headCopies*len(text)) + fieldCost*int64(bytes.Count(text, []byte{'\n'}))
}

// skipEmptyLines drops empty lines in front of the next head; the caller holds the lock.
func (c *connection) skipEmptyLines() {
	if c.head.given > 0 || c.queue.len() > 0 {
		return
	}
	n := len(c.readAhead) - len(bytes.TrimLeft(c.readAhead, "\r\n"))
	if n > 0 {
		c.head.emptyBytes += n
		c.drop(n)
	}
}

// findHead looks for the end of the next head in what has been read, and returns the reason to refuse it, if any; the caller holds
// the lock.
func (c *connection) findHead() (RefusalReason, bool) {
	c.skipEmptyLines()
	h := &c.head
	if h.emptyBytes > maxEmptyBytes {
		return EmptyLines, true
	}
	if !h.complete {
		n, ended := h.boundary.end(c.readAhead[h.found:])
		h.found += n
		h.complete = ended
	}
	if c.pipeliner.isTooLong(h.given + h.found) {
		return LongHead, true
	}
	if h.complete && c.heldHead == 0 {
		c.heldHead = cost(c.readAhead[:h.found])
	}
	if c.reserve() != nil {
		return NoMemory, true
	}
	return "", false
}

// isTooLong returns whether a head of a length is refused.
func (p *Pipeliner) isTooLong(length int) bool {
	if length <= usualHead || p.options.HeadLimit == nil {
		return length > p.options.MaxHead
	}
	limit := p.options.HeadLimit()
	return length > p.options.MaxHead || limit > 0 && length > limit
}

// giveHead copies into p what the server may have of the next head, and returns its length; the caller holds the lock.
func (c *connection) giveHead(p []byte) int {
	h := &c.head
	n := min(len(p), h.found)
	if !h.complete {
		n = min(n, startBytes-h.given)
	}
	if n <= 0 {
		return 0
	}
	copy(p, c.readAhead[:n])
	c.drop(n)
	h.given += n
	h.found -= n
	c.requestBegun = true
	handed := c.queue.consume(n)
	if h.complete && h.found == 0 {
		c.handedRun = handed
		c.phase = answeringPhase
		c.answering = true
		c.head = head{}
	}
	return n
}

// drop forgets the first n bytes of what has been read ahead; the caller holds the lock.
func (c *connection) drop(n int) {
	c.readAhead = append(c.readAhead[:0], c.readAhead[n:]...)
	if cap(c.readAhead) > readChunkBytes && len(c.readAhead) < cap(c.readAhead)/4 {
		c.readAhead = bytes.Clone(c.readAhead)
	}
}

// refuse answers a caller whose next request is not read, and returns the error that ends the connection. Everything before it has
// been answered: the server reads the next head only then. The caller holds the lock.
func (c *connection) refuse(reason RefusalReason) error {
	c.closing, c.refused = true, true
	c.readAhead, c.heldHead = nil, 0
	if err := c.reserve(); err != nil {
		return err
	}
	c.pipeliner.report(reason, c.Conn)
	status := reason.status()
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = "Retry-After: " + memoryRetryAfter + "\r\n"
	}
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status), retry)
	ended := &net.OpError{Op: "read", Net: "tcp", Err: RefusedError{Reason: reason}}
	c.mu.Unlock()
	defer c.mu.Lock()
	if err := c.Conn.SetDeadline(time.Now().Add(refusalTime)); err != nil {
		return ended
	}
	if _, err := io.WriteString(c.Conn, text); err != nil {
		return ended
	}
	if err := c.CloseWrite(); err != nil && !errors.Is(err, errors.ErrUnsupported) {
		return ended
	}
	// The caller may have left, or go on beyond the bound: the connection ends in either case.
	_, _ = io.CopyBuffer(struct{ io.Writer }{io.Discard}, io.LimitReader(c.Conn, maxRefusedInput), make([]byte, refusalBuffer))
	return ended
}

// report tells of a refused connection.
func (p *Pipeliner) report(reason RefusalReason, n net.Conn) {
	if p.options.Refused != nil {
		p.options.Refused(reason, n.RemoteAddr())
	}
}

// reserve makes the pool hold what the connection holds; the caller holds the lock.
func (c *connection) reserve() error {
	if c.closed {
		return c.account.Resize(0)
	}
	return c.account.Resize(int64(cap(c.readAhead)) + c.heldHead + c.heldBody + c.queue.heldBytes + c.unread)
}

// holdBody reserves memory for n more bytes of a body that the handler keeps whole; the caller holds the lock.
func (c *connection) holdBody(n int) error {
	if !c.pipeliner.options.KeepsBodies {
		return nil
	}
	// A buffer that grows is copied into one of twice its size.
	const copies = 3
	c.heldBody += copies * int64(n)
	err := c.reserve()
	var exhausted reserver.ExhaustedError
	if errors.As(err, &exhausted) {
		c.refused = true
		c.pipeliner.report(NoMemory, c.Conn)
	}
	return err
}
