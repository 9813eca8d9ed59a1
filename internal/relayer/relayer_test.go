package relayer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
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

// pair returns an entry node whose local endpoint serves another service, a node beside an endpoint of the called service,
// and that endpoint.
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

// Bodies of all sizes, with a content length or chunked, must reach the endpoint as they were sent.
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

// The endpoint has announced that it is leaving; the node beside it knows this, the entry does not yet. The request must not
// reach the endpoint, and the caller must be told that it has not run.
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

// After a power loss of all VMs the endpoints have restarted under other ids. The nodes beside them know the new ids, but the
// entry still has the old records from the store. If a Moved answer did not carry the new record, callers would be refused
// until that record is distributed, which takes some hundreds of milliseconds.
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

// An endpoint declines a request without running it: even a non-idempotent request may then run at another endpoint.
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
		// The retry budget is used up; the refusal still states correctly that the request has not run.
		assert.Equal(t, got.StatusCode, 503)
	}
	assert.Assert(t, free.count() >= 1)
}

// closeWithoutAnswer reads a request and closes its connection without an answer.
func closeWithoutAnswer(w http.ResponseWriter, _ *http.Request) {
	n, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = n.Close()
	}
}

// The endpoint ran a non-idempotent request and its answer was lost. A retry would run it twice, and so would the caller if
// it were told that the request has not run.
func TestLostAnswerOfNonIdempotentRequest(t *testing.T) {
	entry, _, e := pair(t, configurationOf(matcher.NonIdempotent, 2), closeWithoutAnswer)
	got := sendRequest(t, entry, nil)
	assert.Equal(t, got.StatusCode, 502)
	assert.Equal(t, e.count(), 1)
}

// The answer to an idempotent request is lost at one endpoint; another endpoint can still answer it.
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

// The endpoint closes the connection within its answer. The truncated answer must not look complete to the caller.
func TestTruncatedAnswerIsNotForwarded(t *testing.T) {
	entry, _, _ := pair(t, configurationOf(matcher.NonIdempotent, 2), func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "part")
		panic(http.ErrAbortHandler)
	})
	assert.Equal(t, sendRequest(t, entry, nil).StatusCode, 502)
}

// The endpoint sends an answer without a length, and the connection is reset within it. An idempotent request can be retried
// as long as nothing of the answer was forwarded; otherwise the caller's connection would close, and the requests that it
// had pipelined behind this one would be lost.
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

// The answer to a HEAD request states the length of a body that does not follow. If it counted as truncated, every HEAD
// request would fail.
func TestHeadRequest(t *testing.T) {
	entry, _, _ := pair(t, configurationOf(matcher.Idempotent, 2), func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
	})
	got := sendRequest(t, entry, func(r *http.Request) { r.Method = http.MethodHead })
	assert.Equal(t, got.StatusCode, 200)
	assert.Equal(t, got.Header.Get("Content-Length"), "100")
}

// An answer may have no length and end with its connection, or be much larger than the buffer.
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

// The route's timeout is shorter than the caller's timeout, and the endpoint is slower than both: the caller must get an
// answer when the route's timeout has passed.
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

// The caller disconnects. The endpoint, two nodes away, must be cancelled soon, or it goes on with work of no use.
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
		t.Fatal("endpoint still runs the request 500 ms after its caller disconnected")
	}
}

// All slots are in use. A queued request gets the next free slot; a request whose queue timeout passes first is turned away
// before it reaches the endpoint.
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
	// Of 4 slots one is kept free, so 3 requests run; the fourth is queued for at most a quarter of its objective.
	assert.Equal(t, <-answers, 503)
	assert.Equal(t, e.count(), 3)
	open()
	for range 3 {
		assert.Equal(t, <-answers, 200)
	}
}

// A node of the called service has become unreachable without leaving: connections to it hang or are refused. Requests must
// go to the other node.
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

// A node stops while callers still use their connections. Each request must be answered, and the answer must announce that
// the connection closes: closing the connection directly could cut off a request that is just arriving.
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

// More connections are open than a node should keep, as when refused callers retry on ever new ones. Each answer must then
// close its connection. If all were kept, no new one could be accepted in the end, and callers would wait for seconds on
// connections that are not read.
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

// A token is requested from the node that holds the team's bucket, and the request is forwarded once it is granted. If
// that node is unreachable, this node admits by its own share of the rate.
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

// A caller that gets a retryable refusal retries on a new connection, so the old one is closed. A caller that gets a final
// refusal goes on using its connection.
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

// endlessBody is a reader without end, for a chunked body of unknown length.
type endlessBody struct{}

func (endlessBody) Read(p []byte) (int, error) { return len(p), nil }

// A chunked body exceeds the limit, which shows only while it is forwarded. The caller must be refused at once: otherwise the
// endpoint would wait for the rest until the deadline, and the caller would get a timeout instead of the cause.
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

// The node to which a request was sent becomes unreachable. An idempotent request is answered at once instead of at its
// deadline, so that its caller can retry; a non-idempotent one goes on waiting, since it may be running.
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

// Guards against slots that are lost for good under overload, when callers leave while their queued requests are dispatched.
func TestSlotsAreFreeAfterCallersHaveLeft(t *testing.T) {
	e := newEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(2 * time.Millisecond)
		_, _ = io.WriteString(w, "ran")
	})
	n := newNode(t, "a", "portal", e)
	c := configurationOf(matcher.Idempotent, 1)
	c.Teams = nil
	n.configure(t, c)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go tickUntilDone(ctx, n)
	end := time.Now().Add(2 * time.Second)
	var callers sync.WaitGroup
	for i := range 60 {
		random := rand.New(rand.NewPCG(uint64(i), 1))
		callers.Go(func() {
			for j := 0; time.Now().Before(end); j++ {
				leave, cancel := context.WithTimeout(ctx, time.Duration(1+random.IntN(30))*time.Millisecond)
				r, err := http.NewRequestWithContext(leave, http.MethodGet, n.outbound.URL+"/obs/1", nil)
				assert.Check(t, err)
				r.Host = "h.example"
				r.Header.Set(names.RequestID, fmt.Sprintf("%d-%d", i, j))
				r.Header.Set(names.TimeLeft, "1000")
				if response, err := http.DefaultClient.Do(r); err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
				}
				cancel()
			}
		})
	}
	callers.Wait()
	// Requests whose callers have left may still be read.
	n.outbound.Close()
	waitUntil(t, "all slots are free", func() bool { return running(n) == 0 })
	assert.Equal(t, n.Unowned(), 0)
	n.mu.Lock()
	defer n.mu.Unlock()
	assert.Equal(t, len(n.owned), 0)
}
