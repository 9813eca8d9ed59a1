package relayer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
	"github.com/jackdawtide/jackdawtide/internal/pooler"
)

func respondWith(text string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }
}

// pair is an entry node whose own endpoint serves another service, and a node beside an endpoint of the called one.
func pair(t testing.TB, c matcher.Configuration, respond func(http.ResponseWriter, *http.Request)) (*node, *node, *endpoint) {
	t.Helper()
	e := newEndpoint(t, respond)
	entry := newNode(t, "entry", "desk", newEndpoint(t, respondWith("desk")))
	beside := newNode(t, "beside", "portal", e)
	entry.configure(t, c)
	beside.configure(t, c)
	exchangeMembers(entry, beside)
	return entry, beside, e
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	entry, _, e := pair(t, configurationOf(matcher.Idempotent, 2), respondWith("hello"))
	got := sendRequest(t, entry, func(r *http.Request) {
		r.Header.Set("X-Custom", "kept")
		r.Header.Set(names.Team, "forged")
		r.Header.Set(names.Origin, "forged")
		r.Header.Set(names.Target, "forged")
		r.Header.Set("Jackdaw-Call", "1 1 1 0 - i-forged")
		r.Header.Set("Connection", "X-Hop")
		r.Header.Set("X-Hop", "dropped")
	})
	assert.Equal(t, got.StatusCode, 200)
	assert.Equal(t, got.text, "hello")
	assert.Equal(t, got.Header.Get(names.Signature), "signed")
	assert.Equal(t, got.Header.Get(stateField), "")
	seen, _ := e.last()
	assert.Equal(t, seen.RequestURI, "/obs/1?q=2")
	assert.Equal(t, seen.Host, "h.example")
	assert.Equal(t, seen.Header.Get("X-Custom"), "kept")
	assert.Equal(t, seen.Header.Get(names.Team), "parish")
	assert.Equal(t, seen.Header.Get(names.Origin), "desk")
	assert.Equal(t, seen.Header.Get(names.Target), "i-beside")
	assert.Equal(t, seen.Header.Get(names.Key), "")
	assert.Equal(t, seen.Header.Get("X-Hop"), "")
	for name := range seen.Header {
		assert.Assert(t, !strings.HasPrefix(name, fleetPrefix), name)
	}
}

func TestRefusals(t *testing.T) {
	entry, _, e := pair(t, configurationOf(matcher.Idempotent, 2), respondWith("hello"))
	tests := map[string]struct {
		change func(*http.Request)
		want   int
	}{
		"unknown key":  {func(r *http.Request) { r.Header.Set(names.Key, "Key x") }, 401},
		"no key":       {func(r *http.Request) { r.Header.Del(names.Key) }, 401},
		"no route":     {func(r *http.Request) { r.URL.Path = "/none/" }, 404},
		"unknown host": {func(r *http.Request) { r.Host = "x.example" }, 404},
		"public route": {func(r *http.Request) { r.URL.Path = "/public/1"; r.Header.Del(names.Key) }, 200},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { assert.Equal(t, sendRequest(t, entry, test.change).StatusCode, test.want) })
	}
	assert.Equal(t, e.count(), 1)
}

func TestNoConfigurationYet(t *testing.T) {
	entry := newNode(t, "entry", "desk", newEndpoint(t, respondWith("desk")))
	got := sendRequest(t, entry, nil)
	assert.Equal(t, got.StatusCode, 503)
	assert.Assert(t, got.Header.Get("Retry-After") != "")
}

// Bodies of all lengths, with a length and in chunks, must reach the endpoint as they were sent.
func TestBodiesAreForwardedWhole(t *testing.T) {
	entry, _, e := pair(t, configurationOf(matcher.Upload, 2), respondWith("taken"))
	tests := map[string]struct {
		size    int
		chunked bool
	}{
		"small": {100, false}, "long": {500000, false}, "small chunked": {100, true}, "long chunked": {500000, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			body := bytes.Repeat([]byte("abcdefg"), test.size/7)
			got := sendRequest(t, entry, func(r *http.Request) {
				r.Method = http.MethodPost
				r.Body = io.NopCloser(bytes.NewReader(body))
				r.ContentLength = int64(len(body))
				if test.chunked {
					r.ContentLength = -1
				}
			})
			assert.Equal(t, got.StatusCode, 200)
			_, taken := e.last()
			assert.Assert(t, taken == string(body))
		})
	}
}

