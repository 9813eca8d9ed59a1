package soaker

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/platform/standin"
)

var terms = Terms{
	Revoke: 5 * time.Second, Drain: 2 * time.Second, Window: 5 * time.Second, Excess: 0.1, Slack: 20,
	RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetrySlack: 5, MinRecoveredRatio: 0.95,
	Contact: 3 * time.Second, Grace: 6 * time.Second, LossSlack: 200 * time.Millisecond,
	ApplyWithin: 2 * time.Second, MaxStretch: 5 * time.Second, RollbackSlack: 250 * time.Millisecond, MaxEnds: 3,
}

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func second(s float64) time.Time {
	return origin.Add(time.Duration(s * float64(time.Second)))
}

// recordWithoutBreaches is a record of one minute in which all promises hold.
func recordWithoutBreaches() *Record {
	r := NewRecord()
	r.AddKey("k", "parish", 0, 0)
	r.AddKey("d", "parish", 0, 0)
	r.AddKey("g", "greedy", 10, 10)
	r.SetFaultsEnded(second(30))
	for i := range 60 {
		id := fmt.Sprint("r", i)
		r.AddRequest(Sent{ID: id, Team: "parish", Key: "k", At: second(float64(i)), Answer: standin.Answer{Status: 200, Correct: true}})
		r.AddRun(standin.Run{Request: id, Instance: "i-1", Team: "parish", At: second(float64(i) + 0.01)})
	}
	return r
}

// limitedAnswer is an answer in which an endpoint names a limit.
func limitedAnswer(instance string) standin.Answer {
	return standin.Answer{Status: 200, Correct: true, Instance: instance, Limit: "named"}
}

// addArrival adds a request that began at a node and reached an endpoint at once.
func addArrival(r *Record, node, instance string, i int, at float64) {
	id := fmt.Sprint("arrival-", i)
	r.AddRequest(Sent{ID: id, Node: node, Team: "parish", Key: "k", At: second(at), Answered: second(at), Answer: standin.Answer{Status: 200, Correct: true}})
	r.AddArrival(standin.Arrival{Request: id, Instance: instance, At: second(at)})
}

// addSpread adds a request of portal that is served, and declined by another endpoint before if it is retried.
func addSpread(r *Record, id string, at float64, retried bool) {
	r.AddRequest(Sent{ID: id, Path: "/read/x", Team: "parish", Key: "k", At: second(at), Answer: standin.Answer{Status: 200, Correct: true}})
	if retried {
		r.AddArrival(standin.Arrival{Request: id, Instance: "i-1", Service: "portal", At: second(at)})
	}
	r.AddArrival(standin.Arrival{Request: id, Instance: "i-2", Service: "portal", At: second(at + 0.01)})
	r.AddRun(standin.Run{Request: id, Instance: "i-2", Team: "parish", At: second(at + 0.01)})
}

