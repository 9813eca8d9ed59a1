package relayer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

// Guards against the loss of answers to requests that were sent ahead, since the answer before them never ends or breaks off.
func TestAnswersBehindALongOneAreNotLost(t *testing.T) {
	const block = 32 << 10
	tests := map[string]struct {
		respond func(w http.ResponseWriter, r *http.Request)
		timeout clock.Duration
		status  int
		bytes   int
	}{
		"no end": {respond: func(w http.ResponseWriter, r *http.Request) {
			for r.Context().Err() == nil {
				_, _ = w.Write(make([]byte, block))
				_ = http.NewResponseController(w).Flush()
				time.Sleep(20 * time.Millisecond)
			}
		}, timeout: 400, status: 504},
		"no end, fast": {respond: func(w http.ResponseWriter, r *http.Request) {
			for r.Context().Err() == nil {
				if _, err := w.Write(make([]byte, block)); err != nil {
					return
				}
			}
		}, timeout: 2000, status: 502},
		"breaks off": {respond: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(10*block))
			_, _ = w.Write(make([]byte, 5*block))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, timeout: 2000, status: 502},
		"long, of unknown length": {respond: func(w http.ResponseWriter, _ *http.Request) {
			for range 10 {
				_, _ = w.Write(make([]byte, block))
				_ = http.NewResponseController(w).Flush()
			}
		}, timeout: 2000, status: 200, bytes: 10 * block},
		"long": {respond: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(10*block))
			_, _ = w.Write(make([]byte, 10*block))
		}, timeout: 2000, status: 200, bytes: 10 * block},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
				if strings.HasSuffix(r.URL.Path, "/long") {
					test.respond(w, r)
				}
			})
			n := newNode(t, "a", "portal", e)
			c := configurationOf(matcher.Idempotent, 1)
			c.Routes[0].Timeout = test.timeout
			n.configure(t, c)
			connection, err := net.Dial("tcp", pipelined(t, n))
			assert.NilError(t, err)
			defer connection.Close()
			assert.NilError(t, connection.SetDeadline(time.Now().Add(5*time.Second)))
			for i, path := range []string{"/obs/long", "/obs/1", "/obs/2"} {
				_, err = fmt.Fprintf(connection, "GET %s HTTP/1.1\r\nHost: h.example\r\n%s: r%d\r\n%s: 3000\r\n%s: Key k\r\n\r\n",
					path, names.RequestID, i, names.TimeLeft, names.Key)
				assert.NilError(t, err)
			}
			reader := bufio.NewReader(connection)
			for i := range 3 {
				answer, err := http.ReadResponse(reader, nil)
				assert.NilError(t, err)
				body, err := io.ReadAll(answer.Body)
				assert.NilError(t, err)
				if i > 0 {
					assert.Equal(t, answer.StatusCode, http.StatusOK)
					assert.Equal(t, answer.Header.Get(names.RequestID), fmt.Sprint("r", i))
					continue
				}
				assert.Equal(t, answer.StatusCode, test.status)
				if test.status == http.StatusOK {
					assert.Equal(t, len(body), test.bytes)
				}
			}
		})
	}
}
