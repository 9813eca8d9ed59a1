package requester

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Connections take their buffers from a pool. A buffer that is returned while a connection still uses it would give one
// caller's body or answer to another: here while bodies are sent by a goroutine, answers are abandoned in the middle, and
// the server answers some requests before it has read their bodies.
func TestBuffersAreNotSharedByConnections(t *testing.T) {
	s := serve(t, func(n net.Conn, r *http.Request, _ *bufio.Reader) bool {
		if r.Header.Get("X-Early") != "" {
			_, _ = io.WriteString(n, answerTo(r, "early"))
			return false
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return false
		}
		_, err = io.WriteString(n, answerTo(r, string(body)))
		return err == nil
	})
	c := client()
	var all sync.WaitGroup
	for i := range 8 {
		all.Go(func() {
			for j := range 60 {
				exchangeAs(t, c, s, fmt.Sprintf("%d-%d ", i, j), j%4)
			}
		})
	}
	all.Wait()
}

// exchangeAs sends a body made of id: way 1 abandons its answer, way 2 gets an early one, the others compare it.
func exchangeAs(t *testing.T, c *Client, s *server, id string, way int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	want := strings.Repeat(id, 5000)
	r := get(strings.TrimSpace(id))
	r.Method, r.Body, r.Length = http.MethodPost, bytes.NewReader([]byte(want)), int64(len(want))
	if way == 2 {
		r.Header["X-Early"] = []string{"1"}
	}
	response, err := c.Do(ctx, s.Addr().String(), r)
	if way == 2 {
		// The server may reset the connection before its answer has been read.
		if err == nil {
			response.Close(false)
		}
		return
	}
	if !assert.Check(t, err) {
		return
	}
	if way == 1 {
		_, _ = io.CopyN(io.Discard, response.Body, 100)
		cancel()
		response.Close(false)
		return
	}
	got, err := io.ReadAll(response.Body)
	response.Close(err == nil)
	assert.Check(t, err)
	assert.Check(t, string(got) == want, "body of another request")
}

// An idle connection must not hold buffers: they are most of the memory that it takes.
func TestIdleConnectionHasNoBuffers(t *testing.T) {
	s := serve(t, func(n net.Conn, r *http.Request, _ *bufio.Reader) bool {
		_, err := io.WriteString(n, answerTo(r, "mine"))
		return err == nil
	})
	c := client()
	_, err := do(t, c, s, get("1"))
	assert.NilError(t, err)
	idle := c.pool.pop(s.Addr().String())
	defer idle.Close()
	assert.Assert(t, idle.reader == nil && idle.writer == nil)
}
