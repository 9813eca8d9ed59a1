package demonstrator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/launcher"
)

// goodAudit is an audit in which every promise held.
func goodAudit() *audit {
	a := &audit{
		runs:           map[string]int{},
		limits:         map[identifier.Team]limit{"small": {rate: 1, burst: 2}, "large": {rate: 100, burst: 200}, "gone": {rate: 1, burst: 9}},
		retryAllowance: 3,
		duration:       10 * time.Second,
		switches:       []change{{at: time.Second, version: 2}},
		flooding:       "small",
		withdrawn:      "gone",
		withdrawnAt:    2 * time.Second,
		drain:          drainRecord{before: 5, settled: 6, end: 6},
		upload:         uploadRecord{size: 9, status: 200, text: "got 9 bytes", answeredAfter: time.Second, stoppedAfter: 2 * time.Second},
	}
	search := request{method: "GET", service: "board", path: "/search", chain: []string{"ice"}}
	booking := request{method: "POST", service: "board", path: "/bookings"}
	a.addOutcome(outcome{team: "large", phase: steady, request: search, idempotent: true, class: identifier.Low}, "")
	a.addOutcome(outcome{team: "small", phase: steady, request: search, idempotent: true, class: identifier.Low}, "")
	a.addOutcome(outcome{team: "small", phase: steady, request: search, idempotent: true, class: identifier.Low}, "rateExceeded")
	a.addOutcome(outcome{team: "gone", phase: steady, request: search, idempotent: true, class: identifier.Low}, "")
	a.addOutcome(outcome{team: "gone", phase: steady, request: search, idempotent: true, class: identifier.Low, sent: 5 * time.Second}, "unknownKey")
	a.addOutcome(outcome{team: "large", phase: overload, request: search, idempotent: true, class: identifier.Urgent}, "")
	a.addOutcome(outcome{team: "large", phase: overload, request: search, idempotent: true, class: identifier.Low}, "shed")
	a.addOutcome(outcome{team: "large", phase: recovered, request: search, idempotent: true, class: identifier.Low}, "")
	a.addOutcome(outcome{team: "large", phase: steady, request: booking, class: identifier.High}, "")
	duplicate := a.outcomes[len(a.outcomes)-1]
	duplicate.duplicate, duplicate.replayed = true, true
	a.outcomes = append(a.outcomes, duplicate)
	for i, v := range []identifier.Version{1, 2, 2} {
		a.versionSamples = append(a.versionSamples, versionSample{node: "n", at: time.Duration(i) * time.Second, version: v})
	}
	return a
}

// addOutcome completes an outcome and adds it: refused if a reason is given, otherwise answered.
func (a *audit) addOutcome(o outcome, reason string) {
	o.id = fmt.Sprint(len(a.outcomes))
	o.requestID = "r" + o.id
	o.deadline = time.Second
	o.ended = o.sent + time.Millisecond
	o.status, o.reason, o.notRun = 503, reason, reason != ""
	if reason == "" {
		o.status = 200
		o.text = fmt.Sprintf("board %s %s got 0 bytes for %s", o.request.method, o.request.path, o.requestID)
		if len(o.request.chain) > 0 {
			o.text += " [ice GET /bulletins got 0 bytes for x]"
		}
		a.runs[o.id] = 1
	}
	a.outcomes = append(a.outcomes, o)
}

