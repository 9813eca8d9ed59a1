// The other end of call.go: read the head, hand the call to the handler, send the answer. A handler may answer
// before it has read the body, a refusal above all; the peer is then told to stop sending.
//
// Example: a small answer (head, body, end mark, tail) leaves as one write.

package transporter

import (
	"bytes"
	"encoding/binary"
	"io"
	"sync"

	"github.com/quic-go/quic-go"
)

func (l *link) serve(s *quic.Stream) {
	r := getReader(s)
	body := &requestBody{body: bodyReader{r: r}}
	var head CallHead
	err := readFrame(r, "call head", l.t.options.MaxHead, func(b []byte) (err error) {
		head, err = decodeCall(b)
		return err
	})
	if err != nil || l.t.isCut(l.node()) {
		s.CancelWrite(streamNotTaken)
		s.CancelRead(streamNotTaken)
		return
	}
	w := &answerWriter{stream: s, maxHead: l.t.options.MaxHead, buffer: getBuffer()}
	l.t.handler.ServeCall(s.Context(), l.node(), head, body, w)
	w.finish()
	if body.whole() {
		endReading(s)
	} else {
		s.CancelRead(streamEnough)
	}
	body.detach()
	putReader(r)
}

// requestBody guards the pooled reader: a handler that leaves a goroutine behind which still reads the body
// must get an error, not bytes of the next call.
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

// whole tells whether all was read; a body whose end mark has arrived but was not asked for counts too.
func (r *requestBody) whole() bool {
	if !r.mu.TryLock() {
		return false
	}
	defer r.mu.Unlock()
	b := &r.body
	if b.err == nil && b.left == 0 && b.r.Buffered() >= lengthSize {
		b.next()
	}
	return b.whole()
}

func (r *requestBody) detach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.body = bodyReader{err: errClosed}
}

type answerWriter struct {
	stream  *quic.Stream
	maxHead int
	buffer  *bytes.Buffer
	headed  bool
	closed  bool
}

// WriteHead begins the answer.
func (w *answerWriter) WriteHead(h AnswerHead) error {
	if w.headed {
		return errSequence
	}
	wire := answerToWire(&h)
	if err := appendFrame(w.buffer, "answer head", wire, w.maxHead); err != nil {
		w.buffer.Reset()
		return err
	}
	w.headed = true
	return nil
}

// Write adds to the answer's body.
func (w *answerWriter) Write(p []byte) (int, error) {
	if !w.headed || w.closed {
		return 0, errSequence
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

// Close sends the end mark and the tail.
func (w *answerWriter) Close(t AnswerTail) error {
	if !w.headed || w.closed {
		return errSequence
	}
	w.closed = true
	appendChunk(w.buffer, nil)
	if err := appendFrame(w.buffer, "answer tail", tailToWire(t), w.maxHead); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return w.stream.Close()
}

// finish resets an answer that its handler did not close: the caller gets an error, never half an answer.
func (w *answerWriter) finish() {
	if !w.closed {
		w.stream.CancelWrite(streamAborted)
	}
	putBuffer(w.buffer)
	w.buffer = nil
}

var _ io.Writer = (*answerWriter)(nil)

func lengthBytes(n int) []byte {
	var b [lengthSize]byte
	binary.BigEndian.PutUint32(b[:], uint32(n))
	return b[:]
}
