package relayer

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
	"github.com/jackdawtide/jackdawtide/internal/pipeliner"
)

// received is what an endpoint got of an upload; whole is whether it ended regularly.
type received struct {
	id    string
	body  []byte
	whole bool
}

// earlyAnswer is how an endpoint answers an upload: after so many bytes of its body, with a pause before it reads on.
type earlyAnswer struct {
	after   int64
	body    []byte
	chunked bool
	pause   time.Duration
}

// newEarlyEndpoint returns an endpoint that reads a part of each upload, answers it, and reads on.
func newEarlyEndpoint(t *testing.T, answerTo func(r *http.Request) earlyAnswer) (*endpoint, <-chan received) {
	t.Helper()
	got := make(chan received, 1000)
	address := listen(t, func(n net.Conn) {
		reader := bufio.NewReader(n)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			id, answer := r.Header.Get(names.RequestID), answerTo(r)
			var body bytes.Buffer
			_, err = io.CopyN(&body, r.Body, answer.after)
			if err == nil {
				head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n", names.RequestID, id)
				if answer.chunked {
					_, _ = fmt.Fprintf(n, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(answer.body), answer.body)
				} else {
					_, _ = fmt.Fprintf(n, "%sContent-Length: %d\r\n\r\n%s", head, len(answer.body), answer.body)
				}
				time.Sleep(answer.pause)
				_, err = io.Copy(&body, r.Body)
			}
			got <- received{id: id, body: body.Bytes(), whole: err == nil}
			if err != nil {
				return
			}
		}
	})
	return &endpoint{Server: &httptest.Server{URL: "http://" + address}}, got
}

// pipelined returns the address of a listener that serves callers as a node does.
func pipelined(t *testing.T, n *node) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := pipeliner.New(pipeliner.Options{Handler: http.HandlerFunc(n.ServeOutbound), MaxAhead: 4, MayStartAhead: n.MayPipeline})
	server := &http.Server{Handler: p, ConnContext: p.Context}
	go func() { _ = server.Serve(p.Listen(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// uploader is a caller that sends an upload in two parts.
type uploader struct {
	net.Conn
	reader  *bufio.Reader
	chunked bool
}

func newUploader(t *testing.T, address string, chunked bool) *uploader {
	t.Helper()
	n, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = n.Close() })
	assert.NilError(t, n.SetDeadline(time.Now().Add(5*time.Second)))
	return &uploader{Conn: n, reader: bufio.NewReader(n), chunked: chunked}
}

// begin sends the head of an upload; it returns the answer of a node that refuses it instead of waiting for its body.
func (u *uploader) begin(id string, length int, left clock.Duration, expects bool) (*http.Response, error) {
	head := fmt.Sprintf("POST /obs/1 HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: %d\r\n%s: Key k\r\n",
		names.RequestID, id, names.TimeLeft, left, names.Key)
	if expects {
		head += "Expect: 100-continue\r\n"
	}
	if u.chunked {
		head += "Transfer-Encoding: chunked\r\n\r\n"
	} else {
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", length)
	}
	if _, err := io.WriteString(u, head); err != nil || !expects {
		return nil, err
	}
	response, err := http.ReadResponse(u.reader, nil)
	if err == nil && response.StatusCode == http.StatusContinue {
		return nil, nil
	}
	return response, err
}

func (u *uploader) write(part []byte) error {
	text := string(part)
	if u.chunked {
		text = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
	}
	_, err := io.WriteString(u, text)
	return err
}

func (u *uploader) writeEnd() error {
	if !u.chunked {
		return nil
	}
	_, err := io.WriteString(u, "0\r\n\r\n")
	return err
}

func uploadOf(size int) []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < size; i++ {
		_, _ = fmt.Fprintf(&b, "block %06d ", i)
	}
	return b.Bytes()[:size]
}

// waitUntil waits up to a second for a condition.
func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), what)
	}
}

func running(n *node) (count int64) {
	n.View(func(c *conductor.Conductor, now clock.Time) { count = int64(c.Dump(now).Running) })
	return count
}

// earlyNodes returns the nodes at whose outbound address a caller reaches the endpoint, by their distance to it; the node beside
// the endpoint comes last.
func earlyNodes(t *testing.T, e *endpoint) map[string][]*node {
	t.Helper()
	a := newNode(t, "a", "portal", e)
	entry := newNode(t, "entry", "desk", newEndpoint(t, respondWith("desk")))
	for _, n := range []*node{entry, a} {
		c := configurationOf(matcher.NonIdempotent, 1)
		// The keys of a team are proved for some seconds only.
		c.Teams = nil
		n.configure(t, c)
	}
	exchangeMembers(entry, a)
	return map[string][]*node{"from its own node": {a}, "through another node": {entry, a}}
}

