package conductor

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

// Guards against a queue that no other node knows of.
func TestStandingQueueIsReported(t *testing.T) {
	c := newConductor("clock")
	inner := route("in", "clock", matcher.Idempotent)
	inner.Public = true
	configure(t, c, configuration(3, inner), 0)
	announceEndpoint(c, 100, 1, false, 0)
	c.arrivalsNeededUntil = 100_000
	running := map[CallID]clock.Time{}
	id := CallID(0)
	step := func(now clock.Time, arriving int) {
		take := func(effects []Effect) {
			for _, e := range append([]Effect(nil), effects...) {
				if r, ok := e.(Run); ok {
					running[r.ID] = now
				}
			}
		}
		for call, began := range running {
			if now.Sub(began) >= 50 {
				delete(running, call)
				take(c.Apply(DeliveryEnded{ID: call, Outcome: Answered}, now))
			}
		}
		for range arriving {
			id++
			take(c.Apply(DeliveryArrived{
				ID: id, Host: "h", Path: "/in/x", Endpoint: "i-self", Nested: true, Deadline: now + 9000, QueueTimeout: 9000, Due: now + 9000,
			}, now))
		}
		if now%25 == 0 {
			take(c.Apply(Ticked{}, now))
		}
	}
	// Of 94 usable slots with runs of 50 ms, nine calls in 5 ms need 90.
	for now := clock.Time(5); now < 4000; now += 5 {
		step(now, 9)
	}
	idle := c.Report(4000)
	assert.Equal(t, idle.Queue, 0.0)
	for now := clock.Time(4000); now < 4500; now += 5 {
		step(now, 12)
	}
	full := c.Report(4500)
	assert.Assert(t, full.Queue > 100 && full.Queue <= float64(c.limiter.Queued()), "%v of %v", full.Queue, c.limiter.Queued())
	assert.Assert(t, idle.Capacity > 1700 && full.Capacity > 1700, "%v, %v", idle.Capacity, full.Capacity)
}

// Guards against refusals that leave a queue as it is, and against such that go on for calls that have run since the report.
func TestStandingQueueIsRefusedFor(t *testing.T) {
	tests := map[string]struct {
		queue float64
		age   clock.Duration
		want  float64
	}{
		// 0.97 * 800 of 900 calls fit: 42,000 ms less 36,213 ms.
		"no queue": {want: 5787.0 / 32000},
		// 30 calls in 0.3 s need 100 of 800 a second; no more than 0.15 of the capacity is kept for a queue.
		"standing queue":     {queue: 30, want: 10453.0 / 32000},
		"long queue":         {queue: 3000, want: 11387.0 / 32000},
		"queue of a younger": {queue: 30, age: 100, want: 10453.0 / 32000},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := planned(t, exchanger.Report{Load: 900, Capacity: 800, Queue: test.queue, Age: test.age}, exchanger.Report{})
			assertNear(t, ratioOf(c, "obs", "portal", 2), test.want)
		})
	}
	// 600 of 800 are admitted: 200 a second have run for 0.25 s.
	l := serviceLoad{capacity: 800, queue: 60, queueAge: 60 * 0.25}
	assert.Equal(t, l.standingQueue(600), 10.0)
	assert.Equal(t, l.standingQueue(900), 60.0)
	assert.Equal(t, l.standingQueue(100), 0.0)
}
