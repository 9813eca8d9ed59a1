package relayer

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
	"github.com/jackdawtide/jackdawtide/internal/quarantiner"
)

const fatalPath = "/obs/fatal"

// mannerOfEnd ends an endpoint that runs a request.
type mannerOfEnd func(t *testing.T, e *endpoint, w http.ResponseWriter)

func endAtOnce(_ *testing.T, e *endpoint, _ http.ResponseWriter) {
	_ = e.Listener.Close()
	e.CloseClientConnections()
	panic(http.ErrAbortHandler)
}

func endWithinAnswer(t *testing.T, e *endpoint, w http.ResponseWriter) {
	w.Header().Set("Content-Length", "100")
	_, _ = w.Write([]byte("begun"))
	assert.Check(t, http.NewResponseController(w).Flush())
	time.Sleep(20 * time.Millisecond)
	endAtOnce(t, e, w)
}

// endSilently leaves connections open and accepts no more, as if the endpoint's machine were gone.
func endSilently(t *testing.T, e *endpoint, _ http.ResponseWriter) {
	l := e.Listener.(*silentListener)
	l.silent.Store(true)
	raw, err := l.Listener.(*net.TCPListener).SyscallConn()
	assert.Check(t, err)
	assert.Check(t, raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) }))
	assert.Check(t, err)
	// The first of these connections is taken from the queue, the second one fills it.
	for failed := 0; failed < 3; {
		c, err := net.DialTimeout("tcp", l.Addr().String(), 50*time.Millisecond)
		if err != nil {
			failed++
			continue
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	<-l.closed
}

// silentListener returns no connection once it is silent.
type silentListener struct {
	net.Listener
	silent atomic.Bool
	closed chan struct{}
}

func (l *silentListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil && l.silent.Load() {
		<-l.closed
		_ = c.Close()
		return nil, net.ErrClosed
	}
	return c, err
}

// newMortalNodes returns nodes whose endpoints end when they run a request to fatalPath; ends counts those that have. All nodes
// are told of each end, reported counts these.
func newMortalNodes(t *testing.T, count int, kind matcher.Kind, end mannerOfEnd) (nodes []*node, ends, reported *atomic.Int32) {
	t.Helper()
	ends, reported = new(atomic.Int32), new(atomic.Int32)
	for i := range count {
		var e *endpoint
		l := &silentListener{closed: make(chan struct{})}
		e = newEndpointAt(t, func(server *httptest.Server) {
			l.Listener, server.Listener = server.Listener, l
		}, func(w http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, fatalPath) {
				ends.Add(1)
				end(t, e, w)
			}
		})
		t.Cleanup(func() { close(l.closed) })
		n := newNode(t, fmt.Sprint("n", i), "portal", e)
		n.configure(t, configurationOf(kind, 2))
		nodes = append(nodes, n)
	}
	exchangeMembers(nodes...)
	for _, n := range nodes {
		n.options.ReportEnd = func(end quarantiner.End) {
			defer reported.Add(1)
			for _, other := range nodes {
				other.ApplyEvent(conductor.EndReceived{End: end})
			}
		}
	}
	return nodes, ends, reported
}

func to(path string) func(*http.Request) {
	return func(r *http.Request) { r.URL.Path = path }
}

type suspectLine struct {
	Message      string `json:"msg"`
	Request      string `json:"request"`
	Fingerprints string `json:"fingerprints"`
	Ends         int    `json:"ends"`
	Requests     []struct {
		Request      string `json:"request"`
		Fingerprints string `json:"fingerprints"`
	} `json:"requests"`
}

// Guards against ends of endpoints, and offers after them, that can't be attributed to the request that caused them.
func TestEndsAndOffersOfARequestShareAFingerprint(t *testing.T) {
	nodes, _, _ := newMortalNodes(t, 3, matcher.NonIdempotent, endAtOnce)
	texts := make([]func() string, len(nodes))
	for i, n := range nodes {
		texts[i] = captureText(t, n)
	}
	for _, n := range nodes[:2] {
		sendRequest(t, n, to(fatalPath))
	}
	ended, offered := map[string]int{}, map[string]int{}
	for _, text := range texts {
		for _, line := range strings.Split(strings.TrimSpace(text()), "\n") {
			var l suspectLine
			if json.Unmarshal([]byte(line), &l) != nil {
				continue
			}
			switch l.Message {
			case "endpoint ended":
				assert.Equal(t, len(l.Requests), 1)
				ended[l.Requests[0].Fingerprints]++
			case "suspect request offered":
				assert.Equal(t, l.Ends, 1)
				offered[l.Fingerprints]++
			}
		}
	}
	assert.Equal(t, len(ended), 1)
	for print, count := range ended {
		assert.Equal(t, count, 2)
		assert.Equal(t, offered[print], 1)
	}
}

