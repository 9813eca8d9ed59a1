package relayer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

// cutHeader holds after how many bytes the endpoint closes its connection, headHeader which head it sends, and pieceHeader how many
// bytes it writes at a time.
const cutHeader, headHeader, pieceHeader = "X-Cut", "X-Head", "X-Piece"

// cutHeads are heads of answers, all but the last line feed of which may be missing. The first has a field that would be read as
// complete if a cut value counted.
var cutHeads = map[string]string{
	"length":       "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: signed\r\nContent-Length: 10\r\n\r\n",
	"no body":      "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: signed\r\nContent-Length: 0\r\n\r\n",
	"chunks":       "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: signed\r\nTransfer-Encoding: chunked\r\n\r\n",
	"until close":  "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: signed\r\nConnection: close\r\n\r\n",
	"no content":   "HTTP/1.1 204 No Content\r\nX-Id: %s\r\nX-Signature: signed\r\n\r\n",
	"after a 103":  "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: signed\r\nContent-Length: 0\r\n\r\n",
	"after a 100":  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: signed\r\nContent-Length: 0\r\n\r\n",
	"bare LF":      "HTTP/1.1 200 OK\nX-Id: %s\nX-Signature: signed\nContent-Length: 0\n\n",
	"old protocol": "HTTP/1.0 200 OK\r\nX-Id: %s\r\nX-Signature: signed\r\n\r\n",
}

// serveCutHeads answers requests, and cuts answers where their requests say so.
func serveCutHeads(cut *atomic.Int64) func(n net.Conn) {
	return func(n net.Conn) {
		in := bufio.NewReader(n)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			id := r.Header.Get(names.RequestID)
			if name := r.Header.Get(headHeader); name != "" {
				head := fmt.Sprintf(cutHeads[name], id)
				length, _ := strconv.Atoi(r.Header.Get(cutHeader))
				piece, _ := strconv.Atoi(r.Header.Get(pieceHeader))
				cut.Add(1)
				for rest := head[:length]; rest != ""; {
					part := rest[:min(piece, len(rest))]
					rest = rest[len(part):]
					if _, err := io.WriteString(n, part); err != nil {
						return
					}
				}
				return
			}
			answer := "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Signature: signed\r\nContent-Length: 2\r\n\r\nok"
			if _, err := io.WriteString(n, answer); err != nil {
				return
			}
		}
	}
}

// Guards against an answer that ends within its head and reaches the caller as a whole one with a short body.
func TestAnswerThatEndsWithinItsHeadIsNotForwarded(t *testing.T) {
	for name, head := range cutHeads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var cut atomic.Int64
			address := listen(t, serveCutHeads(&cut))
			e := &endpoint{Server: &httptest.Server{URL: "http://" + address}}
			beside := newNode(t, "b", "portal", e)
			entry := newNode(t, "a", "desk", newEndpoint(t, func(http.ResponseWriter, *http.Request) {}))
			exchangeMembers(beside, entry)
			for _, n := range []*node{beside, entry} {
				n.configure(t, configurationOf(matcher.NonIdempotent, 2))
			}
			asked := int64(0)
			for length := range len(strings.Replace(head, "%s", "req-1234567890123456789", 1)) {
				for _, n := range []*node{beside, entry} {
					n.ApplyEvent(conductor.ConfigurationProved{Version: 3, AsOf: clock.Boot{}.Now()})
				}
				// The whole answer before the cut ones resets the endpoint's failures and leaves a connection, which the first of them uses.
				good := sendRequest(t, entry, nil)
				assert.Equal(t, good.StatusCode, http.StatusOK, "%s", good.text)
				for _, piece := range []int{1, 1 << 10} {
					asked++
					got := sendRequest(t, entry, func(r *http.Request) {
						r.Header.Set(headHeader, name)
						r.Header.Set(cutHeader, strconv.Itoa(length))
						r.Header.Set(pieceHeader, strconv.Itoa(piece))
					})
					assert.Equal(t, got.StatusCode, http.StatusBadGateway, "after %d bytes: %s", length, got.text)
					assert.Equal(t, got.Header.Get(names.Signature), "", "after %d bytes", length)
				}
			}
			assert.Equal(t, cut.Load(), asked)
		})
	}
}
