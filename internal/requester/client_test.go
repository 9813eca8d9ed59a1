package requester

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

// server calls respond for each request on a connection and counts the connections.
type server struct {
	net.Listener
	connections atomic.Int32
}

func serve(t *testing.T, respond func(n net.Conn, r *http.Request, reader *bufio.Reader) bool) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &server{Listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			n, err := l.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go func() {
				defer n.Close()
				reader := bufio.NewReader(n)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil || !respond(n, r, reader) {
						return
					}
				}
			}()
		}
	}()
	return s
}

func client() *Client {
	c := clock.New()
	return New(Options{
		DialTimeout: clock.Second, IdleTime: 5 * clock.Second, MaxIdle: 4, Connections: NewConnections(100), Now: c.Now,
		IDField: "X-Id",
	})
}

func get(id string) *Request {
	return &Request{
		Method: "GET", URI: "/x", Host: "h", Header: http.Header{"X-Id": {id}}, ID: id,
	}
}

func answerTo(r *http.Request, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("X-Id"), len(body), body)
}

// timeLimit returns a context that ends after a time or with the test.
func timeLimit(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func do(t *testing.T, c *Client, s *server, r *Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	response, err := c.Do(ctx, s.Addr().String(), r)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	response.Close(err == nil)
	return string(body), err
}

func TestConnectionIsReused(t *testing.T) {
	s := serve(t, func(n net.Conn, r *http.Request, _ *bufio.Reader) bool {
		_, err := io.WriteString(n, answerTo(r, r.Header.Get("X-Id")))
		return err == nil
	})
	c := client()
	for i := range 5 {
		got, err := do(t, c, s, get(fmt.Sprint(i)))
		assert.NilError(t, err)
		assert.Equal(t, got, fmt.Sprint(i))
	}
	assert.Equal(t, s.connections.Load(), int32(1))
}

// A faulty endpoint sends a second answer after a complete one, at once or while the connection is idle. On reuse of the
// connection the next caller would get that answer.
func TestUnrequestedAnswerIsNotDelivered(t *testing.T) {
	tests := map[string]time.Duration{"at once": 0, "while idle": 30 * time.Millisecond}
	for name, delay := range tests {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(n net.Conn, r *http.Request, _ *bufio.Reader) bool {
				if delay == 0 {
					_, err := io.WriteString(n, answerTo(r, "mine")+answerTo(r, "extra"))
					return err == nil
				}
				_, _ = io.WriteString(n, answerTo(r, "mine"))
				time.Sleep(delay)
				_, err := io.WriteString(n, answerTo(r, "extra"))
				return err == nil
			})
			c := client()
			for i := range 3 {
				got, err := do(t, c, s, get(fmt.Sprint(i)))
				assert.NilError(t, err)
				assert.Equal(t, got, "mine")
				time.Sleep(2 * delay)
			}
			assert.Equal(t, s.connections.Load(), int32(3))
		})
	}
}

// A late answer to an earlier request arrives first. It must not be delivered to the caller as its own; the right
// answer follows it.
func TestAnswerToAnotherRequestIsSkipped(t *testing.T) {
	s := serve(t, func(n net.Conn, r *http.Request, _ *bufio.Reader) bool {
		stray := "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nstray"
		_, err := io.WriteString(n, stray+answerTo(r, "mine"))
		return err == nil
	})
	got, err := do(t, client(), s, get("1"))
	assert.NilError(t, err)
	assert.Equal(t, got, "mine")
}

// The connection ends within an answer. Without an error, a caller that does not count bytes would accept it as complete.
func TestTruncatedAnswerIsAnError(t *testing.T) {
	s := serve(t, func(n net.Conn, r *http.Request, _ *bufio.Reader) bool {
		whole := answerTo(r, "a longer body")
		_, _ = io.WriteString(n, whole[:len(whole)-5])
		return false
	})
	_, err := do(t, client(), s, get("1"))
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF))
}

// The server closes an idle connection. A request sent on it may be lost, and one that must not run twice could not be
// retried; so the connection is checked before reuse.
func TestClosedConnectionIsNotUsed(t *testing.T) {
	s := serve(t, func(n net.Conn, r *http.Request, _ *bufio.Reader) bool {
		_, _ = io.WriteString(n, answerTo(r, "mine"))
		return false
	})
	c := client()
	for i := range 3 {
		_, err := do(t, c, s, get(fmt.Sprint(i)))
		assert.NilError(t, err)
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, s.connections.Load(), int32(3))
}

