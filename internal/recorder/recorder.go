package recorder

// On-call engineers depend on the log after an incident, but a node that blocks on its output, or writes thousands of
// lines a second under overload, would fail the very requests that the log should explain. Lines therefore pass through
// a bounded queue that drops lines when it is full, and each kind of line is limited to a number of lines a second. The
// next line of the kind that is written carries the number of lines that the limit left out.
//
// Example: 900 refusals for pressure in a second: 20 lines, and then one with "leftOut": 880.

import (
	"io"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/requester"
)

const (
	// linesPerSecond limits each kind of line. It is enough to find a pattern; with about ten kinds, at about
	// 15 microseconds a line, it takes at most a few per cent of a node's processor time.
	linesPerSecond = 20
	// successesPerSecond limits the lines of successful attempts; it is lower because they are rarely looked up.
	successesPerSecond = 1
	// offersPerSecond limits the lines of requests that were offered more than once. Each holds all offers of its request.
	offersPerSecond = 50
	// queueCapacityLines bounds the lines that wait for the output; at 300 bytes each they take 150 kB.
	queueCapacityLines = 512
)

// Refusal is a request that this node answered itself instead of an endpoint.
type Refusal struct {
	Request string
	Status  int
	Reason  string
	Path    string
	After   clock.Duration
	// Basis is the configuration by which it was refused, nil if it was refused for another reason.
	Basis *Basis
}

// Attempt is one attempt of a request.
type Attempt struct {
	Request  string
	Route    string
	Version  identifier.Version
	Endpoint identifier.Endpoint
	Node     identifier.Node
	Nested   bool
	Retry    bool
	Outcome  string
	Status   int
	Took     clock.Duration
}

// Recorder writes log lines and keeps metrics; it is safe for concurrent use.
type Recorder struct {
	logger       *log.Logger
	lines        *queue
	now          func() clock.Time
	mu           sync.Mutex
	lineCounters map[string]*lineCounter
	meters       *meters
}

// lineCounter counts the lines of one kind within the current second, and the lines left out since the last written one.
type lineCounter struct {
	second  clock.Time
	lines   int
	leftOut int
}

// New returns a recorder that writes to out through a bounded queue.
func New(out io.Writer, node string, now func() clock.Time) *Recorder {
	lines := newQueue(out)
	logger := log.NewWithOptions(lines, log.Options{
		Formatter:       log.JSONFormatter,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
	}).With("node", node)
	return &Recorder{logger: logger, lines: lines, now: now, lineCounters: map[string]*lineCounter{}, meters: newMeters()}
}

// allow reports whether another line of a kind may be written in this second, and how many lines were left out since the
// last one that was written.
func (r *Recorder) allow(kindName string, maxPerSecond int) (bool, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k, ok := r.lineCounters[kindName]
	if !ok {
		k = &lineCounter{}
		r.lineCounters[kindName] = k
	}
	second := r.now() / clock.Time(clock.Second)
	if second != k.second {
		k.second = second
		k.lines = 0
	}
	if k.lines >= maxPerSecond {
		k.leftOut++
		r.meters.increment("log_lines_left_out", "kind", firstWord(kindName))
		return false, 0
	}
	k.lines++
	leftOut := k.leftOut
	k.leftOut = 0
	return true, leftOut
}

// Refused records a request that this node answered itself.
func (r *Recorder) Refused(e Refusal) {
	r.meters.increment("refused", "reason", e.Reason)
	r.meters.observeDuration("refused", "reason", e.Reason, e.After)
	ok, leftOut := r.allow("refused "+e.Reason, linesPerSecond)
	if !ok {
		return
	}
	pairs := []any{
		"request", e.Request, "status", e.Status, "reason", e.Reason, "path", e.Path, "afterMs", int64(e.After), "leftOut", leftOut,
	}
	r.logger.Warn("request refused", append(pairs, e.Basis.pairs()...)...)
}

// Cut is a request whose connection ends without a whole answer because this node ends.
type Cut struct {
	Request string
	Path    string
	After   clock.Duration
}

// WasCut records a request that this node cut off.
func (r *Recorder) WasCut(e Cut) {
	r.meters.increment("cut", "cause", "stop")
	ok, leftOut := r.allow("cut", linesPerSecond)
	if !ok {
		return
	}
	r.logger.Warn("request cut", "request", e.Request, "path", e.Path, "afterMs", int64(e.After), "leftOut", leftOut)
}

// Attempted records an attempt that has ended.
func (r *Recorder) Attempted(e Attempt) {
	r.meters.increment("attempts", "outcome", e.Outcome)
	if e.Retry {
		r.meters.increment("repeats", "outcome", e.Outcome)
	}
	r.meters.observeDuration("request", "outcome", e.Outcome, e.Took)
	maxPerSecond := linesPerSecond
	if e.Outcome == "answered" && e.Status < 500 {
		maxPerSecond = successesPerSecond
	}
	ok, leftOut := r.allow("attempt "+e.Outcome, maxPerSecond)
	if !ok {
		return
	}
	r.logger.Info("attempt ended", "request", e.Request, "route", e.Route, "version", int64(e.Version),
		"endpoint", string(e.Endpoint), "at", string(e.Node), "nested", e.Nested, "repeat", e.Retry,
		"outcome", e.Outcome, "status", e.Status, "tookMs", int64(e.Took), "leftOut", leftOut)
}

// Crossing is one message exchange with a node of another failure domain.
type Crossing struct {
	// Cause is the purpose of the bytes, Reason why they leave the failure domain.
	Cause, Reason  string
	Sent, Received int64
}

