package relayer

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

// Guards against a refusal that waits for the rest of its request's body: the caller then learns seconds after the deadline, or
// never, that its time is up.
func TestRefusalDoesNotWaitForBody(t *testing.T) {
	tests := map[string]struct {
		path    string
		size    int
		chunked bool
		timeout clock.Duration
		status  int
		within  time.Duration
	}{
		"past the timeout, large":   {path: "/obs/1", size: 60_000, timeout: 300, status: 504, within: 700 * time.Millisecond},
		"past the timeout, chunked": {path: "/obs/1", size: 60_000, chunked: true, timeout: 300, status: 504, within: 700 * time.Millisecond},
		"past the timeout, small":   {path: "/obs/1", size: 6_000, timeout: 300, status: 503, within: 700 * time.Millisecond},
		"at once, large":            {path: "/none/1", size: 60_000, timeout: 3000, status: 404, within: 300 * time.Millisecond},
		"at once, small":            {path: "/none/1", size: 6_000, timeout: 3000, status: 404, within: 300 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, func(http.ResponseWriter, *http.Request) {})
			n := newNode(t, "a", "portal", e)
			c := configurationOf(matcher.NonIdempotent, 1)
			c.Routes[0].Timeout = test.timeout
			n.configure(t, c)
			u := newUploader(t, pipelined(t, n), test.chunked)
			began := time.Now()
			assert.NilError(t, u.beginAt(test.path, "slow", test.size, 3*clock.Second))
			body := uploadOf(test.size)
			assert.NilError(t, u.write(body[:test.size/2]))
			answer, err := http.ReadResponse(u.reader, nil)
			assert.NilError(t, err)
			assert.Equal(t, answer.StatusCode, test.status)
			assert.Assert(t, time.Since(began) < test.within, "%s", time.Since(began))
			text, err := io.ReadAll(answer.Body)
			assert.NilError(t, err)
			assert.Assert(t, len(text) > 0)
			if answer.Close {
				return
			}
			// The rest of the body must not be taken for the next request.
			assert.NilError(t, u.write(body[test.size/2:]))
			assert.NilError(t, u.writeEnd())
			u.chunked = false
			assert.NilError(t, u.beginAt("/obs/1", "next", 4, 3*clock.Second))
			assert.NilError(t, u.write([]byte("body")))
			answer, err = http.ReadResponse(u.reader, nil)
			assert.NilError(t, err)
			assert.Equal(t, answer.StatusCode, http.StatusOK)
		})
	}
}

// beginAt sends the head of an upload to a path.
func (u *uploader) beginAt(path, id string, length int, left clock.Duration) error {
	framing := fmt.Sprintf("Content-Length: %d", length)
	if u.chunked {
		framing = "Transfer-Encoding: chunked"
	}
	_, err := fmt.Fprintf(u, "POST %s HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: %d\r\n%s: Key k\r\n%s\r\n\r\n",
		path, names.RequestID, id, names.TimeLeft, left, names.Key, framing)
	return err
}