// A server answers before it has read a long body and continues to read it. It would read the next request on that
// connection as the rest of the body.
func TestEarlyAnswerClosesTheConnection(t *testing.T) {
	s := serve(t, func(n net.Conn, r *http.Request, _ *bufio.Reader) bool {
		_, _ = io.WriteString(n, answerTo(r, "early"))
		time.Sleep(300 * time.Millisecond)
		return false
	})
	c := client()
	r := get("1")
	r.Method, r.Length = "POST", 8<<20
	r.Body = io.LimitReader(endless{}, r.Length)
	got, err := do(t, c, s, r)
	assert.NilError(t, err)
	assert.Equal(t, got, "early")
	_, err = do(t, c, s, get("2"))
	assert.NilError(t, err)
	assert.Equal(t, s.connections.Load(), int32(2))
}

type endless struct{}

func (endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

func TestBodies(t *testing.T) {
	s := serve(t, func(n net.Conn, r *http.Request, _ *bufio.Reader) bool {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return false
		}
		_, err = io.WriteString(n, answerTo(r, fmt.Sprint(len(body))))
		return err == nil
	})
	tests := map[string]struct {
		length  int64
		chunked bool
	}{
		"small":         {length: 100},
		"long":          {length: 300000},
		"small chunked": {length: 100, chunked: true},
		"long chunked":  {length: 300000, chunked: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := get("1")
			r.Method = "POST"
			r.Body = io.LimitReader(endless{}, test.length)
			r.Length = test.length
			if test.chunked {
				r.Length = -1
			}
			got, err := do(t, client(), s, r)
			assert.NilError(t, err)
			assert.Equal(t, got, fmt.Sprint(test.length))
		})
	}
}

// A node refuses a long upload. If any of the body had been read, the upload could not be sent to another node.
func TestBodyStaysUnreadWhenExpectContinueIsRefused(t *testing.T) {
	s := serve(t, func(n net.Conn, r *http.Request, _ *bufio.Reader) bool {
		_, _ = io.WriteString(n, answerTo(r, "no"))
		return false
	})
	r := get("1")
	body := &counting{Reader: strings.NewReader(strings.Repeat("x", 100000))}
	r.Method, r.Body, r.Length, r.ExpectContinue = "POST", body, 100000, true
	got, err := do(t, client(), s, r)
	assert.NilError(t, err)
	assert.Equal(t, got, "no")
	assert.Equal(t, body.n.Load(), int64(0))
}

type counting struct {
	io.Reader
	n atomic.Int64
}

func (c *counting) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.n.Add(int64(n))
	return n, err
}

func TestRefusedConnectionIsADialError(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	_, err = client().Do(context.Background(), address, get("1"))
	var dial DialError
	assert.Assert(t, errors.As(err, &dial))
}

// The caller leaves while the endpoint works. Unless the connection is closed at once, the endpoint continues work
// whose result is not needed.
func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	s := serve(t, func(_ net.Conn, _ *http.Request, reader *bufio.Reader) bool {
		_, _ = reader.ReadByte()
		close(closed)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := client().Do(ctx, s.Addr().String(), get("1"))
	var sent SentError
	assert.Assert(t, errors.As(err, &sent))
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the server still holds the connection")
	}
}

func TestIdleTime(t *testing.T) {
	tests := map[string]struct {
		header string
		want   clock.Duration
		given  bool
	}{
		"none":         {"", 0, false},
		"timeout":      {"timeout=5", 4300, true},
		"with maximum": {"max=10, timeout=2", 1300, true},
		"unreadable":   {"timeout=x", 0, false},
		"zero":         {"timeout=0", -700, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, given := idleTime(test.header)
			assert.Equal(t, got, test.want)
			assert.Equal(t, given, test.given)
		})
	}
}

// The caller leaves while a partition or a congested link still delays the request. After an orderly close the request
// would be delivered later, and the endpoint would do work whose result is not needed; a reset discards it.
func TestCancelResetsTheConnection(t *testing.T) {
	ended := make(chan error, 1)
	s := serve(t, func(_ net.Conn, _ *http.Request, reader *bufio.Reader) bool {
		_, err := reader.ReadByte()
		ended <- err
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := client().Do(ctx, s.Addr().String(), get("1"))
	assert.Assert(t, err != nil)
	select {
	case err := <-ended:
		assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
	case <-time.After(time.Second):
		t.Fatal("the server still holds the connection")
	}
}
