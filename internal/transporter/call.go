// A call has a stream to itself while it runs, so a late answer cannot reach another call. A call that is abandoned
// resets its stream, which also ends the handler's context at the other node.
//
// Example: Call returns as soon as the answer's head has arrived; the caller reads Answer.Body up to io.EOF, after
// which Answer.Tail returns the tail.

package transporter

import (
	"bufio"
	"context"
	"errors"
	"io"
	"sync/atomic"

	"github.com/quic-go/quic-go"
)

// Answer is the answer to one call, whose body is still arriving.
type Answer struct {
	Head AnswerHead
	// Body returns io.EOF only after the complete body and its tail; it must be read to its end or closed.
	Body io.ReadCloser
	call *call
}

// Tail returns the answer's tail, and true once Body has returned io.EOF.
func (a *Answer) Tail() (AnswerTail, bool) {
	return a.call.tail, a.call.complete.Load()
}

type call struct {
	link   *link
	to     Peer
	ctx    context.Context
	stream *quic.Stream
	reader *bufio.Reader
	body   bodyReader
	// stopAbort prevents the end of ctx from aborting the call; it returns false if that abort has already begun.
	stopAbort func() bool
	// uploading is true if a separate goroutine sends the request's body.
	uploading bool
	// uploaded is true when the complete request has been sent.
	uploaded atomic.Bool
	// uploadErr is the error with which reading the request's body failed.
	uploadErr atomic.Pointer[error]
	tail      AnswerTail
	complete  atomic.Bool
	ended     atomic.Bool
}

// Call sends one call and returns when the head of its answer has arrived. The request's body, if any, is read until
// it ends, fails or the peer stops accepting it, even after the answer's head has arrived.
func (t *Transporter) Call(ctx context.Context, to Peer, head CallHead, body io.Reader) (*Answer, Phase, error) {
	c := &call{to: to, ctx: ctx}
	phase, err := c.send(t, &head, body)
	if err != nil {
		return nil, phase, CallError{Peer: to, Phase: phase, Err: err}
	}
	a, phase, err := c.readHead()
	if err != nil {
		return nil, phase, CallError{Peer: to, Phase: phase, Err: err}
	}
	return a, Answered, nil
}

func (c *call) send(t *Transporter, head *CallHead, body io.Reader) (Phase, error) {
	b := getBuffer()
	defer putBuffer(b)
	if err := appendFrame(b, "call head", callToWire(head), t.options.MaxHead); err != nil {
		return NotSent, err
	}
	bodyIncluded, err := appendSmallBody(b, head, body)
	if err != nil {
		return NotSent, err
	}
	if err := c.open(t, b.Bytes()); err != nil {
		return NotSent, err
	}
	c.stopAbort = context.AfterFunc(c.ctx, c.abort)
	if bodyIncluded {
		c.uploaded.Store(true)
		return Sent, nil
	}
	c.uploading = true
	go c.upload(body)
	return Sent, nil
}

// appendSmallBody adds a body of known small size and the end mark to the head, and reports whether it did.
func appendSmallBody(b interface {
	io.Writer
	io.ReaderFrom
}, head *CallHead, body io.Reader,
) (bool, error) {
	if body == nil || head.ContentLength == 0 {
		_, err := b.Write(make([]byte, lengthSize))
		return true, err
	}
	if head.ContentLength < 0 || head.ContentLength > maxCoalesced {
		return false, nil
	}
	if _, err := b.Write(lengthBytes(int(head.ContentLength))); err != nil {
		return false, err
	}
	n, err := b.ReadFrom(io.LimitReader(body, head.ContentLength))
	if err == nil && n < head.ContentLength {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return false, err
	}
	_, err = b.Write(make([]byte, lengthSize))
	return true, err
}

// open sends the first bytes of the call on a stream. If the link has broken since its last use, no byte is written,
// which proves that the call was not sent; open then tries another link once.
func (c *call) open(t *Transporter, first []byte) error {
	for attempt := 0; ; attempt++ {
		l, err := t.acquire(c.ctx, c.to)
		if err != nil {
			return err
		}
		c.link = l
		c.stream, err = l.acquireStream(c.ctx)
		n := 0
		if err == nil {
			n, err = c.stream.Write(first)
		}
		if err == nil || n > 0 {
			return nil
		}
		l.endCall()
		if attempt > 0 || c.ctx.Err() != nil {
			return err
		}
		t.detachLink(l)
	}
}

