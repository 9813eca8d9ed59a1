package conductor

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

// deliver runs a call at the local endpoint for some time.
func deliver(t *testing.T, c *Conductor, id CallID, request identifier.Request, outcome Outcome, now clock.Time, took clock.Duration) {
	t.Helper()
	onlyEffect[Run](t, c.Apply(DeliveryArrived{
		ID: id, Request: request, Host: "h", Path: "/calc/x", Endpoint: "i-self", Deadline: now + 700, QueueTimeout: 100, Due: now + 300,
	}, now))
	c.Apply(DeliveryEnded{ID: id, Outcome: outcome}, now.Add(took))
}

// Guards against rates that nodes act on although nothing is declined, and against rates that lag by more than a second.
func TestDeclinedCallsAreReported(t *testing.T) {
	c := newConductor("clock")
	configure(t, c, configuration(1, route("calc", "clock", matcher.Idempotent)), 0)
	announceEndpoint(c, 100, 1, false, 0)
	phases := map[Outcome]clock.Time{Answered: 0, Declined: 2000}
	for _, outcome := range []Outcome{Answered, Declined} {
		for now := phases[outcome]; now < phases[outcome]+1500; now += 10 {
			deliver(t, c, CallID(now)+1, "r", outcome, now, 1)
		}
		r := c.Report(phases[outcome] + 1500)
		if outcome == Answered {
			assert.Equal(t, r.Offered+r.Declined, 0.0)
			continue
		}
		assert.Assert(t, r.Offered > 85 && r.Offered < 115, "%v", r.Offered)
		assert.Assert(t, r.Declined > 0.9*r.Offered, "%v of %v", r.Declined, r.Offered)
	}
	assert.Equal(t, c.Report(8000).Declined, 0.0)
}

// Guards against work for nothing that no metric shows.
func TestFailedRunsAreCounted(t *testing.T) {
	tests := map[string]struct {
		outcome Outcome
		took    clock.Duration
		want    clock.Duration
	}{
		"answered in time": {Answered, 100, 0},
		"answered late":    {Answered, 800, 800},
		"caller left":      {Abandoned, 60, 60},
		"broken":           {Broken, 30, 30},
		"declined":         {Declined, 5, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newConductor("clock")
			configure(t, c, configuration(1, route("calc", "clock", matcher.Idempotent)), 0)
			announceEndpoint(c, 100, 1, false, 0)
			deliver(t, c, 1, "r", test.outcome, 10, test.took)
			assert.Equal(t, c.Dump(900).FailedSlotTime, test.want)
		})
	}
}

// Guards against a run that is not counted as failed although a call that it needed was rejected.
func TestRunWithRejectedCallIsCounted(t *testing.T) {
	c := newConductor("desk")
	inner := route("in", "clock", matcher.Idempotent)
	inner.Public = true
	configure(t, c, configuration(1, route("calc", "desk", matcher.Idempotent), inner), 0)
	learnMembers(c, peer("a", "clock"))
	announceEndpoint(c, 100, 1, false, 0)
	c.Apply(DeliveryArrived{
		ID: 1, Request: "r", Host: "h", Path: "/calc/x", Endpoint: "i-self", Deadline: 700, QueueTimeout: 100, Due: 300,
	}, 0)
	onlyEffect[Send](t, c.Apply(RequestArrived{ID: 2, Host: "h", Path: "/in/x", Parent: "r", Left: 700, Boot: boot}, 10))
	onlyEffect[Refuse](t, c.Apply(AttemptEnded{ID: 2, Outcome: Declined, Replayable: true}, 20))
	c.Apply(DeliveryEnded{ID: 1, Outcome: Answered}, 40)
	assert.Equal(t, c.Dump(50).FailedSlotTime, 40*clock.Millisecond)
}

// Guards against a run whose nested calls lose its rank, or whose failure is counted for another run, when an attempt under the
// same id ends while it runs.
func TestRunOutlivesAnotherAttemptUnderItsID(t *testing.T) {
	tests := map[string]struct {
		firstOutcome Outcome
		want         clock.Duration
	}{
		"the first caller left":      {Abandoned, 30 + 20},
		"the first attempt declined": {Declined, 20},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newConductor("desk")
			inner := route("in", "clock", matcher.Idempotent)
			inner.Public = true
			configure(t, c, configuration(1, route("calc", "desk", matcher.Idempotent), inner), 0)
			learnMembers(c, peer("a", "clock"))
			announceEndpoint(c, 100, 1, false, 0)
			const rank = 12_345
			for i, now := range []clock.Time{0, 20} {
				onlyEffect[Run](t, c.Apply(DeliveryArrived{
					ID: CallID(i + 1), Request: "r", Host: "h", Path: "/calc/x", Endpoint: "i-self", Rank: rank, Deadline: 700, QueueTimeout: 100,
					Due: 300,
				}, now))
			}
			c.Apply(DeliveryEnded{ID: 1, Outcome: test.firstOutcome}, 30)
			sent := onlyEffect[Send](t, c.Apply(RequestArrived{ID: 3, Host: "h", Path: "/in/x", Parent: "r", Left: 600, Boot: boot}, 32))
			assert.Equal(t, sent.Rank, identifier.Rank(rank))
			onlyEffect[Refuse](t, c.Apply(AttemptEnded{ID: 3, Outcome: Declined, Replayable: true}, 35))
			c.Apply(DeliveryEnded{ID: 2, Outcome: Answered}, 40)
			assert.Equal(t, c.Dump(50).FailedSlotTime, test.want)
		})
	}
}

// Guards against a decline that the log does not show, and one that it shows for a few declined calls.
func TestDeclineIsLoggedOnce(t *testing.T) {
	tests := map[string]struct {
		offered, declined float64
		want              int
	}{
		"half":      {100, 50, 2},
		"few":       {100, 8, 0},
		"one of 10": {2.5, 2.5, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newConductor("desk")
			configure(t, c, configuration(1, route("calc", "clock", matcher.Idempotent)), 0)
			announceEndpoint(c, 100, 1, false, 0)
			c.Apply(ReportsReceived{Reports: []exchanger.Report{
				{Member: peer("a", "clock"), Number: 1, Offered: test.offered, Declined: test.declined},
			}}, 0)
			var logged []DecliningChanged
			for now := clock.Time(0); now < 4000; now += 25 {
				for _, e := range c.Apply(Ticked{}, now) {
					if d, ok := e.(DecliningChanged); ok {
						logged = append(logged, d)
					}
				}
			}
			assert.Equal(t, len(logged), test.want, "%+v", logged)
			if test.want > 0 {
				assert.Assert(t, logged[0].Declining && !logged[1].Declining)
			}
		})
	}
}
