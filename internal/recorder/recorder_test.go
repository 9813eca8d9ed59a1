package recorder

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

// output collects lines; with blocked set it blocks each write, as a pipe does whose reader has stopped reading.
type output struct {
	mu      sync.Mutex
	text    bytes.Buffer
	blocked chan struct{}
}

func (o *output) Write(p []byte) (int, error) {
	if o.blocked != nil {
		<-o.blocked
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *output) lines() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Split(strings.TrimSpace(o.text.String()), "\n")
}

func clockOf(now *clock.Time) func() clock.Time { return func() clock.Time { return *now } }

// An overloaded service refuses a thousand requests a second, and writing a line for each would cost more than serving.
// The log must hold a limited number of lines and the number of lines left out.
func TestLinesPerSecondAreLimited(t *testing.T) {
	o := &output{}
	now := clock.Time(5000)
	r := New(o, "n", clockOf(&now))
	for i := range 1000 {
		r.Refused(Refusal{Request: fmt.Sprint(i), Status: 503, Reason: "pressure"})
	}
	now += 1000
	r.Refused(Refusal{Request: "next", Status: 503, Reason: "pressure"})
	time.Sleep(100 * time.Millisecond)
	lines := o.lines()
	assert.Equal(t, len(lines), linesPerSecond+1)
	var last map[string]any
	assert.NilError(t, json.Unmarshal([]byte(lines[len(lines)-1]), &last))
	assert.Equal(t, last["leftOut"], float64(1000-linesPerSecond))
	assert.Equal(t, last["request"], "next")
}

