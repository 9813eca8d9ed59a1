package relayer

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

// newCopyingEndpoint returns an endpoint that declines the first request of each id and runs the second one. Once it has read
// the request with the given number on a connection, it sends its first answer on that connection again.
func newCopyingEndpoint(t *testing.T, copyAt int) (*endpoint, *runCounts) {
	t.Helper()
	counts := &runCounts{offered: map[string]int{}, run: map[string]int{}}
	address := listen(t, func(n net.Conn) { serveCopying(n, counts, copyAt) })
	return &endpoint{Server: &httptest.Server{URL: "http://" + address}}, counts
}

// runCounts counts the offers and the runs of each request.
type runCounts struct {
	mu           sync.Mutex
	offered, run map[string]int
}

// offer returns whether a request is run.
func (c *runCounts) offer(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offered[id]++
	if c.offered[id] == 1 {
		return false
	}
	c.run[id]++
	return true
}

func (c *runCounts) of(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.run[id]
}

func serveCopying(n net.Conn, counts *runCounts, copyAt int) {
	reader := bufio.NewReader(n)
	first := ""
	for requests := 1; ; requests++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := r.Header.Get(names.RequestID)
		answer := fmt.Sprintf("HTTP/1.1 503 X\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", names.RequestID, id, names.NotRun)
		if counts.offer(id) {
			answer = fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 3\r\n\r\nran", names.RequestID, id)
		}
		sent := answer
		if requests == 1 {
			first = answer
		}
		if requests == copyAt {
			sent = first + answer
		}
		if _, err := n.Write([]byte(sent)); err != nil {
			return
		}
	}
}

// Guards against a request that is refused as not run while it runs, since the copy of the first refusal was taken for the
// answer to the second offer.
func TestCopyOfRefusalIsNotTakenForAnswerToNextOffer(t *testing.T) {
	tests := map[string]bool{"from its own node": true, "through another node": false}
	for name, own := range tests {
		t.Run(name, func(t *testing.T) {
			e, counts := newCopyingEndpoint(t, 2)
			a := newNode(t, "a", "portal", e)
			entry := newNode(t, "entry", "desk", newEndpoint(t, respondWith("desk")))
			for _, n := range []*node{entry, a} {
				n.configure(t, configurationOf(matcher.NonIdempotent, 1))
			}
			exchangeMembers(entry, a)
			if own {
				entry = a
			}
			offer := func(id string) reply {
				return sendRequest(t, entry, func(r *http.Request) { r.Header.Set(names.RequestID, id) })
			}
			for _, id := range []string{"x", "y"} {
				assert.Equal(t, offer(id).StatusCode, http.StatusServiceUnavailable)
				got := offer(id)
				assert.Equal(t, got.StatusCode, http.StatusOK)
				assert.Equal(t, got.text, "ran")
				assert.Equal(t, counts.of(id), 1)
			}
		})
	}
}
