package pipeliner

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// largeBuffers makes the connections of a listener hold a whole answer that is not sent yet.
type largeBuffers struct{ net.Listener }

func (l largeBuffers) Accept() (net.Conn, error) {
	n, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return n, n.(*net.TCPConn).SetWriteBuffer(200_000)
}

const largeAnswer = 120_000

// closingAnswer calls a server that closes the connection with a large answer, and returns the head of that answer; the rest is
// still on its way. The caller sends its next request before the server closes, or after.
func closingAnswer(ctx context.Context, t *testing.T, cancel func(), sendsAfter time.Duration) *http.Response {
	t.Helper()
	p := New(Options{Context: ctx, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if MayClose(r.Context()) {
			w.Header().Set("Connection", "close")
		}
		if sendsAfter == 0 {
			time.Sleep(50 * time.Millisecond)
		}
		if cancel != nil {
			cancel()
		}
		_, _ = w.Write(bytes.Repeat([]byte("x"), largeAnswer))
	})})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: p, ConnContext: p.Context}
	go func() { _ = server.Serve(p.Listen(largeBuffers{l})) }()
	t.Cleanup(func() { _ = server.Close() })
	c := (&service{address: l.Addr().String()}).call(t)
	assert.NilError(t, c.Conn.(*net.TCPConn).SetReadBuffer(16<<10))
	c.send(t, idempotentRequest("/0/a"))
	time.Sleep(max(25*time.Millisecond, sendsAfter))
	c.send(t, idempotentRequest("/0/b"))
	response, err := http.ReadResponse(c.reader, nil)
	assert.NilError(t, err)
	assert.Assert(t, response.Close)
	return response
}

// readIn reads an answer in the given number of pieces with a pause before each.
func readIn(response *http.Response, pieces int, pause time.Duration) (int64, error) {
	total := int64(0)
	for range pieces {
		time.Sleep(pause)
		n, err := io.CopyN(io.Discard, response.Body, largeAnswer/int64(pieces))
		total += n
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

// The answer that closes a connection is read slowly by a caller that has sent its next request: the reset of the connection
// would cut the answer off.
func TestClosingAnswerIsDeliveredToASlowReader(t *testing.T) {
	for name, sendsAfter := range map[string]time.Duration{
		"next request sent before the close": 0,
		"next request sent after the close":  200 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			response := closingAnswer(context.Background(), t, nil, sendsAfter)
			n, err := readIn(response, 20, 60*time.Millisecond)
			assert.NilError(t, err, "after %d of %d bytes", n, largeAnswer)
		})
	}
}

// The contexts of all requests end, and the connection with the last answer is closed: the reset would cut the answer off.
func TestClosingAnswerIsDeliveredWhenItsRequestIsCancelled(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	response := closingAnswer(ctx, t, cancel, 0)
	n, err := readIn(response, 20, 10*time.Millisecond)
	assert.NilError(t, err, "after %d of %d bytes", n, largeAnswer)
}