// The endpoint has announced that it leaves; the node beside it knows, the entry does not yet. The request must not
// reach the endpoint, and the caller is told truly that it has not run.
func TestLeavingEndpointGetsNoRequests(t *testing.T) {
	entry, beside, e := pair(t, configurationOf(matcher.NonIdempotent, 2), respondWith("hello"))
	beside.announce("beside", true)
	ticking, stop := context.WithCancel(context.Background())
	defer stop()
	go tickUntilDone(ticking, entry, beside)
	got := sendRequest(t, entry, nil)
	assert.Equal(t, got.StatusCode, 503)
	assert.Assert(t, got.Header.Get("Retry-After") != "")
	assert.Equal(t, e.count(), 0)
}

// All VMs have lost power. Their endpoints have started anew under other names, which the nodes beside them know and the entry
// does not: it goes by the store's records from before. Told only that the endpoint has moved, callers would be refused
// until the new record has come round, some hundreds of milliseconds.
func TestRenamedEndpointIsLearnedFromMovedAnswer(t *testing.T) {
	entry, beside, e := pair(t, configurationOf(matcher.NonIdempotent, 2), respondWith("hello"))
	beside.ApplyEvent(conductor.EndpointRemoved{Endpoint: "i-beside"})
	beside.announce("anew", false)
	got := sendRequest(t, entry, nil)
	assert.Equal(t, got.StatusCode, 200, got.text)
	seen, _ := e.last()
	assert.Equal(t, seen.Header.Get(names.Target), "i-anew")
	assert.Equal(t, e.count(), 1)
}

// The endpoint says that it did not run the request: another one may run it, even if it must not run twice.
func TestDeclinedRequestIsSentToAnotherEndpoint(t *testing.T) {
	full := newEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(503)
	})
	free := newEndpoint(t, respondWith("free"))
	entry := newNode(t, "entry", "desk", newEndpoint(t, respondWith("desk")))
	a, b := newNode(t, "a", "portal", full), newNode(t, "b", "portal", free)
	for _, n := range []*node{entry, a, b} {
		n.configure(t, configurationOf(matcher.NonIdempotent, 2))
	}
	exchangeMembers(entry, a, b)
	for range 3 {
		got := sendRequest(t, entry, nil)
		if got.StatusCode == 200 {
			assert.Equal(t, got.text, "free")
			continue
		}
		// Out of repeats; the refusal is still true.
		assert.Equal(t, got.StatusCode, 503)
	}
	assert.Assert(t, free.count() >= 1)
}

// closeWithoutAnswer takes a request and closes the connection without an answer.
func closeWithoutAnswer(w http.ResponseWriter, _ *http.Request) {
	n, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = n.Close()
	}
}

// The endpoint ran an order and its answer was lost. Sent again, the order would be placed twice; called "not run",
// the caller would do it.
func TestLostAnswerOfNonIdempotentRequest(t *testing.T) {
	entry, _, e := pair(t, configurationOf(matcher.NonIdempotent, 2), closeWithoutAnswer)
	got := sendRequest(t, entry, nil)
	assert.Equal(t, got.StatusCode, 502)
	assert.Equal(t, e.count(), 1)
}

// The answer to a lookup is lost at one endpoint; another one can give it.
func TestLostAnswerOfIdempotentRequestIsRetried(t *testing.T) {
	lossy := newEndpoint(t, closeWithoutAnswer)
	sound := newEndpoint(t, respondWith("sound"))
	entry := newNode(t, "entry", "desk", newEndpoint(t, respondWith("desk")))
	a, b := newNode(t, "a", "portal", lossy), newNode(t, "b", "portal", sound)
	for _, n := range []*node{entry, a, b} {
		n.configure(t, configurationOf(matcher.Idempotent, 2))
	}
	exchangeMembers(entry, a, b)
	got := sendRequest(t, entry, nil)
	assert.Equal(t, got.StatusCode, 200)
	assert.Equal(t, got.text, "sound")
}

// The endpoint breaks off within its answer. The caller must not take the part for the whole.
func TestTruncatedAnswerIsNotForwarded(t *testing.T) {
	entry, _, _ := pair(t, configurationOf(matcher.NonIdempotent, 2), func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "part")
		panic(http.ErrAbortHandler)
	})
	assert.Equal(t, sendRequest(t, entry, nil).StatusCode, 502)
}

