package pipeliner

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// closeWait is how long net/http's server keeps a connection that it has closed for writing.
const closeWait = 500 * time.Millisecond

// The server ends a connection with an answer and bytes of the request left unread: if it could not end the writing first, the
// caller would wait for the end of the connection, and the connection would be kept for twice the time.
func TestConnectionOfRefusedHeaderEndsAtOnceForCaller(t *testing.T) {
	s, p, _ := serveCounted(t, 0)
	c := s.call(t)
	// A write error only means that the server has closed the connection already.
	go func() {
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: n\r\nX: "+strings.Repeat("x", 2<<20)+"\r\n\r\n")
	}()
	response, err := http.ReadResponse(c.reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	begun := time.Now()
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.Assert(t, time.Since(begun) < closeWait/2, "ended after %v", time.Since(begun))
	for p.Load().Open > 0 {
		time.Sleep(5 * time.Millisecond)
	}
	assert.Assert(t, time.Since(begun) < 2*closeWait-closeWait/10, "closed after %v", time.Since(begun))
}