// If a check could not fail, a soak would pass on a faulty fleet. Each check gets a record with one injected fault, and
// exactly that check must report a breach.
func TestEachCheckFindsItsFault(t *testing.T) {
	sent := func(id string, at float64, status int) Sent {
		return Sent{ID: id, Team: "parish", Key: "k", At: second(at), Answer: standin.Answer{Status: status, Correct: true, RetryAfter: "0.2"}}
	}
	ran := func(id, instance string, at float64) standin.Run {
		return standin.Run{Request: id, Instance: instance, Team: "parish", At: second(at)}
	}
	tests := map[string]struct {
		inject func(r *Record)
		want   string
	}{
		"no fault": {func(*Record) {}, ""},
		"answer to another request": {func(r *Record) {
			s := sent("x", 1, 200)
			s.Answer.Correct = false
			r.AddRequest(s)
			r.AddRun(ran("x", "i-1", 1))
		}, "wrongAnswer"},
		"a non-idempotent request that ran twice": {func(r *Record) {
			r.AddRequest(sent("x", 1, 502))
			r.AddRun(ran("x", "i-1", 1))
			r.AddRun(ran("x", "i-2", 2))
		}, "ranTwice"},
		"an idempotent request that ran twice": {func(r *Record) {
			s := sent("x", 1, 200)
			s.Idempotent = true
			r.AddRequest(s)
			r.AddRun(ran("x", "i-1", 1))
			r.AddRun(ran("x", "i-2", 2))
		}, ""},
		"refused as not run but ran":     {func(r *Record) { r.AddRequest(sent("x", 1, 503)); r.AddRun(ran("x", "i-1", 1)) }, "falseNotRun"},
		"run without a request":          {func(r *Record) { r.AddRun(ran("x", "i-1", 1)) }, "ranForNobody"},
		"run for another team":           {func(r *Record) { s := sent("x", 1, 200); s.Key = "g"; r.AddRequest(s); r.AddRun(ran("x", "i-1", 1)) }, "wrongTeam"},
		"key reached the backend server": {func(r *Record) { r.AddRequest(sent("x", 1, 200)); n := ran("x", "i-1", 1); n.Key = "k"; r.AddRun(n) }, "keySeen"},
		"key used long after its withdrawal": {func(r *Record) {
			s := sent("z", 59.5, 200)
			s.Key = "d"
			r.AddWithdrawal("d", second(54))
			r.AddRequest(s)
			r.AddRun(ran("z", "i-1", 59.6))
		}, "withdrawnKey"},
		"key used soon after its withdrawal": {func(r *Record) {
			s := sent("z", 57, 200)
			s.Key = "d"
			r.AddWithdrawal("d", second(54))
			r.AddRequest(s)
			r.AddRun(ran("z", "i-1", 59.6))
		}, ""},
		"team over its rate": {func(r *Record) {
			for i := range 90 {
				id := fmt.Sprint("g", i)
				r.AddRequest(Sent{ID: id, Team: "greedy", Key: "g", At: second(1)})
				r.AddRun(standin.Run{Request: id, Instance: "i-1", Team: "greedy", At: second(1 + float64(i)*0.05)})
			}
		}, "rateExceeded"},
		"request after the endpoint left":     {func(r *Record) { r.AddLeave("i-1", second(56)) }, "afterLeaving"},
		"request after the endpoint returned": {func(r *Record) { r.AddLeave("i-1", second(10)); r.AddReturn("i-1", second(11)) }, ""},
		"requests fail after all faults ended": {func(r *Record) {
			for i := range 20 {
				r.AddRequest(sent(fmt.Sprint("f", i), 50, 502))
			}
		}, "notRecovered"},
		"request after an answer said that the endpoint leaves": {func(r *Record) {
			s := sent("told", 40, 200)
			s.Node, s.Answered, s.Answer.Instance, s.Answer.Leaving = "node-1", second(40), "i-1", true
			r.AddRequest(s)
			r.AddRun(ran("told", "i-1", 40))
			addArrival(r, "node-1", "i-1", 1, 42.5)
		}, "afterLeavingAnswer"},
		"request to an endpoint started anew after it left": {func(r *Record) {
			s := sent("told", 40, 200)
			s.Node, s.Answered, s.Answer.Instance, s.Answer.Leaving = "node-1", second(40), "i-1", true
			r.AddRequest(s)
			r.AddRun(ran("told", "i-1", 40))
			r.AddStart("i-1", second(41))
			addArrival(r, "node-1", "i-1", 1, 42.5)
		}, ""},
		"refused without a time to return": {func(r *Record) {
			s := sent("x", 1, 503)
			s.Answer.RetryAfter = ""
			r.AddRequest(s)
		}, "withoutRetryAfter"},
		"retries beyond their ratio": {func(r *Record) {
			// 40 requests in 10 s, 14 of which reach a second endpoint: 0.2 x 40 + 5 = 13 are allowed.
			for i := range 40 {
				addSpread(r, fmt.Sprint("s", i), 20+float64(i)/4, i%3 == 0)
			}
		}, "retriesExceeded"},
		"retries within their ratio": {func(r *Record) {
			for i := range 40 {
				addSpread(r, fmt.Sprint("s", i), 20+float64(i)/4, i%3 == 0 && i > 0)
			}
		}, ""},
		"a request at an endpoint cut by a planned stop": {func(r *Record) {
			s := sent("x", 24, 0)
			s.Node, s.Answered, s.Answer.Err = "node-1", second(24.8), io.ErrUnexpectedEOF
			r.AddRequest(s)
			r.AddArrival(standin.Arrival{Request: "x", Instance: "i-1", At: second(24.01)})
			r.stops["node-1"] = []span{{from: second(20), to: second(24.8)}}
		}, "cutByStop"},
		"a request without a whole answer from its endpoint, during a planned stop": {func(r *Record) {
			s := sent("x", 24, 0)
			s.Node, s.Answered, s.Answer.Err = "node-1", second(24.8), io.ErrUnexpectedEOF
			r.AddRequest(s)
			r.AddArrival(standin.Arrival{Request: "x", Instance: "i-1", At: second(24.01)})
			r.AddSpoiled(standin.Arrival{Request: "x"})
			r.stops["node-1"] = []span{{from: second(20), to: second(24.8)}}
		}, ""},
		"a run with another body": {func(r *Record) {
			s := sent("x", 1, 200)
			s.Body = "whole"
			r.AddRequest(s)
			run := ran("x", "i-1", 1)
			run.Body = "whol"
			r.AddRun(run)
		}, "damagedBody"},
		"another body after an early answer": {func(r *Record) {
			s := sent("x", 1, 200)
			s.Body = "whole"
			r.AddRequest(s)
			r.AddRun(ran("x", "i-1", 1))
			r.AddReceived("x", "whol")
		}, "damagedBody"},
		"a process exited": {func(r *Record) { r.AddExit("node 3: exit status 2") }, "ended"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := recordWithoutBreaches()
			test.inject(r)
			got := ""
			for _, b := range r.Judge(terms) {
				got = b.Check
			}
			assert.Equal(t, got, test.want, "%v", r.Judge(terms))
			assert.Assert(t, got == "" || slices.Contains(CheckNames(), got))
		})
	}
}

