package requester

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

// copying numbers its answers over all connections. Before the answer at a position on a connection, counted from 0, it sends a
// copy of that connection's first answer.
type copying struct {
	status, at int

	mu       sync.Mutex
	answers  int
	position map[net.Conn]int
	first    map[net.Conn]string
}

func (c *copying) respond(n net.Conn, r *http.Request, _ *bufio.Reader) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	body := fmt.Sprintf("answer %d", c.answers)
	answer := fmt.Sprintf("HTTP/1.1 %d X\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", c.status, r.Header.Get("X-Id"), len(body), body)
	position := c.position[n]
	c.answers++
	c.position[n]++
	sent := answer
	if position == 0 {
		c.first[n] = answer
	}
	if position == c.at {
		sent = c.first[n] + answer
	}
	_, err := io.WriteString(n, sent)
	return err == nil
}

// Guards against a request that runs twice because the late copy of an answer to its first sending, which names the same id,
// was taken for the answer to the second.
func TestLateCopyIsNotTakenForAnswerToSameRequestSentAgain(t *testing.T) {
	tests := map[string]struct {
		status, at int
		requests   []string
	}{
		"declined, copy before the next answer":              {status: 503, at: 1, requests: []string{"a", "a", "b", "c"}},
		"declined, copy two requests later":                  {status: 503, at: 2, requests: []string{"a", "b", "a", "c"}},
		"meant for another endpoint":                         {status: 421, at: 1, requests: []string{"a", "a"}},
		"answered":                                           {status: 200, at: 1, requests: []string{"a", "a"}},
		"answered, copy two requests later, sent twice more": {status: 200, at: 2, requests: []string{"a", "b", "a", "a"}},
		"answer to another request":                          {status: 200, at: 1, requests: []string{"a", "b"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			answers := &copying{status: test.status, at: test.at, position: map[net.Conn]int{}, first: map[net.Conn]string{}}
			s := serve(t, answers.respond)
			c := client()
			for i, id := range test.requests {
				got, err := do(t, c, s, get(id))
				assert.NilError(t, err)
				assert.Equal(t, got, fmt.Sprintf("answer %d", i))
			}
		})
	}
}

// Guards against connections that are opened anew for each request that is sent again.
func TestRequestSentAgainUsesAnotherIdleConnection(t *testing.T) {
	s := serve(t, func(n net.Conn, r *http.Request, _ *bufio.Reader) bool {
		_, err := io.WriteString(n, answerTo(r, ""))
		return err == nil
	})
	c := client()
	for _, id := range []string{"a", "a", "b", "b", "c", "c"} {
		_, err := do(t, c, s, get(id))
		assert.NilError(t, err)
	}
	assert.Equal(t, s.connections.Load(), int32(2))
	assert.Equal(t, c.PassedOver(), int64(3))
}

// Guards against the loss of a sound answer behind dropped ones, and against drops that leave no trace.
func TestDroppedAnswersAreReported(t *testing.T) {
	s := serve(t, func(n net.Conn, r *http.Request, _ *bufio.Reader) bool {
		foreign := "HTTP/1.1 503 X\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n"
		if r.Header.Get("X-Id") == "b" {
			_, _ = fmt.Fprintf(n, foreign+foreign, "a", "other")
		}
		_, err := io.WriteString(n, answerTo(r, "mine"))
		return err == nil
	})
	var dropped []DroppedAnswer
	c := client()
	c.options.AnswerDropped = func(d DroppedAnswer) {
		assert.Assert(t, d.Connection != "")
		d.Connection = ""
		dropped = append(dropped, d)
	}
	for _, id := range []string{"a", "b"} {
		got, err := do(t, c, s, get(id))
		assert.NilError(t, err)
		assert.Equal(t, got, "mine")
	}
	assert.DeepEqual(t, dropped, []DroppedAnswer{
		{Awaited: "b", Got: "a", Status: 503, Known: true, Taken: 200},
		{Awaited: "b", Got: "other", Status: 503},
	})
}

