package pipeliner

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// countingListener counts the bytes that its connections read.
type countingListener struct {
	net.Listener
	read atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	n, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{TCPConn: n.(*net.TCPConn), listener: l}, nil
}

type countingConn struct {
	*net.TCPConn
	listener *countingListener
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.listener.read.Add(int64(n))
	return n, err
}

// serveCounted starts a service and returns it with its pipeliner and the listener that counts.
func serveCounted(t testing.TB, maxAhead int) (*service, *Pipeliner, *countingListener) {
	t.Helper()
	s := &service{}
	p := New(Options{Handler: http.HandlerFunc(s.serve), MaxAhead: maxAhead, MayStartAhead: isIdempotent})
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &countingListener{Listener: inner}
	server := &http.Server{Handler: p, ConnContext: p.Context, IdleTimeout: 3 * time.Second}
	go func() { _ = server.Serve(p.Listen(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	s.address = l.Addr().String()
	return s, p, l
}

// An answer closes the connection after bytes of later requests were read: these would get no answer, though they were read.
func TestRequestReadBehindAClosingAnswerIsAnswered(t *testing.T) {
	for name, test := range map[string]struct {
		maxAhead int
		request  string
		gap      time.Duration
	}{
		"sent at once":                              {request: idempotentRequest("/20/close")},
		"sent at once, started ahead":               {request: idempotentRequest("/20/close"), maxAhead: 4},
		"not idempotent":                            {request: nonIdempotentRequest("/20/close", "two rings"), maxAhead: 4},
		"sent while the answer is written":          {request: idempotentRequest("/1/close"), gap: time.Millisecond},
		"chunked":                                   {request: chunked("/20/close", "two rings")},
		"chunked, started ahead":                    {request: chunked("/20/close", "two rings"), maxAhead: 4},
		"chunked, sent while the answer is written": {request: chunked("/1/close", "two rings"), gap: time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			for range 20 {
				s, _, l := serveCounted(t, test.maxAhead)
				c := s.call(t)
				var sending sync.WaitGroup
				sending.Add(1)
				go func() {
					defer sending.Done()
					for range 6 {
						if _, err := c.Write([]byte(test.request)); err != nil {
							return
						}
						time.Sleep(test.gap)
					}
				}()
				answers := int64(0)
				for {
					response, err := http.ReadResponse(c.reader, nil)
					if err != nil {
						break
					}
					answers++
					assert.NilError(t, response.Body.Close())
				}
				sending.Wait()
				assert.Equal(t, answers, l.read.Load()/int64(len(test.request)))
			}
		})
	}
}

// A server stops reading at any moment of callers' requests: one that was read and not answered would be lost, and a connection
// that goes on reading would never end.
func TestEveryRequestReadBeforeTheStopIsAnswered(t *testing.T) {
	for name, test := range map[string]struct {
		maxAhead int
		request  string
		gap      time.Duration
	}{
		"idempotent":                    {request: idempotentRequest("/3/600"), maxAhead: 4},
		"not idempotent":                {request: nonIdempotentRequest("/3/600", "two rings"), maxAhead: 4},
		"one behind the other":          {request: idempotentRequest("/1/a"), gap: 2 * time.Millisecond},
		"a slow run":                    {request: idempotentRequest("/150/a"), gap: 5 * time.Millisecond, maxAhead: 1},
		"answers beyond buffer":         {request: idempotentRequest("/2/90000"), maxAhead: 4},
		"chunked":                       {request: chunked("/3/600", "two rings"), maxAhead: 4},
		"chunked, one behind the other": {request: chunked("/1/a", "two rings"), gap: 2 * time.Millisecond},
		"body not read":                 {request: nonIdempotentRequest("/1/600/unread", "two rings"), gap: 2 * time.Millisecond},
		"chunked, body not read":        {request: chunked("/1/600/unread", "two rings"), gap: 2 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for attempt := range 10 {
				s, p, l := serveCounted(t, test.maxAhead)
				var answers atomic.Int64
				var callers sync.WaitGroup
				for range 4 {
					c := s.call(t)
					callers.Add(2)
					unanswered := make(chan struct{}, 6)
					ended := make(chan struct{})
					go func() {
						defer callers.Done()
						for {
							select {
							case unanswered <- struct{}{}:
							case <-ended:
								return
							}
							if _, err := c.Write([]byte(test.request)); err != nil {
								return
							}
							time.Sleep(test.gap)
						}
					}()
					go func() {
						defer callers.Done()
						for {
							response, err := http.ReadResponse(c.reader, nil)
							if err == nil {
								_, err = io.Copy(io.Discard, response.Body)
							}
							if err != nil {
								close(ended)
								return
							}
							answers.Add(1)
							<-unanswered
						}
					}()
				}
				idle := s.call(t)
				// A connection that the server has not accepted is reset when its listener closes.
				eventually(t, "all connections accepted", func() bool { return p.Load().Open == 5 })
				time.Sleep(time.Duration(20+attempt*3) * time.Millisecond)
				assert.NilError(t, p.StopReading())
				_, err := idle.reader.ReadByte()
				assert.ErrorIs(t, err, io.EOF)
				callers.Wait()
				eventually(t, "all connections closed", func() bool { return p.Load() == Load{} })
				assert.Equal(t, answers.Load(), l.read.Load()/int64(len(test.request)))
			}
		})
	}
}
