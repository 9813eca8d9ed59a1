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
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
	_, _ = fmt.Sscanf(r.URL.Path, "/work/%d", &milliseconds)
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
}

func (c stayingCaller) run(l *exchangeLog) {
	for serial := 0; ; {
		n, err := net.Dial("tcp", c.address.String())
		if errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		if err == nil {
			c.use(n, l, &serial)
			_ = n.Close()
		}
	}
}

// use sends requests on one connection until that ends.
func (c stayingCaller) use(n net.Conn, l *exchangeLog, serial *int) {
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
		if response.Close {
			return
		}
	}
}

// A node stops while callers go on using their connections until it is gone: no request that an endpoint works on may be
// cut, wherever that endpoint is.
func TestStopCutsNoRequestOfCallersThatStay(t *testing.T) {
	for name, test := range map[string]struct {
		caller stayingCaller
		// stops is whether the node that stops is the one beside the endpoint, or the callers' own.
		besideEndpoint bool
	}{
		"one request at a time":             {caller: stayingCaller{path: "/work/150", ahead: 1}},
		"two requests at a time":            {caller: stayingCaller{path: "/work/150", ahead: 2}},
		"long runs":                         {caller: stayingCaller{path: "/work/700", ahead: 1}},
		"answers are read late":             {caller: stayingCaller{path: "/work/50", ahead: 1, readDelay: 300 * time.Millisecond}},
		"the node beside the endpoint goes": {caller: stayingCaller{path: "/work/150", ahead: 1}, besideEndpoint: true},
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
			if test.besideEndpoint {
				stopping = beside
			}
			var callers sync.WaitGroup
			for i := range 8 {
				c := test.caller
				c.name, c.address = fmt.Sprintf("caller%d", i), stopping.settings.Listen.Outbound
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
		})
	}
}

// Callers leave a stopping node, but for one that reads a large answer slowly: the answer may not be cut while the time that
// the node has for its stop lasts.
func TestStopCutsNoAnswerThatIsReadSlowly(t *testing.T) {
	f := &fleet{}
	assert.NilError(t, f.operators.Write(context.Background(), "rules", []byte("version 1")))
	entry := f.start(t, "entry", "desk")
	f.start(t, "beside", "portal")
	eventually(t, "served", func() bool { status, _ := entry.request(); return status == 200 })
	n, err := net.Dial("tcp", entry.settings.Listen.Outbound.String())
	assert.NilError(t, err)
	defer n.Close()
	_, err = io.WriteString(n, "GET /large HTTP/1.1\r\nHost: h\r\nX-Id: large\r\nX-Key: k\r\n\r\n")
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(n), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, 200)
	entry.stop()
	begun := time.Now()
	read, err := io.CopyN(io.Discard, response.Body, largeAnswerBytes/8)
	assert.NilError(t, err)
	time.Sleep(4 * time.Second)
	rest, err := io.Copy(io.Discard, response.Body)
	assert.NilError(t, err, "%v after the stop began", time.Since(begun))
	assert.Equal(t, read+rest, int64(largeAnswerBytes))
}