// Crossed counts the bytes of an exchange with another failure domain.
func (r *Recorder) Crossed(e Crossing) {
	r.meters.add("crossings", 1, "cause", e.Cause, "reason", e.Reason)
	r.meters.add("crossing_bytes", e.Sent, "cause", e.Cause, "reason", e.Reason, "direction", "sent")
	r.meters.add("crossing_bytes", e.Received, "cause", e.Cause, "reason", e.Reason, "direction", "received")
}

// LogCrossings logs the number of exchanges with other failure domains so far and their bytes, by cause and reason.
func (r *Recorder) LogCrossings() {
	if times := r.meters.counterValues("crossings"); len(times) > 0 {
		r.Event("crossings", "times", times, "bytes", r.meters.counterValues("crossing_bytes"))
	}
}

// StoreCalled counts a call to the platform's store, by topic and operation.
func (r *Recorder) StoreCalled(topic, call string) {
	r.meters.add("store_calls", 1, "topic", topic, "call", call)
}

// LogStoreCalls logs the number of calls to the platform's store so far, by topic and operation.
func (r *Recorder) LogStoreCalls() {
	if calls := r.meters.counterValues("store_calls"); len(calls) > 0 {
		r.Event("store calls", "calls", calls)
	}
}

// TokenRequested records a request for a token from another node: its outcome and how long it took.
func (r *Recorder) TokenRequested(outcome string, took clock.Duration) {
	r.meters.observeDuration("tokens", "outcome", outcome, took)
}

// UnreadField records that the local endpoint's answers have a field that this node does not read.
func (r *Recorder) UnreadField(name string) {
	r.meters.increment("unread_fields", "field", name)
	r.Event("answer field not read", "field", name)
}

// Dependency records a failure of something that this node depends on.
func (r *Recorder) Dependency(name string, err error) {
	r.meters.increment("dependency_failures", "dependency", firstWord(name))
	ok, leftOut := r.allow("dependency "+name, 1)
	if !ok {
		return
	}
	r.logger.Warn("dependency failed", "dependency", name, "error", err.Error(), "leftOut", leftOut)
}

// firstWord returns the first word of a name as a metric label: "node" for "node a-7".
func firstWord(name string) string {
	word, _, _ := strings.Cut(name, " ")
	return word
}

// AnswerDropped records an answer of the local endpoint that belongs to no request under way on its connection.
func (r *Recorder) AnswerDropped(d requester.DroppedAnswer) {
	cause := "unknownRequest"
	switch {
	case d.Known && d.Taken != 0 && d.Taken != d.Status:
		cause = "otherAnswer"
	case d.Known:
		cause = "earlierRequest"
	}
	r.meters.increment("dropped_answers", "cause", cause)
	ok, leftOut := r.allow("dropped "+cause, linesPerSecond)
	if !ok {
		return
	}
	r.logger.Warn("answer dropped", "request", d.Got, "status", d.Status, "cause", cause, "taken", d.Taken, "awaited", d.Awaited,
		"connection", d.Connection, "leftOut", leftOut)
}

// BoundExceeded records an answer that was longer than a bound, so that its connection was closed.
func (r *Recorder) BoundExceeded(e requester.ExceededBound) {
	r.meters.increment("exceeded_bounds", "bound", e.Bound)
	ok, leftOut := r.allow("exceeded bound", linesPerSecond)
	if !ok {
		return
	}
	r.logger.Warn("answer too long", "bound", e.Bound, "limit", e.Limit, "request", e.ID, "from", e.Address, "connection", e.Connection,
		"leftOut", leftOut)
}

// ConnectionRefused records a connection that a listener has refused or closed for what its caller sent.
func (r *Recorder) ConnectionRefused(listener, reason, from string) {
	r.meters.increment("refused_connections", "reason", reason)
	ok, leftOut := r.allow("refused connection "+reason, linesPerSecond)
	if !ok {
		return
	}
	r.logger.Warn("connection refused", "listener", listener, "reason", reason, "from", from, "leftOut", leftOut)
}

// AnsweredEarly records an answer that came before the end of its request's body, and whether the body was read to its end.
func (r *Recorder) AnsweredEarly(whole bool) {
	body := "whole"
	if !whole {
		body = "unfinished"
	}
	r.meters.increment("early_answers", "body", body)
}

// Event records a change of this node's state or of its view of the fleet.
func (r *Recorder) Event(message string, pairs ...any) {
	ok, leftOut := r.allow("event "+message, linesPerSecond)
	if !ok {
		return
	}
	r.logger.Info(message, append(pairs, "leftOut", leftOut)...)
}

// Flush waits until the lines so far are written, at most for the given time, and returns whether they are. A process that
// ends without it loses its last lines.
func (r *Recorder) Flush(timeout clock.Duration) bool {
	return r.lines.flush(timeout)
}

// queue passes lines to a goroutine that writes them, and drops lines while its buffer is full.
type queue struct {
	entries chan queueEntry
}

// queueEntry is a line to write, or a channel to close once all earlier lines are written.
type queueEntry struct {
	line    []byte
	written chan struct{}
}

func newQueue(out io.Writer) *queue {
	q := &queue{entries: make(chan queueEntry, queueCapacityLines)}
	go func() {
		for e := range q.entries {
			if e.written != nil {
				close(e.written)
				continue
			}
			// A closed output must not stop the node from serving.
			_, _ = out.Write(e.line)
		}
	}()
	return q
}

// Write queues a line or drops it; it never blocks.
func (q *queue) Write(line []byte) (int, error) {
	select {
	case q.entries <- queueEntry{line: append([]byte(nil), line...)}:
	default:
	}
	return len(line), nil
}

func (q *queue) flush(timeout clock.Duration) bool {
	expired := time.After(timeout.Std())
	written := make(chan struct{})
	select {
	case q.entries <- queueEntry{written: written}:
	case <-expired:
		return false
	}
	select {
	case <-written:
		return true
	case <-expired:
		return false
	}
}
