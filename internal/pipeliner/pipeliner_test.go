package pipeliner

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// service is a server that answers after the number of milliseconds in the request's path.
type service struct {
	address    string
	mu         sync.Mutex
	begun      []string
	cancelled  []string
	running    atomic.Int64
	maxRunning atomic.Int64
}

func (s *service) record(list *[]string, path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*list = append(*list, path)
}

func (s *service) list(list *[]string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(*list, " ")
}

func (s *service) serve(w http.ResponseWriter, r *http.Request) {
	s.record(&s.begun, r.URL.Path)
	s.maxRunning.Store(max(s.maxRunning.Load(), s.running.Add(1)))
	defer s.running.Add(-1)
	var milliseconds, size int
	_, _ = fmt.Sscanf(r.URL.Path, "/%d/%d", &milliseconds, &size)
	var body []byte
	if !strings.HasSuffix(r.URL.Path, "unread") {
		body, _ = io.ReadAll(r.Body)
	}
	select {
	case <-time.After(time.Duration(milliseconds) * time.Millisecond):
	case <-r.Context().Done():
		s.record(&s.cancelled, r.URL.Path)
		panic(http.ErrAbortHandler)
	}
	switch {
	case strings.HasSuffix(r.URL.Path, "cut"):
		panic(http.ErrAbortHandler)
	case strings.HasSuffix(r.URL.Path, "close") && MayClose(r.Context()):
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("X-Path", r.URL.Path)
	_, _ = w.Write(append(body, bytes.Repeat([]byte("x"), size)...))
}

func sorted(list string) string {
	paths := strings.Fields(list)
	slices.Sort(paths)
	return strings.Join(paths, " ")
}

func isIdempotent(r *http.Request) bool { return r.Method == http.MethodGet }

func serve(t testing.TB, maxAhead int) *service {
	t.Helper()
	s := &service{}
	p := New(Options{Handler: http.HandlerFunc(s.serve), MaxAhead: maxAhead, MayStartAhead: isIdempotent})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: p, ConnContext: p.Context, IdleTimeout: 3 * time.Second}
	go func() { _ = server.Serve(p.Listen(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	s.address = l.Addr().String()
	return s
}

type caller struct {
	net.Conn
	reader *bufio.Reader
}

func (s *service) call(t testing.TB) *caller {
	t.Helper()
	n, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = n.Close() })
	assert.NilError(t, n.SetDeadline(time.Now().Add(30*time.Second)))
	return &caller{Conn: n, reader: bufio.NewReader(n)}
}

func idempotentRequest(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

func nonIdempotentRequest(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

func chunked(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", path, len(body), body)
}

// chunkedInParts returns a request with a body in several chunks, with extensions and trailers.
func chunkedInParts(rt *rapid.T, path, body string) string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", path)
	extensions := rapid.SampledFrom([]string{"", "", " ", ";a=b", `;a="0 "`})
	for len(body) > 0 {
		n := rapid.IntRange(1, len(body)).Draw(rt, "chunk")
		_, _ = fmt.Fprintf(&b, "%x%s\r\n%s\r\n", n, extensions.Draw(rt, "extension"), body[:n])
		body = body[n:]
	}
	trailers := rapid.SampledFrom([]string{"", "", "A: b\r\n", "A: GET /0/0/smuggled HTTP/1.1\r\nB:\n c\r\n"}).Draw(rt, "trailers")
	return b.String() + "0" + extensions.Draw(rt, "extension") + "\r\n" + trailers + "\r\n"
}

func (c *caller) send(t testing.TB, requests ...string) {
	t.Helper()
	_, err := io.WriteString(c, strings.Join(requests, ""))
	assert.NilError(t, err)
}

// answer returns the path that the next answer is for, and its body.
func (c *caller) answer(t testing.TB) (path, body string) {
	t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	assert.NilError(t, err)
	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.Header.Get("X-Path"), string(data)
}

func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for range 200 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("condition not met within 1 s: %s", what)
}

// A caller sends three idempotent requests at once. Processed one after the other, the first would delay the others; each
// is started at once, and the answers come in the order of the requests.
func TestSlowRequestDoesNotDelayLaterOnes(t *testing.T) {
	s := serve(t, 4)
	c := s.call(t)
	begun := time.Now()
	c.send(t, idempotentRequest("/200/a"), idempotentRequest("/200/b"), idempotentRequest("/200/c"))
	for _, want := range []string{"/200/a", "/200/b", "/200/c"} {
		path, _ := c.answer(t)
		assert.Equal(t, path, want)
	}
	took := time.Since(begun)
	assert.Assert(t, took < 450*time.Millisecond, "took %v", took)
}

// A caller that has sent further requests closes the connection while the first is under way. If its requests were not
// cancelled, endpoints would continue work whose result is not needed, until it occupies all their slots.
func TestClosedConnectionCancelsAllItsRequests(t *testing.T) {
	for name, behind := range map[string][]string{
		"alone":                           nil,
		"idempotent requests behind":      {idempotentRequest("/900/b"), idempotentRequest("/900/c")},
		"a non-idempotent request behind": {nonIdempotentRequest("/900/b", "two rings")},
		"part of a head":                  {"GET /900/b HT"},
		"a body first":                    {idempotentRequest("/900/b")},
		"a chunked body first":            {idempotentRequest("/900/b")},
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, 4)
			c := s.call(t)
			first := idempotentRequest("/900/a")
			switch name {
			case "a body first":
				first = nonIdempotentRequest("/900/a", "one ring")
			case "a chunked body first":
				first = chunked("/900/a", "one ring")
			}
			c.send(t, first)
			eventually(t, "begun", func() bool { return s.running.Load() == 1 })
			for _, request := range behind {
				c.send(t, request)
				time.Sleep(20 * time.Millisecond)
			}
			assert.NilError(t, c.Close())
			left := time.Now()
			eventually(t, "cancelled", func() bool { return s.running.Load() == 0 })
			took := time.Since(left)
			assert.Assert(t, took < 300*time.Millisecond, "took %v", took)
			time.Sleep(50 * time.Millisecond)
			assert.Equal(t, sorted(s.list(&s.begun)), sorted(s.list(&s.cancelled)))
		})
	}
}

