// One call is one stream: nothing of another call can ever come out of it, however late an answer is. A call
// given up resets its stream, which also ends the handler's context at the other node.
//
// Example: Call returns as soon as the answer's head is there; the caller reads Answer.Body to io.EOF and then
// Answer.Tail holds what came after it.

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
	// Body gives io.EOF only after the whole body and its tail; it must be read to its end or closed.
	Body io.ReadCloser
	call *call
}

// Tail returns the answer's tail once Body has given io.EOF.
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
	// stopWatch ends the watch over ctx.
	stopWatch func() bool
	// uploading tells that the request's body is sent by a goroutine of its own.
	uploading bool
	// uploaded tells that the whole request has been sent.
	uploaded atomic.Bool
	// uploadErr is why the request's body could not be read.
	uploadErr atomic.Pointer[error]
	tail      AnswerTail
	complete  atomic.Bool
	ended     atomic.Bool
}

// Call sends one call and returns when the head of its answer is there. The body, if any, is read until it
// ends, fails or is not wanted any more, even when the answer came before that.
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
	c.stopWatch = context.AfterFunc(c.ctx, c.abort)
	if bodyIncluded {
		c.uploaded.Store(true)
		return Sent, nil
	}
	c.uploading = true
	go c.upload(body)
	return Sent, nil
}

// appendSmallBody adds a body of known small size, and the end mark, to the head, and tells whether it did.
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

// open sends the first bytes of the call on a stream. A link that died since it was last used takes none of
// them, which proves that the call was not sent; it is replaced once.
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

// sendChunk tells whether the peer wants more.
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

// Close gives the rest of the answer up.
func (c *call) Close() error {
	if !c.complete.Load() {
		c.finish(false)
	}
	return nil
}

// fail ends the exchange after an error and says how far the call had got.
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

// abort resets the stream both ways: the handler's context ends, and nothing is sent or read any more.
func (c *call) abort() {
	c.stream.CancelRead(streamCancelled)
	c.stream.CancelWrite(streamCancelled)
}

// sendFinished counts the call as ended, once. It keeps the stream, or resets it, which also stops an upload that nobody
// wants any more. A reset that the watch over ctx has begun must not hit the stream's next call, so a stream is
// kept only if the watch was stopped before that.
func (c *call) finish(reusable bool) {
	if c.ended.Swap(true) {
		return
	}
	if c.stopWatch() && reusable {
		c.link.releaseStream(c.stream)
	} else {
		c.abort()
	}
	c.link.endCall()
}

// reportedNotHandled tells that the peer said it never handed the call to a handler.
func reportedNotHandled(err error) bool {
	var s *quic.StreamError
	if errors.As(err, &s) {
		return s.Remote && s.ErrorCode == streamNotHandled
	}
	var a *quic.ApplicationError
	return errors.As(err, &a) && a.Remote && a.ErrorCode == codeNotHandled
}