// Guards against a run that passes although a check other than the known ones found something.
func TestKnownChecksAloneDontFailARun(t *testing.T) {
	report := Report{Breaches: []Breach{{Check: "notRecovered"}, {Check: "ranTwice"}, {Check: "notRecovered"}}}
	for name, test := range map[string]struct {
		known []string
		want  int
	}{
		"none": {nil, 3}, "one": {[]string{"notRecovered"}, 1}, "both": {[]string{"notRecovered", "ranTwice"}, 0},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, report.CountBreaches(test.known), test.want) })
	}
}

// Guards against a breach that doesn't tell whether the fleet or the machine was too slow.
func TestNotRecoveredNamesReasonsAndLatenessIsMeasured(t *testing.T) {
	r := recordWithoutBreaches()
	for i := range 20 {
		r.AddRequest(Sent{
			ID: fmt.Sprint("f", i), Node: "node-1", Path: "/read/x", Team: "parish", Key: "k", At: second(50),
			Answer: standin.Answer{Status: 503, Reason: "pressure", RetryAfter: "1"},
		})
	}
	breaches := r.Judge(terms)
	assert.Equal(t, len(breaches), 1)
	assert.Assert(t, strings.Contains(breaches[0].Detail, "20 of node-1 /read/x 503 pressure"), breaches[0].Detail)
	r.addLateness(second(31), time.Second)
	r.addLateness(second(36), 300*time.Millisecond)
	r.addLateness(second(37), 20*time.Millisecond)
	assert.Equal(t, r.MaxLateness(), 300*time.Millisecond)
}