// The endpoint sends an answer without a length and is reset within it. A lookup can be asked for again as long as none of
// the answer was passed on; its caller would else see a connection that ends, and with it lose what it sent behind.
func TestTruncatedAnswerWithoutLengthIsRetried(t *testing.T) {
	lossy := newEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		n, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(n, "HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get("X-Id")+"\r\n\r\npart")
		time.Sleep(30 * time.Millisecond)
		_ = n.(*net.TCPConn).SetLinger(0)
		_ = n.Close()
	})
	entry := newNode(t, "entry", "desk", newEndpoint(t, respondWith("desk")))
	a, b := newNode(t, "a", "portal", lossy), newNode(t, "b", "portal", newEndpoint(t, respondWith("whole")))
	for _, n := range []*node{entry, a, b} {
		n.configure(t, configurationOf(matcher.Idempotent, 2))
	}
	exchangeMembers(entry, a, b)
	got := sendRequest(t, entry, nil)
	assert.Equal(t, got.StatusCode, 200)
	assert.Equal(t, got.text, "whole")
	assert.Equal(t, lossy.count(), 1)
}

// A caller asks for an answer's head only. The head says how long the body would be, and no body comes; taken for an answer
// that broke off, each such request would fail.
func TestHeadRequest(t *testing.T) {
	entry, _, _ := pair(t, configurationOf(matcher.Idempotent, 2), func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
	})
	got := sendRequest(t, entry, func(r *http.Request) { r.Method = http.MethodHead })
	assert.Equal(t, got.StatusCode, 200)
	assert.Equal(t, got.Header.Get("Content-Length"), "100")
}

// An answer may have no length and end with its connection, and one may be much longer than what is held at once.
func TestStreamedAnswers(t *testing.T) {
	long := strings.Repeat("0123456789", 50000)
	tests := map[string]func(http.ResponseWriter, *http.Request){
		"long": func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, long) },
		"unframed": func(w http.ResponseWriter, r *http.Request) {
			n, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			_, _ = io.WriteString(n, "HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get("X-Id")+"\r\n\r\n"+long)
			_ = n.Close()
		},
	}
	for name, respond := range tests {
		t.Run(name, func(t *testing.T) {
			entry, _, _ := pair(t, configurationOf(matcher.Idempotent, 2), respond)
			got := sendRequest(t, entry, nil)
			assert.Equal(t, got.StatusCode, 200)
			assert.Assert(t, got.text == long)
		})
	}
}

// The route's timeout is shorter than the caller's patience, and the endpoint is slower than both: the caller gets a
// final answer when the time is up.
func TestRouteTimeout(t *testing.T) {
	c := configurationOf(matcher.Idempotent, 2)
	c.Routes[0].Timeout = 200
	entry, _, e := pair(t, c, func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-time.After(2 * time.Second):
		}
	})
	started := time.Now()
	got := sendRequest(t, entry, nil)
	took := time.Since(started)
	assert.Equal(t, got.StatusCode, 504)
	assert.Assert(t, took > 150*time.Millisecond && took < 600*time.Millisecond, "took %v", took)
	seen, _ := e.last()
	left, err := time.ParseDuration(seen.Header.Get(names.TimeLeft) + "ms")
	assert.NilError(t, err)
	assert.Assert(t, left <= 200*time.Millisecond && left > 100*time.Millisecond, "left %v", left)
}

// The caller leaves. Two nodes further the endpoint must learn of it soon, or it works for nobody.
func TestCallerDisconnects(t *testing.T) {
	started := make(chan struct{}, 1)
	gone := make(chan struct{}, 1)
	entry, _, _ := pair(t, configurationOf(matcher.Idempotent, 1), func(_ http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-r.Context().Done()
		gone <- struct{}{}
	})
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, entry.outbound.URL+"/obs/1", nil)
	assert.NilError(t, err)
	r.Host = "h.example"
	r.Header.Set(names.RequestID, "leaver")
	r.Header.Set(names.Key, "Key k")
	go func() {
		<-started
		cancel()
	}()
	_, err = http.DefaultClient.Do(r)
	assert.Assert(t, err != nil)
	select {
	case <-gone:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the endpoint still works")
	}
}

