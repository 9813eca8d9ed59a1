package mesher

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"path"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/loader"
)

// exchangeLog records, from outside, what became of the requests of a test.
type exchangeLog struct {
	mu sync.Mutex
	// sent holds when each request was sent, begun those that an endpoint has begun to work on, and statuses the status of
	// those that got a whole answer.
	sent     map[string]time.Time
	begun    map[string]bool
	statuses map[string]int
}

func newExchangeLog() *exchangeLog {
	return &exchangeLog{begun: map[string]bool{}, statuses: map[string]int{}, sent: map[string]time.Time{}}
}

// work runs a request for as many milliseconds as its path ends with.
func (l *exchangeLog) work(r *http.Request) {
	l.mu.Lock()
	l.begun[r.Header.Get("X-Id")] = true
	l.mu.Unlock()
	var milliseconds int
	_, _ = fmt.Sscanf(path.Base(r.URL.Path), "%d", &milliseconds)
	select {
	case <-time.After(time.Duration(milliseconds) * time.Millisecond):
	case <-r.Context().Done():
	}
}

func (l *exchangeLog) send(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id] = time.Now()
}

func (l *exchangeLog) answered(id string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.statuses[id] = status
}

// falselyRefused returns the requests that were answered with 503, which says that they have not run, and that an endpoint
// worked on.
func (l *exchangeLog) falselyRefused() (ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, status := range l.statuses {
		if status == http.StatusServiceUnavailable && l.begun[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// counts returns how many requests got each status, 0 for none.
func (l *exchangeLog) counts() map[int]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[int]int{}
	for id := range l.sent {
		counts[l.statuses[id]]++
	}
	return counts
}

// cut returns the requests that an endpoint worked on and that got no whole answer, and how long after begun each was sent.
func (l *exchangeLog) cut(begun time.Time) (ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.begun {
		if _, ok := l.statuses[id]; !ok && !l.sent[id].IsZero() {
			ids = append(ids, fmt.Sprintf("%s sent after %v", id, l.sent[id].Sub(begun)))
		}
	}
	return ids
}

// lockedBuffer collects the log lines of several nodes.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// linesWith returns the lines that contain any of the texts.
func (b *lockedBuffer) linesWith(texts ...string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []string
	for line := range strings.Lines(b.text.String()) {
		if slices.ContainsFunc(texts, func(text string) bool { return strings.Contains(line, text) }) {
			found = append(found, line)
		}
	}
	return strings.Join(found, "")
}

// stayingCaller sends requests on kept connections, ahead of them at a time, until its node takes no more connections.
type stayingCaller struct {
	name    string
	address netip.AddrPort
	path    string
	ahead   int
	// readDelay is how long the caller waits before it reads an answer.
	readDelay time.Duration
	// keepTime is how long the caller goes on if its node does not stop, 0 for until that stops.
	keepTime time.Duration
}

func (c stayingCaller) run(l *exchangeLog) {
	begun := time.Now()
	for serial := 0; c.keepTime == 0 || time.Since(begun) < c.keepTime; {
		n, err := net.Dial("tcp", c.address.String())
		if errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		if err == nil {
			c.use(n, l, &serial, begun)
			_ = n.Close()
		}
	}
}

// use sends requests on one connection until that ends.
func (c stayingCaller) use(n net.Conn, l *exchangeLog, serial *int, begun time.Time) {
	reader := bufio.NewReader(n)
	var pending []string
	for {
		for len(pending) < c.ahead {
			id := fmt.Sprintf("%s-%d", c.name, *serial)
			*serial++
			l.send(id)
			if _, err := fmt.Fprintf(n, "GET %s HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\nX-Key: k\r\n\r\n", c.path, id); err != nil {
				return
			}
			pending = append(pending, id)
		}
		time.Sleep(c.readDelay)
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return
		}
		l.answered(pending[0], response.StatusCode)
		pending = pending[1:]
		if response.Close || c.keepTime > 0 && time.Since(begun) > c.keepTime {
			return
		}
	}
}

// startServing starts an entry node and a node beside an endpoint, and returns the entry and a caller's connection to it once
// requests are served.
func (f *fleet) startServing(t *testing.T) (*runningNode, net.Conn) {
	t.Helper()
	assert.NilError(t, f.operators.Write(context.Background(), "rules", []byte("version 1")))
	entry := f.start(t, "entry", "desk")
	f.start(t, "beside", "portal")
	eventually(t, "served", func() bool { status, _ := entry.request(); return status == 200 })
	n, err := net.Dial("tcp", entry.settings.Listen.Outbound.String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = n.Close() })
	return entry, n
}

