// The receiving side of call.go: it reads the head, passes the call to the handler and sends the answer. A handler may
// answer before it has read the body, which is usual for a refusal; the peer's upload is then stopped.
//
// Example: a small answer (head, body, end mark, tail) is sent in one write.

package transporter

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"sync"

	"github.com/quic-go/quic-go"
)

// serveStream serves the calls of one stream one after the other, until an exchange on it is incomplete.
func (l *link) serveStream(s *quic.Stream) {
	for l.awaitCall(s) {
		l.serving.Add(1)
		reusable := l.serveCall(s)
		l.touch()
		l.serving.Add(-1)
		if !reusable {
			return
		}
	}
}

// awaitCall waits for the next call without allocating a buffer for it.
func (l *link) awaitCall(s *quic.Stream) bool {
	var first [1]byte
	if _, err := s.Peek(first[:]); err != nil {
		_ = s.Close()
		s.CancelRead(streamRestUnwanted)
		return false
	}
	return true
}

// serveCall serves one call and reports whether the stream can carry another.
func (l *link) serveCall(s *quic.Stream) bool {
	r := getReader(s)
	defer putReader(r)
	body := &requestBody{body: bodyReader{r: r}}
	defer body.detach()
	var head CallHead
	err := readFrame(r, "call head", l.t.options.MaxHead, func(b []byte) (err error) {
		head, err = decodeCall(b)
		return err
	})
	if err != nil || l.t.isPartitioned(l.node()) {
		s.CancelWrite(streamNotHandled)
		s.CancelRead(streamNotHandled)
		return false
	}
	ctx, cancel := context.WithCancel(s.Context())
	defer cancel()
	w := &answerWriter{stream: s, body: body, maxHead: l.t.options.MaxHead, buffer: getBuffer()}
	l.t.handler.ServeCall(ctx, l.node(), head, body, w)
	return w.finish()
}

// requestBody protects the pooled reader: a goroutine that a handler leaves behind and that still reads the body must
// get an error, not bytes of the next call.
type requestBody struct {
	mu   sync.Mutex
	body bodyReader
}

// Read reads from the call's body.
func (r *requestBody) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.body.Read(p)
}

// fullyRead reports whether the complete body has been read. Bytes that have arrived but that the handler did not read,
// such as the small body of a refused call, are discarded, so that the stream can carry the next call.
func (r *requestBody) fullyRead() bool {
	if !r.mu.TryLock() {
		return false
	}
	defer r.mu.Unlock()
	b := &r.body
	for b.err == nil && b.r.Buffered() > 0 {
		n, _ := b.r.Discard(min(b.left, b.r.Buffered()))
		b.left -= n
		if b.left == 0 && (b.r.Buffered() < lengthSize || !b.next()) {
			break
		}
	}
	return b.complete() && b.r.Buffered() == 0
}

func (r *requestBody) detach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.body = bodyReader{err: errClosed}
}

type answerWriter struct {
	stream      *quic.Stream
	body        *requestBody
	maxHead     int
	buffer      *bytes.Buffer
	headWritten bool
	closed      bool
	// reusable means that the answer is complete and that the stream can carry another call.
	reusable bool
}

// WriteHead begins the answer.
func (w *answerWriter) WriteHead(h AnswerHead) error {
	if w.headWritten {
		return errWriteOrder
	}
	wire := answerToWire(&h)
	if err := appendFrame(w.buffer, "answer head", wire, w.maxHead); err != nil {
		w.buffer.Reset()
		return err
	}
	w.headWritten = true
	return nil
}

// Write adds to the answer's body.
func (w *answerWriter) Write(p []byte) (int, error) {
	if !w.headWritten || w.closed {
		return 0, errWriteOrder
	}
	written := 0
	for len(p) > 0 {
		n := min(len(p), maxChunk)
		appendChunk(w.buffer, p[:n])
		p = p[n:]
		if w.buffer.Len() > maxCoalesced {
			if err := w.Flush(); err != nil {
				return written, err
			}
		}
		written += n
	}
	return written, nil
}

// Flush sends what is buffered.
func (w *answerWriter) Flush() error {
	if w.buffer.Len() == 0 {
		return nil
	}
	_, err := w.stream.Write(w.buffer.Bytes())
	w.buffer.Reset()
	return err
}

// ReadFrom copies r into the answer's body through a pooled buffer.
func (w *answerWriter) ReadFrom(r io.Reader) (int64, error) {
	chunk := chunkPool.Get().(*[lengthSize + maxChunk]byte)
	defer chunkPool.Put(chunk)
	return io.CopyBuffer(struct{ io.Writer }{w}, struct{ io.Reader }{r}, chunk[:maxChunk])
}

// Close sends the end mark and the tail.
func (w *answerWriter) Close(t AnswerTail) error {
	if !w.headWritten || w.closed {
		return errWriteOrder
	}
	w.closed = true
	reusable := w.body.fullyRead()
	appendChunk(w.buffer, nil)
	if err := appendFrame(w.buffer, "answer tail", tailToWire(t, reusable), w.maxHead); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	w.reusable = reusable
	if !reusable {
		return w.stream.Close()
	}
	return nil
}

// finish ends the exchange and reports whether the stream can carry another. If the handler did not close the answer,
// the stream is reset: the caller gets an error, never a truncated answer.
func (w *answerWriter) finish() bool {
	if !w.closed {
		w.stream.CancelWrite(streamAborted)
	}
	if !w.reusable {
		w.stream.CancelRead(streamRestUnwanted)
	}
	putBuffer(w.buffer)
	w.buffer = nil
	return w.reusable
}

func lengthBytes(n int) []byte {
	var b [lengthSize]byte
	binary.BigEndian.PutUint32(b[:], uint32(n))
	return b[:]
}