// Guards against an upload that loses bytes, or breaks off although all parties are sound, after an endpoint has answered before
// its end; and against an early answer that comes only with that end.
func TestUploadGoesOnAfterEarlyAnswer(t *testing.T) {
	const size, first = 600_000, 40_000
	upload := uploadOf(size)
	for _, answerBytes := range []int{1, 6_000, 100_000, 3_000_000} {
		for _, answerChunked := range []bool{false, true} {
			answer := bytes.Repeat([]byte("e"), answerBytes)
			e, got := newEarlyEndpoint(t, func(*http.Request) earlyAnswer {
				return earlyAnswer{after: 4000, body: answer, chunked: answerChunked}
			})
			for way, nodes := range earlyNodes(t, e) {
				address := pipelined(t, nodes[0])
				for _, chunked := range []bool{false, true} {
					for _, expects := range []bool{false, true} {
						name := fmt.Sprintf("%s, answer of %d bytes, chunked %t, upload chunked %t, expects %t", way, answerBytes, answerChunked, chunked, expects)
						t.Run(name, func(t *testing.T) {
							u := newUploader(t, address, chunked)
							for i := range 2 {
								refused, err := u.begin(fmt.Sprintf("%s %d", strings.ReplaceAll(name, " ", "-"), i), size, 2000, expects)
								assert.NilError(t, err)
								assert.Assert(t, refused == nil)
								assert.NilError(t, u.write(upload[:first]))
								response, err := http.ReadResponse(u.reader, nil)
								assert.NilError(t, err)
								assert.Equal(t, response.StatusCode, http.StatusOK)
								body := make([]byte, answerBytes)
								_, err = io.ReadFull(response.Body, body)
								assert.NilError(t, err)
								assert.Assert(t, bytes.Equal(body, answer))
								for rest := upload[first:]; len(rest) > 0; rest = rest[min(len(rest), 30_000):] {
									assert.NilError(t, u.write(rest[:min(len(rest), 30_000)]))
								}
								assert.NilError(t, u.writeEnd())
								r := <-got
								assert.Assert(t, r.whole, "%d bytes", len(r.body))
								assert.Assert(t, bytes.Equal(r.body, upload), "%d bytes", len(r.body))
								n, err := io.Copy(io.Discard, response.Body)
								assert.NilError(t, err)
								assert.Equal(t, n, int64(0))
								if response.Close {
									return
								}
							}
						})
					}
				}
			}
		}
	}
}

// Guards against a damaged upload that ends regularly, and against slots and connections that are held for a caller who stops
// sending after an early answer.
func TestUploadThatStopsAfterEarlyAnswerBreaksOff(t *testing.T) {
	const size, first = 600_000, 40_000
	upload := uploadOf(size)
	tests := map[string]func(t *testing.T, u *uploader){
		"the caller leaves":                func(_ *testing.T, u *uploader) { _ = u.Close() },
		"the caller sends nothing more":    func(*testing.T, *uploader) {},
		"the caller leaves while it sends": func(t *testing.T, u *uploader) { assert.NilError(t, u.write(upload[first:3*first])); _ = u.Close() },
	}
	for _, answerBytes := range []int{6_000, 100_000} {
		e, got := newEarlyEndpoint(t, func(*http.Request) earlyAnswer {
			return earlyAnswer{after: 4000, body: make([]byte, answerBytes)}
		})
		for way, nodes := range earlyNodes(t, e) {
			address := pipelined(t, nodes[0])
			for name, leave := range tests {
				for _, chunked := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s, %s, answer of %d bytes, chunked %t", way, name, answerBytes, chunked), func(t *testing.T) {
						u := newUploader(t, address, chunked)
						begun := time.Now()
						refused, err := u.begin(fmt.Sprint(begun.UnixNano()), size, 500, false)
						assert.NilError(t, err)
						assert.Assert(t, refused == nil)
						assert.NilError(t, u.write(upload[:first]))
						response, err := http.ReadResponse(u.reader, nil)
						assert.NilError(t, err)
						body, err := io.ReadAll(io.LimitReader(response.Body, int64(answerBytes)))
						assert.NilError(t, err)
						assert.Equal(t, response.StatusCode, http.StatusOK, "%s", body)
						assert.Equal(t, len(body), answerBytes)
						leave(t, u)
						r := <-got
						assert.Assert(t, !r.whole, "%d bytes", len(r.body))
						assert.Assert(t, bytes.HasPrefix(upload, r.body), "%d bytes", len(r.body))
						beside := nodes[len(nodes)-1]
						waitUntil(t, "the slot is free", func() bool { return running(beside) == 0 })
						// The connection has ended, or it was closed by the caller.
						_, err = io.Copy(io.Discard, u.reader)
						assert.Assert(t, !isTimeout(err), "%v", err)
						assert.Assert(t, time.Since(begun) < 1500*time.Millisecond)
					})
				}
			}
		}
	}
}

// Guards against a node that ends since the body's reader changes the header of an answer that is being written.
func TestUploadOverTheLimitAfterEarlyAnswerBreaksOff(t *testing.T) {
	const size, limit = 600_000, 100_000
	e, got := newEarlyEndpoint(t, func(*http.Request) earlyAnswer { return earlyAnswer{after: 4000, body: make([]byte, 70_000)} })
	n := newNode(t, "a", "portal", e)
	c := configurationOf(matcher.NonIdempotent, 1)
	c.Teams, c.Limits.BodyBytes = nil, limit
	n.configure(t, c)
	address := pipelined(t, n)
	for i := range 10 {
		u := newUploader(t, address, true)
		_, err := u.begin(fmt.Sprint("r", i), size, 4500, false)
		assert.NilError(t, err)
		// The node may close the connection while the rest is sent.
		_ = u.write(uploadOf(size))
		answer, _ := io.ReadAll(u.reader)
		var r received
		select {
		case r = <-got:
		case <-time.After(10 * time.Second):
			t.Fatalf("upload %d did not reach the endpoint: %.300q", i, answer)
		}
		assert.Assert(t, !r.whole)
		assert.Assert(t, len(r.body) <= limit && bytes.HasPrefix(uploadOf(size), r.body), "%d bytes", len(r.body))
	}
	waitUntil(t, "the slots are free", func() bool { return running(n) == 0 })
}