// If a check could not fail, the demo would print "held" over a fleet that breaks the promise. Each case breaks one
// promise in an audit that is otherwise good, and exactly its check must fail.
func TestEachBrokenPromiseIsDetected(t *testing.T) {
	last := func(a *audit) *outcome { return &a.outcomes[len(a.outcomes)-1] }
	tests := map[string]func(a *audit){
		"nothingLost answer truncated":           func(a *audit) { a.outcomes[2].failure = "unexpected EOF" },
		"nothingLost no reason":                  func(a *audit) { a.outcomes[2].reason = "" },
		"wholeAnswers answer to another request": func(a *audit) { a.outcomes[0].requestID = "other" },
		"wholeAnswers nested answer missing":     func(a *audit) { a.outcomes[0].text = "board GET /search got 0 bytes for r0" },
		"wholeAnswers answer truncated":          func(a *audit) { a.outcomes[0].text = strings.TrimSuffix(a.outcomes[0].text, "x]") },
		"urgentLast urgent shed":                 func(a *audit) { a.outcomes[5].status, a.outcomes[5].reason = 503, "shed" },
		"urgentLast no overload":                 func(a *audit) { a.outcomes[6].reason = "deadline" },
		"rateHeld":                               func(a *audit) { a.limits["small"] = limit{burst: 0.5} },
		"notRun":                                 func(a *audit) { a.runs["6"] = 1 },
		"atMostOnce ran twice":                   func(a *audit) { a.runs["8"] = 2 },
		"atMostOnce other answer":                func(a *audit) { last(a).text = "board" },
		"atMostOnce no retry":                    func(a *audit) { a.outcomes = a.outcomes[:len(a.outcomes)-1] },
		"retriesBounded":                         func(a *audit) { a.runs["0"] = 5 },
		"keyUnseen":                              func(a *audit) { a.keySeen = []string{"127.0.0.1:1"} },
		"keyWithdrawn used after withdrawal":     func(a *audit) { a.outcomes[3].sent = 5 * time.Second; a.outcomes[3].ended = 5 * time.Second },
		"keyWithdrawn never used before":         func(a *audit) { a.withdrawnAt = -time.Second; a.outcomes[3].sent = 0 },
		"inForce lags":                           func(a *audit) { a.versionSamples = a.versionSamples[:1] },
		"inForce late":                           func(a *audit) { a.versionSamples[1].at = 4 * time.Second; a.versionSamples[2].at = 5 * time.Second },
		"inForce reverts":                        func(a *audit) { a.versionSamples[2].version = 1 },
		"drained":                                func(a *audit) { a.drain.end++ },
		"drained leave failed":                   func(a *audit) { a.drain.failure = "timeout" },
		"plannedStop upload truncated":           func(a *audit) { a.upload.text = "got 8 bytes" },
		"plannedStop refused":                    func(a *audit) { a.upload.status = 503 },
		"plannedStop stop before end":            func(a *audit) { a.upload.stoppedAfter = 0 },
		"deadlines":                              func(a *audit) { a.outcomes[0].ended = 3 * time.Second },
		"recovered":                              func(a *audit) { a.outcomes[7].status, a.outcomes[7].reason = 503, "noBackendServer" },
	}
	for _, p := range judgeAll(goodAudit()) {
		assert.Assert(t, p.Held, "%s: %s", p.Name, p.Evidence)
	}
	covered := map[string]bool{}
	for name, inject := range tests {
		t.Run(name, func(t *testing.T) {
			a := goodAudit()
			inject(a)
			want, _, _ := strings.Cut(name, " ")
			covered[want] = true
			var got []string
			for _, p := range judgeAll(a) {
				if !p.Held {
					got = append(got, p.Name)
				}
			}
			assert.DeepEqual(t, got, []string{want})
		})
	}
	assert.Equal(t, len(covered), len(checks))
}

// Scripts read the JSON and the exit code, people the table; none of them may say "held" if a promise was broken.
func TestReportShowsBrokenPromise(t *testing.T) {
	a := goodAudit()
	a.drain.end++
	r := newReport(launcher.Plan{Deployment: "kitakaze"}, *a)
	assert.Error(t, r.Err(), "promises broken: drained")
	var text, data bytes.Buffer
	assert.NilError(t, r.WriteText(&text))
	assert.Equal(t, strings.Count(text.String(), "BROKEN"), 1, text.String())
	assert.NilError(t, r.WriteJSON(&data))
	var back Report
	assert.NilError(t, json.Unmarshal(data.Bytes(), &back))
	assert.DeepEqual(t, back, r)
}