// A non-idempotent request is sent behind a slow one. If it were started ahead of its turn, it would run twice when the
// connection ends before its turn and its caller sends it again; so it waits, and so do the requests behind it.
func TestNonIdempotentRequestWaitsForItsTurn(t *testing.T) {
	s := serve(t, 4)
	c := s.call(t)
	c.send(t, idempotentRequest("/150/a"), nonIdempotentRequest("/0/b", "two rings"), idempotentRequest("/0/c"))
	time.Sleep(75 * time.Millisecond)
	assert.Equal(t, s.list(&s.begun), "/150/a")
	for _, want := range [][2]string{{"/150/a", ""}, {"/0/b", "two rings"}, {"/0/c", ""}} {
		path, body := c.answer(t)
		assert.DeepEqual(t, [2]string{path, body}, want)
	}
}

// An answer closes its connection. The caller treats later requests as unread and sends them again elsewhere, so none of
// them may be started. If one has been started already, the connection stays open.
func TestNothingIsStartedBehindAnAnswerThatCloses(t *testing.T) {
	s := serve(t, 4)
	c := s.call(t)
	c.send(t, idempotentRequest("/50/close"))
	eventually(t, "begun", func() bool { return s.running.Load() == 1 })
	time.Sleep(60 * time.Millisecond)
	path, _ := c.answer(t)
	assert.Equal(t, path, "/50/close")
	_, _ = io.WriteString(c, idempotentRequest("/0/b"))
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, s.list(&s.begun), "/50/close")

	kept := s.call(t)
	kept.send(t, idempotentRequest("/50/close"), idempotentRequest("/100/d"), idempotentRequest("/0/e"))
	for _, want := range []string{"/50/close", "/100/d", "/0/e"} {
		path, _ := kept.answer(t)
		assert.Equal(t, path, want)
	}
}

// A handler aborts its answer. The caller must not read what follows on the connection as the rest of that answer, so the
// connection is closed, also if the request was started ahead of its turn.
func TestAbortedAnswerClosesTheConnection(t *testing.T) {
	s := serve(t, 4)
	c := s.call(t)
	c.send(t, idempotentRequest("/50/a"), idempotentRequest("/0/cut"), idempotentRequest("/0/c"))
	path, _ := c.answer(t)
	assert.Equal(t, path, "/50/a")
	_, err := http.ReadResponse(c.reader, nil)
	assert.Assert(t, err != nil)
}

