package deliverer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
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
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer l.Close()
			go serveCut(l, head)
			d := New(nil)
			d.putBackend("i", l.Addr().String(), 4)
			for length := range len(head) {
				w := call(d, "/whole")
				assert.Assert(t, w.head.Refusal == nil, "%+v", w.head.Refusal)
				for _, path := range []string{"/cut/%d", "/cut/%d"} {
					w = call(d, fmt.Sprintf(path, length))
					assert.Assert(t, w.head.Refusal != nil, "after %d bytes: %+v", length, w.head)
					assert.Equal(t, w.head.Refusal.Reason, string(reducer.LostAnswer), "after %d bytes", length)
					assert.Assert(t, !w.head.Refusal.NotRun)
				}
			}
		})
	}
}

// serveCut answers requests, and those for /cut/N with the first N bytes of a head, after which it closes the connection.
func serveCut(l net.Listener, head string) {
	for {
		n, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer n.Close()
			reader := bufio.NewReader(n)
			for {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				var length int
				if _, err := fmt.Sscanf(strings.TrimPrefix(r.URL.Path, "/cut/"), "%d", &length); err == nil {
					_, _ = io.WriteString(n, head[:length])
					return
				}
				if _, err := io.WriteString(n, echoingAnswer(r.Header.Get(TokenHeader), r.URL.Path)); err != nil {
					return
				}
			}
		}()
	}
}
