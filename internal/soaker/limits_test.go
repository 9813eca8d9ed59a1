package soaker

import (
	"net/http"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func buildProgram(t *testing.T) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "jackdawtide")
	out, err := exec.CommandContext(t.Context(), "go", "build", "-o", file, "../../cmd/jackdawtide").CombinedOutput()
	assert.NilError(t, err, string(out))
	return file
}

func runWithFaults(t *testing.T, names ...string) {
	t.Helper()
	report, err := Run(t.Context(), Options{
		Program: buildProgram(t), Directory: t.TempDir(), Seed: 1, Length: 6 * time.Second, Nodes: 6, Faults: names,
	})
	assert.NilError(t, err)
	assert.Equal(t, len(report.Breaches), 0, "faults %q\nbreaches %q", report.Faults, report.Breaches)
}

// Nodes passed on the rate limit that an endpoint named, and went on sending it several times as many requests.
func TestEndpointGetsNoMoreThanItsLimit(t *testing.T) {
	runWithFaults(t, "endpointLimited", "serviceLimited")
}

// Nodes passed on that an endpoint is leaving, and went on sending requests to it.
func TestEndpointThatLeavesInAnswersIsAvoided(t *testing.T) {
	runWithFaults(t, "endpointLeavesInAnswers")
}

// If the check could not fail, the soak would pass on a fleet that ignores limits.
func TestLimitCheck(t *testing.T) {
	const node, instance = "node-1", "i-1"
	type step struct {
		at, perSecond float64
		lifted        bool
		// unreadableAt is when answers began to hold other text, 0 for never.
		unreadableAt float64
	}
	named := func(at, perSecond float64) step { return step{at: at, perSecond: perSecond} }
	tests := map[string]struct {
		steps []step
		// toldAt is when the node passed on an answer with the limit, 0 for never.
		toldAt float64
		// from, to and perSecond are the requests of the node that reach the endpoint.
		from, to, perSecond float64
		// early is when single requests reach the endpoint before from.
		early   []float64
		excused [2]float64
		want    int
	}{
		"as named":                           {steps: []step{named(10, 20)}, toldAt: 10.1, from: 10, to: 30, perSecond: 20},
		"half more than named":               {steps: []step{named(10, 20)}, toldAt: 10.1, from: 10, to: 30, perSecond: 29},
		"twice as named":                     {steps: []step{named(10, 20)}, toldAt: 10.1, from: 10, to: 30, perSecond: 40, want: 1},
		"twice, by a node that was not told": {steps: []step{named(10, 20)}, from: 10, to: 30, perSecond: 40},
		"twice, until half a second after":   {steps: []step{named(10, 20)}, toldAt: 12.5, from: 10, to: 12.9, perSecond: 40},
		"twice, while the node was frozen": {
			steps: []step{named(10, 20)}, toldAt: 10.1, from: 10, to: 30, perSecond: 40, excused: [2]float64{10.2, 30},
		},
		"twice, long after a freeze": {
			steps: []step{named(10, 20)}, toldAt: 15, from: 10, to: 30, perSecond: 40, excused: [2]float64{10.2, 11}, want: 1,
		},
		"lowered": {steps: []step{named(10, 40), named(20, 5)}, toldAt: 10.1, from: 10, to: 30, perSecond: 40, want: 1},
		"raised":  {steps: []step{named(10, 5), named(10.2, 40)}, toldAt: 10.1, from: 14, to: 30, perSecond: 40},
		"lifted":  {steps: []step{named(10, 5), {at: 13, lifted: true}}, toldAt: 10.1, from: 14, to: 30, perSecond: 40},
		"lowered, but never named": {
			steps: []step{named(10, 40), {at: 20, unreadableAt: 23}}, toldAt: 10.1, early: []float64{12}, from: 24, to: 30, perSecond: 30,
		},
		"lowered and named once": {
			steps: []step{named(10, 40), {at: 20, unreadableAt: 23}}, toldAt: 10.1, early: []float64{12, 22}, from: 24, to: 30, perSecond: 30, want: 1,
		},
		"none": {steps: []step{named(10, 0)}, toldAt: 10.1, from: 10, to: 30, perSecond: 0.5},
		"none, but some": {
			steps: []step{named(10, 0)}, toldAt: 10.1, from: 10, to: 30, perSecond: 3, want: 1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := NewRecord()
			for _, s := range test.steps {
				if s.lifted {
					r.AddLimitLifted(instance, second(s.at))
				} else {
					r.AddLimit(instance, second(s.at), s.perSecond)
				}
				if s.unreadableAt > 0 {
					r.AddUnreadableLimit(instance, second(s.unreadableAt))
				}
			}
			if test.toldAt > 0 {
				r.AddRequest(Sent{ID: "told", Node: node, At: second(test.toldAt), Answered: second(test.toldAt), Answer: limitedAnswer(instance)})
			}
			if test.excused[1] > 0 {
				r.excuses[node] = []span{{from: second(test.excused[0]), to: second(test.excused[1])}}
			}
			for i, at := range test.early {
				addArrival(r, node, instance, -1-i, at)
			}
			for i := 0; test.from+float64(i)/test.perSecond < test.to; i++ {
				addArrival(r, node, instance, i, test.from+float64(i)/test.perSecond)
			}
			assert.Equal(t, len(r.limitExceeded(Promises)), test.want, "%v", r.limitExceeded(Promises))
		})
	}
}

