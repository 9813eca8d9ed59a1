// A local call has the same guarantee as a remote one: an answer that was not closed with a tail ends in
// io.ErrUnexpectedEOF. Otherwise the answer of a backend server that crashes in the middle of it would look like a
// complete, short answer.
//
// Example: ServeCall writes a head and 10 bytes and returns without Close; the reader gets 10 bytes and then
// io.ErrUnexpectedEOF.

package forwarder

import (
	"context"
	"io"
	"sync"

	"github.com/jackdawtide/jackdawtide/internal/transporter"
)

type localAnswer struct {
	head   transporter.AnswerHead
	body   *io.PipeReader
	writer *localWriter
	cancel context.CancelFunc
}

func (a *localAnswer) Head() transporter.AnswerHead { return a.head }

func (a *localAnswer) Read(b []byte) (int, error) { return a.body.Read(b) }

// Close cancels the delivery if it is still running.
func (a *localAnswer) Close() error {
	a.cancel()
	return a.body.Close()
}

func (a *localAnswer) Tail() (transporter.AnswerTail, bool) { return a.writer.tailIfClosed() }

type localWriter struct {
	pipe *io.PipeWriter
	head chan transporter.AnswerHead

	mu     sync.Mutex
	closed bool
	tail   transporter.AnswerTail
}

func (w *localWriter) WriteHead(h transporter.AnswerHead) error {
	w.head <- h
	return nil
}

func (w *localWriter) Write(b []byte) (int, error) { return w.pipe.Write(b) }

func (w *localWriter) Flush() error { return nil }

func (w *localWriter) Close(t transporter.AnswerTail) error {
	w.mu.Lock()
	w.closed = true
	w.tail = t
	w.mu.Unlock()
	return w.pipe.Close()
}

func (w *localWriter) tailIfClosed() (transporter.AnswerTail, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tail, w.closed
}

func (w *localWriter) abortUnlessClosed() {
	// CloseWithError has no effect after Close.
	_ = w.pipe.CloseWithError(io.ErrUnexpectedEOF)
	close(w.head)
}

func (f *Forwarder) callLocal(parent context.Context, head transporter.CallHead, body io.Reader) (Answer, transporter.Phase, error) {
	ctx, cancel := context.WithCancel(parent)
	r, w := io.Pipe()
	lw := &localWriter{pipe: w, head: make(chan transporter.AnswerHead, 1)}
	go func() {
		defer lw.abortUnlessClosed()
		f.local.ServeCall(ctx, f.self, head, body, lw)
	}()
	h, ok := <-lw.head
	if !ok {
		cancel()
		return nil, transporter.Sent, io.ErrUnexpectedEOF
	}
	return &localAnswer{head: h, body: r, writer: lw, cancel: cancel}, transporter.Answered, nil
}
