package relayer

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
	"github.com/jackdawtide/jackdawtide/internal/recorder"
)

// loggedOffer is an offer as it stands in the log.
type loggedOffer struct {
	Endpoint   string `json:"endpoint"`
	At         string `json:"at"`
	Connection string `json:"connection"`
	Outcome    string `json:"outcome"`
	Status     int    `json:"status"`
}

type loggedLine struct {
	Level      string        `json:"level"`
	Message    string        `json:"msg"`
	Request    string        `json:"request"`
	Connection string        `json:"connection"`
	Outcome    string        `json:"outcome"`
	Offers     []loggedOffer `json:"offers"`
}

// captureText makes a node write its log to a buffer, which the returned function returns.
func captureText(t *testing.T, n *node) (text func() string) {
	t.Helper()
	var buffer bytes.Buffer
	n.options.Recorder = recorder.New(&buffer, string(n.member.Node), n.options.Clock.Now)
	return func() string {
		assert.Assert(t, n.options.Recorder.Flush(clock.Second))
		return buffer.String()
	}
}

// captureLog makes a node write its log to a buffer, which the returned function reads.
func captureLog(t *testing.T, n *node) (warnings func() []loggedLine) {
	t.Helper()
	text := captureText(t, n)
	return func() (lines []loggedLine) {
		for _, line := range strings.Split(strings.TrimSpace(text()), "\n") {
			var l loggedLine
			if json.Unmarshal([]byte(line), &l) == nil && l.Level == "warn" {
				lines = append(lines, l)
			}
		}
		return lines
	}
}

// connectionRecorder records from which addresses requests came.
type connectionRecorder struct {
	mu        sync.Mutex
	addresses []string
}

func (c *connectionRecorder) add(r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = append(c.addresses, r.RemoteAddr)
}

func (c *connectionRecorder) all() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.addresses)
}

// Guards against a request that was offered more than once and of which no warning names the endpoints, connections and answers.
func TestWarningNamesEachOfferOfRequestThatRunsOnce(t *testing.T) {
	var connections connectionRecorder
	var offeredBefore atomic.Bool
	respond := func(w http.ResponseWriter, r *http.Request) {
		connections.add(r)
		if !offeredBefore.Swap(true) {
			w.Header().Set(names.NotRun, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	}
	a, b := newNode(t, "a", "portal", newEndpoint(t, respond)), newNode(t, "b", "portal", newEndpoint(t, respond))
	entry := newNode(t, "entry", "desk", newEndpoint(t, respondWith("desk")))
	for _, n := range []*node{a, b, entry} {
		n.configure(t, configurationOf(matcher.NonIdempotent, 2))
	}
	exchangeMembers(a, b, entry)
	warnings := captureLog(t, entry)
	got := sendRequest(t, entry, func(r *http.Request) { r.Header.Set(names.RequestID, "x") })
	assert.Equal(t, got.StatusCode, http.StatusOK)
	assert.Equal(t, got.Header.Get(connectionField), "")
	lines := warnings()
	assert.Equal(t, len(lines), 1)
	assert.Equal(t, lines[0].Message, "request offered")
	assert.Equal(t, lines[0].Request, "x")
	offers := lines[0].Offers
	assert.Equal(t, len(offers), 2)
	assert.Assert(t, offers[0].Endpoint != offers[1].Endpoint)
	for i, o := range offers {
		assert.Equal(t, o.Connection, connections.all()[i])
		assert.Equal(t, o.Endpoint, "i-"+o.At)
	}
	assert.Equal(t, offers[0].Outcome, "declined")
	assert.Equal(t, offers[0].Status, http.StatusServiceUnavailable)
	assert.Equal(t, offers[1].Outcome, "answered")
	assert.Equal(t, offers[1].Status, http.StatusOK)
}

// Guards against a request that may have run, has no answer, and is named by no warning of the node beside the endpoint.
func TestWarningNamesUnansweredDelivery(t *testing.T) {
	var connections connectionRecorder
	e := newEndpoint(t, func(_ http.ResponseWriter, r *http.Request) {
		connections.add(r)
		panic(http.ErrAbortHandler)
	})
	a, entry := newNode(t, "a", "portal", e), newNode(t, "entry", "desk", newEndpoint(t, respondWith("desk")))
	for _, n := range []*node{a, entry} {
		n.configure(t, configurationOf(matcher.NonIdempotent, 2))
	}
	exchangeMembers(a, entry)
	tests := map[string]func() []loggedLine{
		"delivery unanswered": captureLog(t, a),
		"request offered":     captureLog(t, entry),
	}
	got := sendRequest(t, entry, func(r *http.Request) { r.Header.Set(names.RequestID, "x") })
	assert.Equal(t, got.StatusCode, http.StatusBadGateway)
	for message, warnings := range tests {
		lines := warnings()
		i := slices.IndexFunc(lines, func(l loggedLine) bool { return l.Message == message })
		assert.Assert(t, i >= 0, "no %s in %v", message, lines)
		line := lines[i]
		assert.Equal(t, line.Request, "x")
		if len(line.Offers) > 0 {
			line.Connection, line.Outcome = line.Offers[0].Connection, line.Offers[0].Outcome
		}
		assert.Equal(t, line.Connection, connections.all()[0])
		assert.Equal(t, line.Outcome, "broken")
	}
}