// limitPhases are the times of a run with limits, from its begin: limits are named from limitedAt to liftedAt; requests count
// as limited from settledAt on and as served again from restoredAt on.
type limitPhases struct{ limitedAt, settledAt, liftedAt, restoredAt, length time.Duration }

var phases = limitPhases{
	limitedAt: 2 * time.Second, settledAt: 4 * time.Second, liftedAt: 10 * time.Second, restoredAt: 12 * time.Second,
	length: 10*time.Second + recoveryGrace + 2*time.Second,
}

// runWithLimit runs a fleet, of which the selected endpoints name a limit for a while and which has no other faults, and
// returns when its callers began.
func runWithLimit(t *testing.T, perSecond float64, selected func(*node) bool) (f *fleet, begun time.Time) {
	t.Helper()
	f, end, err := startFleet(t.Context(), Options{Program: buildProgram(t), Directory: t.TempDir(), Seed: 1, Nodes: 6})
	t.Cleanup(end)
	assert.NilError(t, err)
	begun = time.Now()
	stop := f.startCallers(t.Context())
	time.Sleep(phases.limitedAt)
	for _, n := range f.nodes {
		if selected(n) {
			f.setLimit(n, perSecond)
		}
	}
	time.Sleep(phases.liftedAt - phases.limitedAt)
	f.endFaults()
	time.Sleep(phases.length - phases.liftedAt)
	stop()
	assert.Equal(t, len(f.record.Judge(Promises)), 0, "%v", f.record.Judge(Promises))
	return f, begun
}

// While all endpoints of a service were limited below its demand, what could not be run was refused late, to any caller,
// without a time to return, or after it had run; or requests for other services suffered, or the service did not come back.
func TestLimitedServiceRefusesLeastUrgentFirst(t *testing.T) {
	const (
		// Each of the two endpoints takes 80 of some 130 requests a second, half of which are urgent.
		perSecond = 80
		// A request may be queued for an eighth of its route's 1.5 s; the rest is for the hops on a busy machine.
		maxRefusalTime = 400 * time.Millisecond
	)
	f, begun := runWithLimit(t, perSecond, func(n *node) bool { return n.service == services[0] })
	runs := f.record.runsOf()
	var urgent, casual, others, after counts
	for _, s := range f.record.sent {
		at := s.At.Sub(begun)
		if s.Key != steadyKey || at < phases.settledAt || at > phases.liftedAt && at < phases.restoredAt {
			continue
		}
		served := s.Answer.Status == http.StatusOK
		switch {
		case at >= phases.restoredAt:
			after.add(served)
			continue
		case s.Path == "/read/x":
			urgent.add(served)
		case s.Path == "/browse/x":
			casual.add(served)
		default:
			others.add(served)
		}
		if served {
			continue
		}
		assert.Equal(t, s.Answer.Status, http.StatusServiceUnavailable)
		assert.Equal(t, len(runs[s.ID]), 0, "%s was refused and ran", s.ID)
		assert.Assert(t, s.Answer.RetryAfter != "")
		assert.Assert(t, s.Answered.Sub(s.At) < maxRefusalTime, "%s was refused after %s", s.ID, s.Answered.Sub(s.At))
	}
	limited := counts{sent: urgent.sent + casual.sent, served: urgent.served + casual.served}
	assert.Assert(t, urgent.ratio() > 0.9, "urgent: %+v, others: %+v", urgent, casual)
	assert.Assert(t, casual.ratio() < 0.5, "urgent: %+v, others: %+v", urgent, casual)
	assert.Assert(t, limited.ratio() > 0.5, "%+v: less than the limits allow", limited)
	assert.Assert(t, others.ratio() > 0.99, "%+v", others)
	assert.Assert(t, after.ratio() > 0.99, "%+v", after)
}

// One of two endpoints named a limit, and requests were refused although the other one had room, or that one got more than
// it could run.
func TestOtherEndpointsTakeWhatALimitedOneCannot(t *testing.T) {
	const perSecond = 20
	f, begun := runWithLimit(t, perSecond, func(n *node) bool { return n.instance == "i-0" })
	var all counts
	for _, s := range f.record.sent {
		if at := s.At.Sub(begun); s.Key == steadyKey && at >= phases.settledAt && at <= phases.liftedAt {
			all.add(s.Answer.Status == http.StatusOK)
		}
	}
	assert.Assert(t, all.ratio() > 0.99, "%+v", all)
	arrived := 0
	for _, a := range f.record.arrivals["i-0"] {
		if at := a.At.Sub(begun); at >= phases.settledAt && at <= phases.liftedAt {
			arrived++
		}
	}
	allowed := perSecond * (phases.liftedAt - phases.settledAt).Seconds()
	assert.Assert(t, float64(arrived) > 0.7*allowed, "%d of %.0f requests reached the limited endpoint", arrived, allowed)
	ran := map[string]bool{}
	for _, run := range f.record.runs {
		ran[run.Instance+run.Request] = true
	}
	for instance, arrivals := range f.record.arrivals {
		for _, a := range arrivals {
			assert.Assert(t, ran[instance+a.Request], "%s declined %s", instance, a.Request)
		}
	}
}

// counts are the requests sent and served.
type counts struct{ sent, served int }

func (c *counts) add(served bool) {
	c.sent++
	if served {
		c.served++
	}
}

func (c *counts) ratio() float64 {
	return float64(c.served) / float64(max(1, c.sent))
}
