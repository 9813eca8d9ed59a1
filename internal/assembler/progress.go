// A request or an answer has no total time limit as long as it makes progress: an upload of several minutes is served, but
// one that stalls on an open connection times out. Without this limit, some hundreds of stalled clients would use up all
// concurrent calls, and all others would be refused with tooManyInFlight although no call makes progress.
//
// Example: with bodyIdleTimeout = "30s" each read of a body and each write of an answer may take 30 s.

package assembler

import (
	"io"
	"net/http"
	"time"
)

// boundProgress renews the connection's deadlines whenever a body makes progress.
func boundProgress(h http.Handler, idle time.Duration) http.Handler {
	if idle <= 0 {
		return h
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p := &progressWriter{ResponseWriter: w, controller: http.NewResponseController(w), idle: idle}
		// The server may still write after the handler has returned, and needs a new deadline for that.
		defer p.renew()
		if r.Body != nil && r.Body != http.NoBody {
			r.Body = &progressBody{ReadCloser: r.Body, controller: p.controller, idle: idle}
		}
		h.ServeHTTP(p, r)
	})
}

type progressWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	idle       time.Duration
}

// Unwrap gives http.ResponseController access to the methods of the server's writer.
func (w *progressWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *progressWriter) Write(b []byte) (int, error) {
	w.renew()
	return w.ResponseWriter.Write(b)
}

func (w *progressWriter) FlushError() error {
	w.renew()
	return w.controller.Flush()
}

// Writes to a writer that does not support deadlines, as in some tests, have no time limit.
func (w *progressWriter) renew() {
	_ = w.controller.SetWriteDeadline(time.Now().Add(w.idle))
}

type progressBody struct {
	io.ReadCloser
	controller *http.ResponseController
	idle       time.Duration
}

// The server clears the read deadline at the end of the body, so a long-running handler does not hit the deadline.
func (b *progressBody) Read(p []byte) (int, error) {
	_ = b.controller.SetReadDeadline(time.Now().Add(b.idle))
	return b.ReadCloser.Read(p)
}