// upload sends a large body or one of unknown size.
func (c *call) upload(body io.Reader) {
	chunk := chunkPool.Get().(*[lengthSize + maxChunk]byte)
	defer chunkPool.Put(chunk)
	for {
		n, err := body.Read(chunk[lengthSize:])
		if n > 0 && !c.sendChunk(chunk, n) {
			return
		}
		if errors.Is(err, io.EOF) {
			c.uploaded.Store(c.sendChunk(chunk, 0))
			return
		}
		if err != nil {
			c.uploadErr.Store(&err)
			c.abort()
			return
		}
	}
}

// sendChunk reports whether the peer still accepts the body.
func (c *call) sendChunk(chunk *[lengthSize + maxChunk]byte, n int) bool {
	copy(chunk[:], lengthBytes(n))
	_, err := c.stream.Write(chunk[:lengthSize+n])
	return err == nil
}

func (c *call) readHead() (*Answer, Phase, error) {
	c.reader = getReader(c.stream)
	c.body = bodyReader{r: c.reader}
	a := &Answer{Body: c, call: c}
	limit := c.link.t.options.MaxHead
	err := readFrame(c.reader, "answer head", limit, func(b []byte) (err error) {
		a.Head, err = decodeAnswer(b)
		return err
	})
	if err != nil {
		phase, err := c.fail(err)
		return nil, phase, err
	}
	return a, Answered, nil
}

// Read reads from the answer's body.
func (c *call) Read(p []byte) (int, error) {
	if c.complete.Load() {
		return 0, io.EOF
	}
	if c.ended.Load() {
		return 0, CallError{Peer: c.to, Phase: Answered, Err: errClosed}
	}
	n, err := c.body.Read(p)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		err = c.readTail()
	}
	if err != nil {
		_, err = c.fail(err)
		return n, CallError{Peer: c.to, Phase: Answered, Err: err}
	}
	return n, io.EOF
}

func (c *call) readTail() error {
	limit := c.link.t.options.MaxHead
	reusable := false
	err := readFrame(c.reader, "answer tail", limit, func(b []byte) (err error) {
		c.tail, reusable, err = decodeTail(b)
		return err
	})
	if err != nil {
		return err
	}
	reusable = reusable && c.uploaded.Load() && c.reader.Buffered() == 0
	c.complete.Store(true)
	putReader(c.reader)
	c.finish(reusable)
	return nil
}

// Close abandons the rest of the answer.
func (c *call) Close() error {
	if !c.complete.Load() {
		c.finish(false)
	}
	return nil
}

// fail ends the exchange after an error and returns the phase that the call had reached.
func (c *call) fail(err error) (Phase, error) {
	if cause := c.uploadErr.Load(); cause != nil {
		err = *cause
	}
	c.finish(false)
	if c.ctx.Err() != nil {
		return Sent, c.ctx.Err()
	}
	if reportedNotHandled(err) {
		return NotSent, err
	}
	return Sent, err
}

// abort resets the stream in both directions: the handler's context ends, and nothing more is sent or read.
func (c *call) abort() {
	c.stream.CancelRead(streamCancelled)
	c.stream.CancelWrite(streamCancelled)
}

// finish counts the call as ended, once. It releases the stream for reuse, or resets it, which also stops an upload
// whose rest is not needed. A reset caused by the end of ctx must not hit the stream's next call, so a stream is reused
// only if stopAbort prevented that reset.
func (c *call) finish(reusable bool) {
	if c.ended.Swap(true) {
		return
	}
	if c.stopAbort() && reusable {
		c.link.releaseStream(c.stream)
	} else {
		c.abort()
	}
	c.link.endCall()
}

// reportedNotHandled reports whether the peer stated that the call did not reach a handler.
func reportedNotHandled(err error) bool {
	var s *quic.StreamError
	if errors.As(err, &s) {
		return s.Remote && s.ErrorCode == streamNotHandled
	}
	var a *quic.ApplicationError
	return errors.As(err, &a) && a.Remote && a.ErrorCode == codeNotHandled
}
