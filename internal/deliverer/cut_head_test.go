package deliverer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/reducer"
)

// Guards against an answer that ends within its head and is given to the caller as a whole one.
func TestAnswerThatEndsWithinItsHeadIsLost(t *testing.T) {
	for name, head := range map[string]string{
		"length":      "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n",
		"no body":     "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"chunks":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"no length":   "HTTP/1.1 200 OK\r\nServer: a\r\n\r\n",
		"after a 103": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"bare LF":     "HTTP/1.1 200 OK\nContent-Length: 0\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			d := New(nil)
			d.putBackend("i", listen(t, func(n net.Conn) { serveCut(n, head) }), 4)
			for length := range len(head) {
				w := call(d, "/whole")
				assert.Assert(t, w.head.Refusal == nil, "%+v", w.head.Refusal)
				// The first call uses the connection of the whole answer, the second one a new connection.
				for range 2 {
					w = call(d, fmt.Sprint("/cut/", length))
					assert.Assert(t, w.head.Refusal != nil, "after %d bytes: %+v", length, w.head)
					assert.Equal(t, w.head.Refusal.Reason, string(reducer.LostAnswer), "after %d bytes", length)
					assert.Assert(t, !w.head.Refusal.NotRun)
				}
			}
		})
	}
}

// serveCut answers requests, and those for /cut/N with the first N bytes of a head, after which the connection ends.
func serveCut(n net.Conn, head string) {
	reader := bufio.NewReader(n)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		answer := echoingAnswer(r.Header.Get(TokenHeader), r.URL.Path)
		length, err := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/cut/"))
		cut := err == nil
		if cut {
			answer = head[:length]
		}
		if _, err := io.WriteString(n, answer); err != nil || cut {
			return
		}
	}
}