// The reader of the output has stopped reading. A node that blocked on its output would stop serving.
func TestBlockedOutputDoesNotBlockRecorder(t *testing.T) {
	o := &output{blocked: make(chan struct{})}
	defer close(o.blocked)
	now := clock.Time(0)
	r := New(o, "n", clockOf(&now))
	done := make(chan struct{})
	go func() {
		for i := range 5000 {
			now = clock.Time(i * 1000)
			r.Event("something")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("Event did not return within 5 s while the output was blocked")
	}
}

// schema holds the fields that docs/OPERATIONS.md documents for each message.
var schema = map[string][]string{
	"request refused":   {"request", "status", "reason", "path", "afterMs", "leftOut"},
	"attempt ended":     {"request", "route", "version", "endpoint", "at", "nested", "repeat", "outcome", "status", "tookMs", "leftOut"},
	"dependency failed": {"dependency", "error", "leftOut"},
	"node started":      {"leftOut"},
	"woken":             {"suspendedMs", "leftOut"},
}

func TestLinesKeepTheirSchema(t *testing.T) {
	o := &output{}
	now := clock.Time(0)
	r := New(o, "n", clockOf(&now))
	r.Refused(Refusal{Request: "1", Status: 503, Reason: "noRoom", Path: "/x", After: 3})
	r.Attempted(Attempt{Request: "1", Route: "r", Outcome: "answered", Status: 200})
	r.Dependency("store", errors.New("gone"))
	r.Event("node started")
	r.Event("woken", "suspendedMs", 3000)
	time.Sleep(100 * time.Millisecond)
	lines := o.lines()
	assert.Equal(t, len(lines), len(schema))
	for _, line := range lines {
		var got map[string]any
		assert.NilError(t, json.Unmarshal([]byte(line), &got), line)
		fields, ok := schema[fmt.Sprint(got["msg"])]
		assert.Assert(t, ok, line)
		for _, field := range append(fields, "time", "level", "node") {
			assert.Assert(t, got[field] != nil, "%s lacks %s", line, field)
		}
	}
}

// Labels that take values from callers' requests would fill a scraper's memory, so only fixed sets of values are labels.
func TestLabelsAreBounded(t *testing.T) {
	now := clock.Time(0)
	r := New(io.Discard, "n", clockOf(&now))
	for i := range 1000 {
		r.Refused(Refusal{Request: fmt.Sprint(i), Reason: "noRoom", Path: fmt.Sprintf("/%d", i)})
		r.Attempted(Attempt{Request: fmt.Sprint(i), Route: fmt.Sprint(i), Outcome: "answered"})
		r.Dependency(fmt.Sprintf("node n-%d", i), errors.New("gone"))
	}
	var b bytes.Buffer
	r.meters.set.WritePrometheus(&b)
	assert.Assert(t, strings.Contains(b.String(), `jackdawtide_refused_total{reason="noRoom"} 1000`))
	assert.Assert(t, strings.Count(b.String(), "\n") < 40, b.String())
}

// Traffic between failure domains can become the largest cost of a fleet. The metrics and the log must both attribute
// its bytes to a cause and a reason.
func TestCrossingsAreCountedByCauseAndReason(t *testing.T) {
	o := &output{}
	now := clock.Time(5000)
	r := New(o, "n", clockOf(&now))
	r.Crossed(Crossing{Cause: "nested", Reason: "nearFull", Sent: 410, Received: 690})
	r.Crossed(Crossing{Cause: "nested", Reason: "nearFull", Sent: 400, Received: 600})
	r.Crossed(Crossing{Cause: "report", Reason: "asked", Sent: 80, Received: 900})
	var metrics bytes.Buffer
	r.WriteMetrics(&metrics)
	for _, line := range []string{
		`jackdawtide_crossings_total{cause="nested",reason="nearFull"} 2`,
		`jackdawtide_crossing_bytes_total{cause="nested",reason="nearFull",direction="sent"} 810`,
		`jackdawtide_crossing_bytes_total{cause="report",reason="asked",direction="received"} 900`,
	} {
		assert.Assert(t, strings.Contains(metrics.String(), line), line)
	}
	r.LogCrossings()
	time.Sleep(100 * time.Millisecond)
	var line map[string]any
	assert.NilError(t, json.Unmarshal([]byte(o.lines()[0]), &line))
	assert.DeepEqual(t, line["times"], map[string]any{"nested nearFull": 2.0, "report asked": 1.0})
	assert.DeepEqual(t, line["bytes"], map[string]any{
		"nested nearFull sent": 810.0, "nested nearFull received": 1290.0, "report asked sent": 80.0, "report asked received": 900.0,
	})
}

// A node logs how its stop ended and exits. Without the flush the lines that explain the stop would be lost.
func TestFlushWritesTheLastLines(t *testing.T) {
	o := &output{blocked: make(chan struct{})}
	now := clock.Time(5000)
	r := New(o, "n", clockOf(&now))
	for i := range linesPerSecond {
		r.Event("e", "number", i)
	}
	r.WasCut(Cut{Request: "r1", Path: "/a", After: 800})
	assert.Assert(t, !r.Flush(10*clock.Millisecond))
	close(o.blocked)
	assert.Assert(t, r.Flush(clock.Second))
	lines := o.lines()
	assert.Equal(t, len(lines), linesPerSecond+1)
	assert.Assert(t, strings.Contains(lines[linesPerSecond], `"msg":"request cut","node":"n","request":"r1","path":"/a","afterMs":800`), lines[linesPerSecond])
	var metrics bytes.Buffer
	r.WriteMetrics(&metrics)
	assert.Assert(t, strings.Contains(metrics.String(), `jackdawtide_cut_total{cause="stop"} 1`))
}

// Guards against a service that declines calls and fills the log with the histories of all its requests, and against lines that
// are left out without a count.
func TestLinesOfOffersAreLimitedAndCounted(t *testing.T) {
	o := &output{}
	now := clock.Time(5000)
	r := New(o, "n", clockOf(&now))
	const requests = 1000
	for i := range requests {
		r.Offered(OfferedRequest{Request: fmt.Sprint(i), Offers: []Offer{{Outcome: "declined"}, {Outcome: "answered"}}})
		r.Offered(OfferedRequest{Request: fmt.Sprint(i), Offers: []Offer{{Outcome: "late", InDoubt: true}}})
	}
	assert.Assert(t, r.Flush(clock.Second))
	assert.Equal(t, len(o.lines()), offersPerSecond+linesPerSecond)
	var text bytes.Buffer
	r.WriteMetrics(&text)
	for _, line := range []string{
		fmt.Sprintf(`jackdawtide_offered_again_total{outcome="answered"} %d`, requests),
		fmt.Sprintf(`jackdawtide_log_lines_left_out_total{kind="offeredAgain"} %d`, requests-offersPerSecond),
		fmt.Sprintf(`jackdawtide_log_lines_left_out_total{kind="offeredInDoubt"} %d`, requests-linesPerSecond),
	} {
		assert.Assert(t, strings.Contains(text.String(), line+"\n"), "%s is missing", line)
	}
}
