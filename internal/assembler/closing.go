// Once a listener's stop has begun, answers tell callers that their connection ends, so that they send their next request to
// another node. A connection may not simply be closed when it looks idle: the caller's next request may be under way.

package assembler

import (
	"net/http"

	"github.com/jackdawtide/jackdawtide/internal/pipeliner"
)

// announceClose lets answers end their connections while leaving returns true.
func announceClose(h http.Handler, leaving func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := &closingWriter{ResponseWriter: w, request: r, leaving: leaving}
		h.ServeHTTP(c, r)
		c.announce()
	})
}

type closingWriter struct {
	http.ResponseWriter
	request *http.Request
	leaving func() bool
	begun   bool
}

// Unwrap gives http.ResponseController access to the methods of the server's writer.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader sends the answer's header.
func (w *closingWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.announce()
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w *closingWriter) Write(b []byte) (int, error) {
	w.announce()
	return w.ResponseWriter.Write(b)
}

// FlushError sends what was written.
func (w *closingWriter) FlushError() error {
	w.announce()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

func (w *closingWriter) announce() {
	if !w.begun && w.leaving() && pipeliner.MayClose(w.request.Context()) {
		w.Header().Set("Connection", "close")
	}
	w.begun = true
}
