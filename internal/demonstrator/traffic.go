// The load is open-loop: callers send at fixed times, since a caller that waits for each answer would hide an overload.
//
// Example: a stream of 30 a second sends every 33 ms, each request in its own goroutine through a random node.

package demonstrator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/definer"
	"github.com/jackdawtide/jackdawtide/internal/deliverer"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/receiver"
)

const (
	// answerSlack is how much later than its deadline an answer may reach a caller on a busy machine.
	answerSlack   = 500 * time.Millisecond
	callerTimeout = 10 * time.Second
	connections   = 512
	maxAnswer     = 1 << 20
)

// callers send requests and record their outcomes.
type callers struct {
	keys    map[identifier.Team]string
	client  *http.Client
	started time.Time
	phase   atomic.Uint32
	preset  atomic.Pointer[definer.Preset]

	mu       sync.Mutex
	nodeURLs []string
	outcomes []outcome
	pending  sync.WaitGroup
}

func newCallers(keys map[identifier.Team]string, nodeURLs []string) *callers {
	return &callers{
		keys:     keys,
		nodeURLs: nodeURLs,
		started:  time.Now(),
		client: &http.Client{
			Timeout:   callerTimeout,
			Transport: &http.Transport{MaxIdleConnsPerHost: connections, IdleConnTimeout: callerTimeout},
		},
	}
}

func (c *callers) now() time.Duration { return time.Since(c.started) }

func (c *callers) setPhase(p phase) { c.phase.Store(uint32(p)) }

// removeNode removes a node from those that callers send to.
func (c *callers) removeNode(nodeURL string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodeURLs = slices.DeleteFunc(slices.Clone(c.nodeURLs), func(e string) bool { return e == nodeURL })
}

func (c *callers) pickNodeURL() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodeURLs[rand.IntN(len(c.nodeURLs))]
}

func (c *callers) recordOutcome(o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
}

// run starts to send a stream's requests until ctx ends, without blocking; wait waits for the last answers.
func (c *callers) run(ctx context.Context, s stream) {
	c.pending.Go(func() {
		next := time.Now()
		for n := 0; ; n++ {
			if !clock.SleepUntil(ctx, next) {
				return
			}
			next = next.Add(c.interval(s))
			c.pending.Go(func() { c.send(s, s.duplicates && n%2 == 0) })
		}
	})
}

func (c *callers) interval(s stream) time.Duration {
	rate := s.rate
	if phase(c.phase.Load()) == overload && s.surgeRate > 0 {
		rate = s.surgeRate
	}
	return time.Duration(float64(time.Second) / rate)
}

func (c *callers) wait() { c.pending.Wait() }

func (c *callers) send(s stream, sendTwice bool) {
	o := c.newOutcome(s)
	if !sendTwice {
		c.recordOutcome(c.call(o))
		return
	}
	// The duplicate is sent while the first is in progress, usually through another node: a double run is most likely
	// then.
	second := o
	second.duplicate = true
	c.pending.Go(func() {
		time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
		c.recordOutcome(c.call(second))
	})
	c.recordOutcome(c.call(o))
}

func (c *callers) newOutcome(s stream) outcome {
	class, idempotent := ruleOf(*c.preset.Load(), s.request)
	o := outcome{
		team:       s.team,
		class:      class,
		phase:      phase(c.phase.Load()),
		request:    s.request,
		id:         uuid.Must(uuid.NewV7()).String(),
		idempotent: idempotent,
		deadline:   s.deadline,
	}
	if s.request.maxBody > 0 {
		o.size = 1 + rand.IntN(s.request.maxBody)
	}
	return o
}

func (c *callers) call(o outcome) outcome {
	o.sent = c.now()
	o.status, o.failure = 0, ""
	resp, err := c.sendRequest(&o)
	if err != nil {
		o.failure = err.Error()
		o.ended = c.now()
		return o
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	o.ended = c.now()
	if err != nil {
		o.failure = err.Error()
		return o
	}
	o.readAnswer(resp, text)
	return o
}

func (c *callers) sendRequest(o *outcome) (*http.Response, error) {
	url := c.pickNodeURL() + "/" + string(o.request.service) + o.request.path
	req, err := http.NewRequest(o.request.method, url, bytes.NewReader(make([]byte, o.size)))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.keys[o.team])
	req.Header.Set(receiver.IdempotencyHeader, o.id)
	req.Header.Set(deliverer.DeadlineHeader, strconv.FormatInt(o.deadline.Milliseconds(), 10))
	return c.client.Do(req)
}

func (o *outcome) readAnswer(resp *http.Response, text []byte) {
	o.status = resp.StatusCode
	o.requestID = resp.Header.Get(deliverer.RequestIDHeader)
	o.replayed = resp.Header.Get("Idempotent-Replayed") == "true"
	o.text = string(text)
	if resp.Header.Get("Content-Type") != "application/problem+json" {
		o.readBackendError()
		return
	}
	var p struct {
		Reason string
		NotRun bool
	}
	if err := json.Unmarshal(text, &p); err != nil || p.Reason == "" {
		o.failure = "refusal without a reason: " + o.text
		return
	}
	o.reason, o.notRun = p.Reason, p.NotRun
}

// backendError is the reason recorded for an error answer of a backend server whose nested call failed.
const (
	backendError     = "backendServerError"
	backendErrorText = "nested call failed"
)

func (o *outcome) readBackendError() {
	if o.status != http.StatusOK && strings.HasPrefix(o.text, backendErrorText) {
		o.reason = backendError
	}
}
