// A request or an answer may take as long as it makes progress: an upload of minutes is served, and a client that stops
// in the middle and keeps its connection open is not. Without this, some hundreds of such clients would hold every place
// for a body, and all others would be refused with tooManyInFlight while nothing is under way.
//
// Example: with bodyIdleTimeout = "30s" each read of a body, and each write of an answer, has 30 s of its own.

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
		// What the server itself writes after the handler has returned needs time as well.
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

// Unwrap lets http.ResponseController find the methods of the server's own writer.
func (w *progressWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *progressWriter) Write(b []byte) (int, error) {
	w.renew()
	return w.ResponseWriter.Write(b)
}

func (w *progressWriter) FlushError() error {
	w.renew()
	return w.controller.Flush()
}

// A writer without deadlines, as in some tests, is written to without a bound.
func (w *progressWriter) renew() {
	_ = w.controller.SetWriteDeadline(time.Now().Add(w.idle))
}

type progressBody struct {
	io.ReadCloser
	controller *http.ResponseController
	idle       time.Duration
}

// Once a body has ended the server clears the deadline itself, so that long work is not taken for a client that has gone.
func (b *progressBody) Read(p []byte) (int, error) {
	_ = b.controller.SetReadDeadline(time.Now().Add(b.idle))
	return b.ReadCloser.Read(p)
}