// A caller sends thousands of requests without reading an answer. Each held or started request takes memory, which other
// callers would then lack.
func TestReadAheadIsBounded(t *testing.T) {
	s := serve(t, 4)
	c := s.call(t)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	c.send(t, idempotentRequest("/600/0"))
	sent := make(chan error, 1)
	go func() {
		many := strings.Repeat(idempotentRequest("/1/0"), 100)
		for range 60 {
			if _, err := io.WriteString(c, many); err != nil {
				sent <- err
				return
			}
		}
		sent <- nil
	}()
	time.Sleep(300 * time.Millisecond)
	runtime.GC()
	runtime.ReadMemStats(&after)
	assert.Assert(t, s.maxRunning.Load() <= 5, "%d at once", s.maxRunning.Load())
	held := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	assert.Assert(t, held < 1<<20, "%d bytes", held)
	for range 6_001 {
		response, err := http.ReadResponse(c.reader, nil)
		assert.NilError(t, err)
		_, _ = io.Copy(io.Discard, response.Body)
	}
	assert.NilError(t, <-sent)
}

// Answers larger than the buffer wait for their turn and are sent completely.
func TestLargeAnswerWaitsForItsTurn(t *testing.T) {
	s := serve(t, 4)
	c := s.call(t)
	c.send(t, idempotentRequest("/100/0"), idempotentRequest("/0/300000"), idempotentRequest("/0/7"))
	for _, want := range []int{0, 300000, 7} {
		_, body := c.answer(t)
		assert.Equal(t, len(body), want)
	}
}

// For any mix of requests, sent in pieces of any size, each gets its own answer, in order, and none is started twice. A
// connection that loses track of the request boundaries would parse a body as a request (request smuggling).
func TestEachRequestGetsItsOwnAnswer(t *testing.T) {
	s := serve(t, 3)
	serial := 0
	rapid.Check(t, func(rt *rapid.T) {
		c := s.call(t)
		defer c.Close()
		var all, want []string
		for range rapid.IntRange(1, 12).Draw(rt, "requests") {
			serial++
			path := fmt.Sprintf("/%d/%d/%d%s", rapid.IntRange(0, 3).Draw(rt, "ms"),
				rapid.SampledFrom([]int{0, 9, 6000}).Draw(rt, "size"), serial,
				rapid.SampledFrom([]string{"", "unread"}).Draw(rt, "read"))
			hidden := idempotentRequest("/0/0/smuggled")
			body := hidden[:rapid.IntRange(1, len(hidden)).Draw(rt, "body")]
			kind := rapid.SampledFrom([]func() string{
				func() string { return idempotentRequest(path) },
				func() string { return idempotentRequest(path) },
				func() string { return nonIdempotentRequest(path, body) },
				func() string { return chunkedInParts(rt, path, body) },
				func() string { return "GET " + path + " HTTP/1.1\nHost: a\n\n" },
			}).Draw(rt, "kind")
			all, want = append(all, kind()), append(want, path)
		}
		bytesSent := []byte(strings.Join(all, ""))
		for len(bytesSent) > 0 {
			n := rapid.IntRange(1, min(len(bytesSent), 300)).Draw(rt, "piece")
			_, err := c.Write(bytesSent[:n])
			assert.NilError(rt, err)
			bytesSent = bytesSent[n:]
		}
		for _, path := range want {
			got, _ := c.answer(t)
			assert.Equal(rt, got, path)
		}
		begun := s.list(&s.begun)
		assert.Assert(rt, !strings.Contains(begun, "smuggled"))
		for _, path := range want {
			assert.Equal(rt, strings.Count(" "+begun+" ", " "+path+" "), 1, path)
		}
	})
}

// On a connection that was not accepted through Listen, the handler works as usual.
func TestHandlerWorksWithoutPipelinedConnection(t *testing.T) {
	p := New(Options{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprint(w, MayClose(r.Context()))
	})})
	w := httptest.NewRecorder()
	p.ServeHTTP(w, httptest.NewRequestWithContext(context.Background(), http.MethodGet, "/", nil))
	assert.Equal(t, w.Body.String(), "true")
}