// Guards against answers that arrive after the one that was returned and leave no trace when their connection is closed.
func TestAnswersOnClosedConnectionsAreReported(t *testing.T) {
	tests := map[string]time.Duration{"at once": 0, "while idle": 20 * time.Millisecond}
	for name, delay := range tests {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(n net.Conn, r *http.Request, _ *bufio.Reader) bool {
				declined := fmt.Sprintf("HTTP/1.1 503 X\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Id"))
				late := answerTo(r, "late")
				if delay == 0 {
					declined, late = declined+late, ""
				}
				_, _ = io.WriteString(n, declined)
				time.Sleep(delay)
				_, err := io.WriteString(n, late)
				return err == nil
			})
			var dropped []DroppedAnswer
			c := client()
			c.options.AnswerDropped = func(d DroppedAnswer) {
				d.Connection = ""
				dropped = append(dropped, d)
			}
			for _, id := range []string{"a", "b"} {
				_, err := do(t, c, s, get(id))
				assert.NilError(t, err)
				time.Sleep(2 * delay)
			}
			c.CloseIdle(s.Addr().String())
			assert.DeepEqual(t, dropped, []DroppedAnswer{
				{Got: "a", Status: 200, Known: true, Taken: 503},
				{Got: "b", Status: 200, Known: true, Taken: 503},
			})
		})
	}
}

// Guards against the loss of a sound answer behind a copy of another answer that was sent in chunks, and against a copy without
// an end that keeps the request waiting.
func TestAnswerBehindCopyInChunksIsDelivered(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 1<<10, strings.Repeat("x", 1<<10))
	tests := map[string]struct {
		chunks    int
		delivered bool
	}{
		"empty":    {0, true},
		"short":    {3, true},
		"too long": {maxStrayBytes>>10 + 1, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			copied := head + strings.Repeat(chunk, test.chunks) + "0\r\n\r\n"
			s := serve(t, func(n net.Conn, r *http.Request, _ *bufio.Reader) bool {
				_, err := io.WriteString(n, copied+answerTo(r, "mine"))
				return err == nil
			})
			got, err := do(t, client(), s, get("b"))
			if !test.delivered {
				assert.ErrorIs(t, err, errStray)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, got, "mine")
		})
	}
}

// Guards against a request that runs twice because its connection has forgotten it: a node that was paused passes a request on
// long after its deadline, and a copy of the answer to the first sending is taken for the one to the second.
func TestConnectionNeverForgetsRequest(t *testing.T) {
	answers := &copying{status: 503, at: 21, position: map[net.Conn]int{}, first: map[net.Conn]string{}}
	s := serve(t, answers.respond)
	c := client()
	var now clock.Time
	c.options.Now = func() clock.Time { return now }
	ids := []string{"a"}
	for i := range 20 {
		ids = append(ids, fmt.Sprint("b", i))
	}
	ids = append(ids, "a")
	for i, id := range ids {
		got, err := do(t, c, s, get(id))
		assert.NilError(t, err)
		assert.Equal(t, got, fmt.Sprintf("answer %d", i))
		now += 4 * clock.Time(clock.Second)
	}
}

// Guards against a connection that forgets requests, and against a memory of them that grows without a bound.
func TestConnectionClosesAfterMostRequests(t *testing.T) {
	var s sentRequests
	for k := requestKey(1); k <= maxSentRequests; k++ {
		assert.Assert(t, !s.full())
		s.add(k)
		if k%64 != 0 {
			continue
		}
		for earlier := requestKey(1); earlier <= k; earlier++ {
			if !s.contains(earlier) {
				t.Fatalf("request %d of %d is forgotten", earlier, k)
			}
		}
	}
	assert.Assert(t, s.full())
	assert.Assert(t, cap(s.list) <= 2*maxSentRequests, "room for %d", cap(s.list))

	server := serve(t, func(n net.Conn, r *http.Request, _ *bufio.Reader) bool {
		_, err := io.WriteString(n, answerTo(r, ""))
		return err == nil
	})
	c := client()
	for i := range maxSentRequests + 1 {
		_, err := do(t, c, server, get(fmt.Sprint(i)))
		assert.NilError(t, err)
	}
	assert.Equal(t, server.connections.Load(), int32(2))
}