// A node stops while callers go on using their connections until it is gone: those whose requests are at work would be cut off.
func TestStopCutsNoRequestOfCallersThatStay(t *testing.T) {
	for name, test := range map[string]struct {
		caller stayingCaller
		// beside is whether the node that stops is one beside an endpoint, elsewhere whether its callers are at another one.
		beside, elsewhere bool
	}{
		"one request at a time":           {caller: stayingCaller{path: "/work/150", ahead: 1}},
		"two requests at a time":          {caller: stayingCaller{path: "/work/150", ahead: 2}},
		"long runs":                       {caller: stayingCaller{path: "/work/700", ahead: 1}},
		"answers are read late":           {caller: stayingCaller{path: "/work/50", ahead: 1, readDelay: 300 * time.Millisecond}},
		"at the node beside the endpoint": {caller: stayingCaller{path: "/work/150", ahead: 1}, beside: true},
		"through another node":            {caller: stayingCaller{path: "/work/150", ahead: 1, keepTime: 6 * time.Second}, beside: true, elsewhere: true},
		"time-outs beyond the stop":       {caller: stayingCaller{path: "/long/work/400", ahead: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := newExchangeLog()
			log := &lockedBuffer{}
			f := &fleet{work: l.work, log: log}
			assert.NilError(t, f.operators.Write(context.Background(), "rules", []byte("version 1")))
			entry := f.start(t, "entry", "desk")
			beside := f.start(t, "beside", "portal")
			f.start(t, "other", "portal")
			eventually(t, "served", func() bool { status, _ := entry.request(); return status == 200 })
			stopping := entry
			if test.beside {
				stopping = beside
			}
			called := stopping
			if test.elsewhere {
				called = entry
			}
			var callers sync.WaitGroup
			for i := range 8 {
				c := test.caller
				c.name, c.address = fmt.Sprintf("caller%d", i), called.settings.Listen.Outbound
				callers.Add(1)
				go func() {
					defer callers.Done()
					c.run(l)
				}()
			}
			time.Sleep(500 * time.Millisecond)
			begun := time.Now()
			stopping.stop()
			callers.Wait()
			took := time.Since(begun)
			<-stopping.done
			stopping.done <- nil
			t.Logf("gone after %v, answers by status %v\n%s", took, l.counts(), log.linesWith("node stop", "request cut"))
			cut := l.cut(begun)
			assert.Equal(t, len(cut), 0, strings.Join(cut, ", "))
			assert.Equal(t, len(l.falselyRefused()), 0, strings.Join(l.falselyRefused(), ", "))
			for status := range l.counts() {
				// 0 stands for requests that were not read.
				assert.Assert(t, slices.Contains([]int{0, 200, 503}, status), "status %d", status)
			}
		})
	}
}

// All callers but one have left a stopping node: that one reads a large answer slowly, and would get a part of it.
func TestStopCutsNoAnswerThatIsReadSlowly(t *testing.T) {
	f := &fleet{}
	entry, n := f.startServing(t)
	_, err := io.WriteString(n, "GET /long/large HTTP/1.1\r\nHost: h\r\nX-Id: large\r\nX-Key: k\r\n\r\n")
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(n), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, 200)
	entry.stop()
	begun := time.Now()
	const pieces = 100
	for range pieces {
		_, err := io.CopyN(io.Discard, response.Body, largeAnswerBytes/pieces)
		assert.NilError(t, err, "%v after the stop began", time.Since(begun))
		time.Sleep(45 * time.Millisecond)
	}
	rest, err := io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.Equal(t, rest, int64(largeAnswerBytes%pieces))
}

// A run outlasts its node: without an answer its caller could not tell whether the node had read the request.
func TestStopAnswersRequestsWhoseRunsOutlastIt(t *testing.T) {
	l := newExchangeLog()
	f := &fleet{work: l.work}
	entry, n := f.startServing(t)
	_, err := io.WriteString(n, "GET /long/work/9000 HTTP/1.1\r\nHost: h\r\nX-Id: a\r\nX-Key: k\r\n\r\n")
	assert.NilError(t, err)
	eventually(t, "at work", func() bool { l.mu.Lock(); defer l.mu.Unlock(); return l.begun["a"] })
	begun := time.Now()
	entry.stop()
	response, err := http.ReadResponse(bufio.NewReader(n), nil)
	assert.NilError(t, err)
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, 502)
	assert.Equal(t, string(text), "nodeStopping\n")
	took := time.Since(begun)
	// The endpoint must have had the time up to the last sixth of the grace time.
	assert.Assert(t, took > 5*time.Second && took < 6*time.Second, "after %v", took)
}

// The grace time is changed by a reload: a stop by the old one would be ended by a kill, or end before its time.
func TestStopUsesReloadedGraceTime(t *testing.T) {
	for name, test := range map[string]struct {
		grace       clock.Duration
		least, most time.Duration
	}{
		"shorter": {grace: 2 * clock.Second, least: 1500 * time.Millisecond, most: 2 * time.Second},
		"longer":  {grace: 8 * clock.Second, least: 7 * time.Second, most: 8 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := newExchangeLog()
			reloaded := make(chan struct{}, 2)
			f := &fleet{work: l.work}
			f.watch = func(_ context.Context, apply func(loader.Sidecar), _ func(error)) {
				apply(loader.Sidecar{Bounds: loader.SidecarBounds{
					Revoke: clock.Second, ConfigurationInForce: clock.Second, Grace: test.grace,
					RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * clock.Second,
				}})
				reloaded <- struct{}{}
			}
			entry, n := f.startServing(t)
			<-reloaded
			<-reloaded
			_, err := io.WriteString(n, "GET /long/work/9900 HTTP/1.1\r\nHost: h\r\nX-Id: a\r\nX-Key: k\r\n\r\n")
			assert.NilError(t, err)
			eventually(t, "at work", func() bool { l.mu.Lock(); defer l.mu.Unlock(); return l.begun["a"] })
			begun := time.Now()
			entry.stop()
			response, err := http.ReadResponse(bufio.NewReader(n), nil)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, 502)
			took := time.Since(begun)
			assert.Assert(t, took > test.least && took < test.most, "after %v", took)
		})
	}
}

// The server answers a request without a path by itself: the connection's next request would get no answer.
func TestRequestBehindOneWithoutPathIsAnswered(t *testing.T) {
	f := &fleet{}
	_, n := f.startServing(t)
	reader := bufio.NewReader(n)
	for _, test := range []struct {
		request string
		status  int
	}{{"OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n", 400}, {"GET /x HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Key: k\r\n\r\n", 200}} {
		_, err := io.WriteString(n, test.request)
		assert.NilError(t, err)
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, test.status)
	}
}