// All slots are taken. What waits gets the next slot; what can't wait that long is turned away before it reaches the
// endpoint.
func TestFullEndpoint(t *testing.T) {
	release := make(chan struct{})
	open := sync.OnceFunc(func() { close(release) })
	entry, beside, e := pair(t, configurationOf(matcher.Idempotent, 1), func(w http.ResponseWriter, _ *http.Request) {
		<-release
		_, _ = io.WriteString(w, "done")
	})
	t.Cleanup(open)
	ticking, stop := context.WithCancel(context.Background())
	defer stop()
	go tickUntilDone(ticking, entry, beside)
	answers := make(chan int, 5)
	for range 4 {
		go func() { answers <- sendRequest(t, entry, nil).StatusCode }()
	}
	for i := 0; i < 200 && e.count() < 3; i++ {
		time.Sleep(5 * time.Millisecond)
	}
	// Slots 4 with a part kept free are 3: the fourth waits for a quarter of its objective, and no longer.
	assert.Equal(t, <-answers, 503)
	assert.Equal(t, e.count(), 3)
	open()
	for range 3 {
		assert.Equal(t, <-answers, 200)
	}
}

// A node of the called service is cut off without a word: connections to it hang or are refused. The request goes to
// the other one.
func TestUnreachableNodeIsSkipped(t *testing.T) {
	entry, beside, _ := pair(t, configurationOf(matcher.NonIdempotent, 2), respondWith("hello"))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	dead := beside.member
	dead.Node, dead.Endpoint, dead.DeliveryAddress = "dead", "i-dead", l.Addr().String()
	assert.NilError(t, l.Close())
	learnMember(entry, dead)
	for range 10 {
		assert.Equal(t, sendRequest(t, entry, nil).StatusCode, 200)
	}
}

// A node is stopping while callers go on using their connections. Each must get its answer, and learn from it that
// the connection ends; a connection closed from this side could cut a request that is just being read.
func TestStoppingNodeClosesConnectionsAfterAnswers(t *testing.T) {
	entry, _, _ := pair(t, configurationOf(matcher.Idempotent, 1), respondWith("hello"))
	assert.Assert(t, !sendRequest(t, entry, nil).Close)
	entry.Stop()
	got := sendRequest(t, entry, nil)
	assert.Equal(t, got.StatusCode, 200)
	assert.Assert(t, got.Close)
	got = sendRequest(t, entry, func(r *http.Request) { r.URL.Path = "/none/" })
	assert.Equal(t, got.StatusCode, 404)
	assert.Assert(t, got.Close)
}

// More connections are open than a node should keep, as when refused callers come back on new ones again and again. Each
// answer ends its connection then; before, they were all kept until no new one could be accepted, and callers waited
// for seconds on connections that nobody read.
func TestNodeOverConnectionLimitClosesConnections(t *testing.T) {
	entry, beside, _ := pair(t, configurationOf(matcher.Idempotent, 1), respondWith("hello"))
	got := sendRequest(t, entry, nil)
	assert.Assert(t, !got.Close)
	assert.Equal(t, got.Header.Get("Keep-Alive"), keepAliveValue)
	entry.options.Connections.Add(1000)
	beside.options.Connections.Add(1000)
	got = sendRequest(t, entry, nil)
	assert.Equal(t, got.StatusCode, 200)
	assert.Assert(t, got.Close)
	got = sendRequest(t, entry, func(r *http.Request) { r.URL.Path = "/none/" })
	assert.Equal(t, got.StatusCode, 404)
	assert.Assert(t, got.Close)
	assert.Equal(t, entry.options.Connections.Open(), int64(1000))
}

// A token is asked for at the node with a team's bucket, and the request goes on when it is there; where that node is
// gone, this node's own part lets the first request through.
func TestTokenIsDrawnFromAnotherNode(t *testing.T) {
	c := configurationOf(matcher.Idempotent, 1)
	team := &c.Teams[0]
	team.Rate, team.Burst = 4, 4
	for i := 0; pooler.Weight(team.Name, "beside") < pooler.Weight(team.Name, "entry"); i++ {
		team.Name = identifier.Team(fmt.Sprint("parish-", i))
	}
	entry, beside, _ := pair(t, c, respondWith("hello"))
	var questions atomic.Int32
	peers := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		questions.Add(1)
		beside.ServeTokens(w, r)
	}))
	beside.member.PeerAddress = strings.TrimPrefix(peers.URL, "http://")
	beside.member.Sequence++
	learnMember(entry, beside.member)
	learnMember(beside, entry.member)
	granted := 0
	for range 20 {
		got := sendRequest(t, entry, nil)
		if got.StatusCode == http.StatusOK {
			granted++
			continue
		}
		assert.Equal(t, got.StatusCode, http.StatusTooManyRequests)
		assert.Assert(t, got.Header.Get("Retry-After") != "")
	}
	assert.Assert(t, granted >= 1 && granted <= 4, "%d", granted)
	assert.Assert(t, questions.Load() > 0)
	peers.Close()
	time.Sleep(400 * time.Millisecond)
	assert.Equal(t, sendRequest(t, entry, nil).StatusCode, http.StatusTooManyRequests)
}

