package conductor

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

// Guards against a queue that no node takes into account: the fleet would admit as much as an endpoint can run, and the calls that
// are queued already would stay queued until they expire.
func TestQueuedCallsReduceReportedCapacity(t *testing.T) {
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
	idle := c.Report(4000).Capacity
	assert.Equal(t, c.limiter.Queued(), 0)
	for now := clock.Time(4000); now < 4500; now += 5 {
		step(now, 12)
	}
	queued := float64(c.queueFloor.standing()) * float64(clock.Second) / float64(queueDrainTime)
	assert.Assert(t, queued > 100, "%v", queued)
	full := c.throttler.FullRate()
	assert.Equal(t, c.Report(4500).Capacity, full-queued)
	assert.Assert(t, idle > 1700 && full > 1700, "%v, %v", idle, full)
}