// Guards against a connection that breaks being taken for the end of its endpoint.
func TestBrokenConnectionIsNoEndOfItsEndpoint(t *testing.T) {
	e := newEndpoint(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	n := newNode(t, "a", "portal", e)
	n.configure(t, configurationOf(matcher.NonIdempotent, 1))
	n.options.ReportEnd = func(quarantiner.End) { t.Error("an end was reported") }
	assert.Equal(t, sendRequest(t, n, nil).StatusCode, http.StatusBadGateway)
}

// Guards against a request that ends one endpoint after the other, since its caller sends it again with other ids at other nodes.
func TestRequestThatEndsEndpointsIsQuarantinedEverywhere(t *testing.T) {
	for name, test := range map[string]struct {
		kind matcher.Kind
		end  mannerOfEnd
	}{
		"idempotent":    {matcher.Idempotent, endAtOnce},
		"once":          {matcher.NonIdempotent, endAtOnce},
		"within answer": {matcher.NonIdempotent, endWithinAnswer},
		"silently":      {matcher.NonIdempotent, endSilently},
	} {
		t.Run(name, func(t *testing.T) {
			nodes, ends, reported := newMortalNodes(t, 6, test.kind, test.end)
			var statuses []int
			for _, n := range nodes {
				statuses = append(statuses, sendRequest(t, n, to(fatalPath)).StatusCode)
				for deadline := time.Now().Add(time.Second); reported.Load() < ends.Load() && time.Now().Before(deadline); {
					time.Sleep(time.Millisecond)
				}
			}
			assert.Equal(t, ends.Load(), int32(3), "%v", statuses)
			last := sendRequest(t, nodes[5], to(fatalPath))
			assert.Equal(t, last.StatusCode, http.StatusServiceUnavailable)
			assert.Equal(t, strings.TrimSpace(last.text), string(conductor.Quarantined))
			assert.Assert(t, last.Header.Get("Retry-After") != "")
			assert.Equal(t, sendRequest(t, nodes[5], nil).StatusCode, http.StatusOK)
		})
	}
}

// Guards against the quarantine of a request that endpoints answer in good health, for ends that another one caused.
func TestRequestThatEndpointsAnswerIsNotQuarantined(t *testing.T) {
	nodes, _, _ := newMortalNodes(t, 6, matcher.Idempotent, endAtOnce)
	healthy := []identifier.Fingerprint{}
	for i := range 3 {
		request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://h.example/obs/1?q=2", nil)
		assert.NilError(t, err)
		request.RequestURI = "/obs/1?q=2"
		healthy = nodes[0].fingerprints(request, conductor.Send{Team: "parish"}, &replayable{})
		assert.Equal(t, sendRequest(t, nodes[i], nil).StatusCode, http.StatusOK)
	}
	for number := range int64(3) {
		for _, n := range nodes {
			n.ApplyEvent(conductor.EndReceived{End: quarantiner.End{
				ID: quarantiner.EndID{Node: "n5", Number: number}, Fingerprints: healthy,
			}})
		}
	}
	for _, n := range nodes[:3] {
		assert.Equal(t, sendRequest(t, n, nil).StatusCode, http.StatusOK)
	}
}

// eventuallyIdle waits until no delivery is open at a node.
func eventuallyIdle(t *testing.T, n *node) {
	t.Helper()
	for range 200 {
		open := 0
		n.View(func(c *conductor.Conductor, _ clock.Time) { _, open = c.Open() })
		if open == 0 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("a delivery is still open after 1 s")
}

// Guards against the quarantine of requests that take longer than their time: no endpoint answers them, and none ends under them.
func TestRequestThatOutlastsItsTimeIsNotSuspected(t *testing.T) {
	for name, sendsOthers := range map[string]bool{"beside another one": true, "alone": false} {
		t.Run(name, func(t *testing.T) { outlastTime(t, sendsOthers) })
	}
}

func outlastTime(t *testing.T, sendsOthers bool) {
	t.Helper()
	e := newEndpoint(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/obs/1" {
			<-r.Context().Done()
		}
	})
	n := newNode(t, "a", "portal", e)
	n.configure(t, configurationOf(matcher.NonIdempotent, 1))
	entry := newNode(t, "b", "desk", newEndpoint(t, func(http.ResponseWriter, *http.Request) {}))
	entry.configure(t, configurationOf(matcher.NonIdempotent, 1))
	exchangeMembers(n, entry)
	if sendsOthers {
		time.AfterFunc(800*time.Millisecond, func() { sendRequest(t, n, to("/obs/2")) })
	}
	sendRequest(t, entry, nil)
	eventuallyIdle(t, n)
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://h.example/obs/1?q=2", nil)
	assert.NilError(t, err)
	request.RequestURI = "/obs/1?q=2"
	slow := n.fingerprints(request, conductor.Send{Team: "parish"}, &replayable{})
	for number := range int64(2) {
		n.ApplyEvent(conductor.EndReceived{End: quarantiner.End{ID: quarantiner.EndID{Node: "b", Number: number}, Fingerprints: slow}})
	}
	assert.Equal(t, n.verdict(slow).Ends, 0)
}