// A caller that is refused for now comes back on a new connection. One that is told that there is nothing for it goes on
// using the one that it has.
func TestRetryableRefusalClosesConnection(t *testing.T) {
	c := configurationOf(matcher.Idempotent, 1)
	c.Teams[0].Rate, c.Teams[0].Burst = 0.1, 0.1
	entry, _, _ := pair(t, c, respondWith("hello"))
	statuses := map[int]bool{}
	for range 4 {
		got := sendRequest(t, entry, nil)
		statuses[got.StatusCode] = true
		assert.Equal(t, got.Close, got.StatusCode == http.StatusTooManyRequests)
	}
	assert.Assert(t, statuses[http.StatusTooManyRequests])
	assert.Assert(t, !sendRequest(t, entry, func(r *http.Request) { r.URL.Path = "/none/" }).Close)
}

// endlessBody gives bytes without end, as a body in chunks whose length nobody has said.
type endlessBody struct{}

func (endlessBody) Read(p []byte) (int, error) { return len(p), nil }

// A body comes in chunks and goes over the limit, so that it is noticed only on the way. The caller must be told so at once:
// before, the endpoint waited for the rest until the time was up, and the caller was told that the time was up.
func TestChunkedBodyOverTheLimitIsRefusedAtOnce(t *testing.T) {
	c := configurationOf(matcher.Upload, 1)
	c.Limits.BodyBytes = 100_000
	entry, _, _ := pair(t, c, respondWith("hello"))
	begun := time.Now()
	got := sendRequest(t, entry, func(r *http.Request) {
		r.Method, r.Body, r.ContentLength = http.MethodPost, io.NopCloser(io.LimitReader(endlessBody{}, 300_000)), -1
	})
	assert.Equal(t, got.StatusCode, http.StatusRequestEntityTooLarge)
	assert.Assert(t, got.Close)
	assert.Assert(t, time.Since(begun) < 500*time.Millisecond)
}

// The node that a lookup waits for can't be reached any more. Its caller is told at once instead of when the time is up,
// and can ask again; an order goes on waiting, since it may be running.
func TestAttemptAtUnreachableNodeIsAborted(t *testing.T) {
	for name, test := range map[string]struct {
		kind matcher.Kind
		ends bool
	}{
		"lookup": {matcher.Idempotent, true},
		"order":  {matcher.NonIdempotent, false},
	} {
		t.Run(name, func(t *testing.T) {
			entry, _, e := pair(t, configurationOf(test.kind, 1), func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(600 * time.Millisecond)
				_, _ = io.WriteString(w, "late")
			})
			go func() {
				for e.count() == 0 {
					time.Sleep(5 * time.Millisecond)
				}
				entry.ApplyEvent(conductor.Probed{Node: "beside"})
			}()
			begun := time.Now()
			got := sendRequest(t, entry, nil)
			if test.ends {
				assert.Equal(t, got.StatusCode, http.StatusBadGateway)
				assert.Assert(t, time.Since(begun) < 400*time.Millisecond)
				return
			}
			assert.Equal(t, got.StatusCode, http.StatusOK)
		})
	}
}

func TestProbe(t *testing.T) {
	entry, beside, _ := pair(t, configurationOf(matcher.Idempotent, 1), respondWith("hello"))
	entry.ApplyEvent(conductor.Probed{Node: "beside"})
	entry.probe(conductor.Probe{Node: "beside", Address: beside.member.DeliveryAddress})
	entry.View(func(c *conductor.Conductor, _ clock.Time) { assert.Assert(t, !c.Lost("beside")) })
}
