package requester

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// serveEndlessly repeats bytes for ever on each connection, after a beginning.
func serveEndlessly(t testing.TB, beginning, repeated []byte) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	block := bytes.Repeat(repeated, 1+(16<<10)/len(repeated))
	go func() {
		for {
			n, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer n.Close()
				for data := beginning; ; data = block {
					if _, err := n.Write(data); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// receivedFrom returns the error of a request and how many bytes were read for it.
func receivedFrom(address string, reported *[]ExceededBound) (int64, error) {
	c := client()
	c.options.BoundExceeded = func(e ExceededBound) { *reported = append(*reported, e) }
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	r := get("a")
	r.Traffic = &Traffic{}
	response, err := c.Do(ctx, address, r)
	if err == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(response.Body, 100<<10))
		response.Close(false)
	}
	return r.Traffic.Received.Load(), err
}

// Guards against a node that ends for its memory, since an endpoint sends a head without an end.
func TestHeadOfAnswerIsBounded(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\n"
	tests := map[string]struct {
		beginning, repeated, bound string
	}{
		"zero bytes":          {"", "\x00", "head"},
		"status line":         {"HTTP/1.1 200 ", "O", "head"},
		"one long field":      {status + "X-Id: ", "a", "head"},
		"many fields":         {status, "X-Mood: blue\r\n", "head"},
		"interim answers":     {"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", "interimAnswers"},
		"long interim answer": {"HTTP/1.1 103 Early Hints\r\n", "Link: a\r\n", "head"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			address := serveEndlessly(t, []byte(test.beginning), []byte(test.repeated))
			var reported []ExceededBound
			received, err := receivedFrom(address, &reported)
			var sent SentError
			var exceeded BoundError
			assert.Assert(t, errors.As(err, &sent) && errors.As(err, &exceeded), "%v", err)
			assert.Equal(t, exceeded.Bound, test.bound)
			assert.Assert(t, received <= MaxHeadBytes+readBuffer, "%d bytes", received)
			assert.Equal(t, len(reported), 1)
			assert.Equal(t, reported[0].Address, address)
		})
	}
}

// Guards against bounds that refuse sound answers.
func TestLongHeadsWithinTheBoundAreRead(t *testing.T) {
	field := "X-Long: " + strings.Repeat("a", MaxHeadBytes-1000) + "\r\n"
	hints := strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", maxInterimAnswers)
	for name, answer := range map[string]string{
		"head":            "HTTP/1.1 200 OK\r\nX-Id: a\r\n" + field + "Content-Length: 0\r\n\r\n",
		"interim answers": hints + "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address := serveEndlessly(t, []byte(answer), []byte(answer))
			_, err := receivedFrom(address, new([]ExceededBound))
			assert.NilError(t, err)
		})
	}
}

// Guards against answers of any form that make a node hold more the longer they last.
func FuzzEndlessAnswer(f *testing.F) {
	for _, seed := range [][2]string{
		{"", "\x00"},
		{"HTTP/1.1 200 OK\r\n", "X-Mood: blue\r\n"},
		{"HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n", "1;a=b\r\n"},
		{"HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n", "1"},
		{"HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Mood: blue\r\n"},
		{"HTTP/1.1 200 OK\r\nX-Id: b\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"},
		{"HTTP/1.1 200 OK\r\nX-Id: b\r\n\r\n", "a"},
		{"", "HTTP/1.1 100 Continue\r\n\r\n"},
	} {
		f.Add([]byte(seed[0]), []byte(seed[1]))
	}
	f.Fuzz(func(t *testing.T, beginning, repeated []byte) {
		if len(repeated) == 0 || len(beginning)+len(repeated) > 4<<10 {
			t.Skip("an endless answer has bytes to repeat, and what is not repeated is short")
		}
		address := serveEndlessly(t, beginning, repeated)
		received, err := receivedFrom(address, new([]ExceededBound))
		// The head and the interim answers of each answer, a dropped body or the part of its own that the test asks for.
		const most = (maxDroppedAnswers + 1) * ((maxInterimAnswers+1)*(MaxHeadBytes+readBuffer) + maxStrayBytes)
		if received > most {
			t.Fatalf("%d bytes were read, %v", received, err)
		}
	})
}

// Guards against answers that end for a long chunk size or trailer without a trace.
func TestLongFramingOfBodyIsReported(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	long := strings.Repeat("x", 2*framingBytes)
	tests := map[string]struct{ text, bound string }{
		"chunk size": {head + "1;" + long, "chunkLine"},
		"trailer":    {head + "0\r\nX-Long: " + long + "\r\n\r\n", "trailer"},
		"sound":      {head + "1\r\nx\r\n0\r\nX-Short: x\r\n\r\n", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(n net.Conn, _ *http.Request, _ *bufio.Reader) bool {
				_, err := io.WriteString(n, test.text)
				return err == nil
			})
			reported := ""
			c := client()
			c.options.BoundExceeded = func(e ExceededBound) { reported += e.Bound }
			_, err := do(t, c, s, get("a"))
			assert.Equal(t, reported, test.bound)
			var exceeded BoundError
			assert.Equal(t, errors.As(err, &exceeded), test.bound != "")
		})
	}
}
