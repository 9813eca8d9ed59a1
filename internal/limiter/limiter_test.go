package limiter

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// oracle records the verdicts on each call in plain maps.
type oracle struct {
	calls           map[CallID]Call
	queued, running map[CallID]bool
	final           map[CallID]bool
	slots           int
}

// check verifies the verdicts of one event, in their order.
func (o *oracle) check(t *rapid.T, verdicts []Verdict, now clock.Time, displacing bool) {
	for _, v := range verdicts {
		c := o.calls[v.ID]
		assert.Assert(t, !o.final[v.ID], "call %d got a second final verdict", v.ID)
		o.final[v.ID] = v.Action != Queue
		delete(o.queued, v.ID)
		switch v.Action {
		case Dispatch:
			assert.Assert(t, c.Deadline > now, "an expired call was dispatched")
			o.running[v.ID] = true
			assert.Assert(t, len(o.running) <= o.slots, "more calls than slots")
		case Queue:
			o.queued[v.ID] = true
		case Shed:
			for id := range o.queued {
				assert.Assert(t, !displacing || o.calls[id].Rank <= c.Rank, "rank %d shed before %d", c.Rank, o.calls[id].Rank)
			}
		case Expire:
		}
	}
	for id := range o.queued {
		assert.Assert(t, o.calls[id].Deadline > now, "an expired call is still queued")
	}
}

func TestLimiterAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := clock.Time(0)
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		l := New(Options{
			Slots: slots, Queue: rapid.IntRange(1, 4).Draw(t, "queue"), ColdStart: clock.Duration(rapid.IntRange(0, 50).Draw(t, "cold")),
			Order: Order(rapid.IntRange(0, 3).Draw(t, "order")), Law: Law(rapid.IntRange(0, 2).Draw(t, "law")),
		}, now)
		o := &oracle{
			calls: map[CallID]Call{}, queued: map[CallID]bool{}, running: map[CallID]bool{},
			final: map[CallID]bool{}, slots: slots,
		}
		draining := false
		pick := func(t *rapid.T, from map[CallID]bool) CallID {
			ids := []CallID{}
			for id := CallID(1); int(id) <= len(o.calls); id++ {
				if from[id] {
					ids = append(ids, id)
				}
			}
			if len(ids) == 0 {
				t.Skip("none")
			}
			return rapid.SampledFrom(ids).Draw(t, "id")
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				for range rapid.IntRange(1, 8).Draw(t, "calls") {
					c := Call{
						ID:       CallID(len(o.calls) + 1),
						Rank:     identifier.Rank(rapid.Uint16().Draw(t, "rank")),
						Deadline: now.Add(clock.Duration(rapid.IntRange(-1, 60).Draw(t, "patience"))),
					}
					o.calls[c.ID] = c
					out := l.Offer(c, now, nil)
					o.check(t, out, now, !draining)
					assert.Assert(t, o.final[c.ID] || o.queued[c.ID], "no verdict for the call offered")
				}
			},
			"done": func(t *rapid.T) {
				id := pick(t, o.running)
				delete(o.running, id)
				o.check(t, l.Done(id, Outcome(rapid.IntRange(0, 3).Draw(t, "outcome")), now, nil), now, true)
			},
			"cancel": func(t *rapid.T) {
				id := pick(t, o.queued)
				out := l.Cancel(id, now, nil)
				assert.Equal(t, out[0], Verdict{id, Shed})
				o.check(t, out, now, false)
			},
			"tick": func(t *rapid.T) {
				now = now.Add(clock.Duration(rapid.IntRange(0, 40).Draw(t, "time")))
				o.check(t, l.Tick(now, nil), now, !draining)
			},
			"slots": func(t *rapid.T) {
				n := rapid.IntRange(1, 6).Draw(t, "slots")
				// Calls that run already may exceed the new slots; from then on, no more than both.
				o.slots = max(n, len(o.running))
				l.SetSlots(n, now)
			},
			"drain": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "dice") > 0 {
					t.Skip("rarely")
				}
				draining = true
				l.Drain()
				o.check(t, l.Tick(now, nil), now, false)
				assert.Equal(t, l.Queued(), 0)
			},
			"": func(t *rapid.T) {
				assert.Equal(t, l.InFlight(), len(o.running))
				assert.Equal(t, l.Queued(), len(o.queued))
				assert.Assert(t, l.Limit() >= 1 && l.Limit() <= max(o.slots, 6))
			},
		})
	})
}

// A backend server that has just started serves its first calls slowly. Calls in all its slots at once would time out,
// and callers would see errors after every rolling restart.
func TestColdStartIsRamped(t *testing.T) {
	l := New(Options{Slots: 80, ColdStart: 10 * clock.Second}, 1000)
	for second, limit := range map[int]int{0: 10, 5: 45, 10: 80, 20: 80} {
		l := New(Options{Slots: 80, ColdStart: 10 * clock.Second}, 1000)
		l.Tick(clock.Time(1000+1000*second), nil)
		assert.Equal(t, l.Limit(), limit, "second %d", second)
	}
	assert.Equal(t, l.Limit(), 10)
}

// Uploads hold slots for minutes. If they hold all slots, an urgent call that arrives then waits for one of them to end
// although it is first in the queue, and times out.
func TestUrgentCallFindsReservedSlot(t *testing.T) {
	l := New(Options{Slots: 8}, 0)
	id, now := CallID(0), clock.Time(0)
	offer := func(p identifier.Priority) []Verdict {
		id++
		return l.Offer(Call{ID: id, Rank: identifier.MakeRank(p, 0, 0), Deadline: clock.Never}, now, nil)
	}
	offer(identifier.Urgent)
	now = 60_000
	l.Done(id, Succeeded, now, nil)
	for range 20 {
		offer(identifier.Urgent)
		l.Done(id, Succeeded, now, nil)
		offer(identifier.Normal)
	}
	assert.DeepEqual(t, offer(identifier.Urgent), []Verdict{{id, Dispatch}})
}

// A call with less time left than calls take would use a slot and time out. The service would then answer fewer calls
// whenever it is slow.
func TestCallsThatMissDeadlineExpire(t *testing.T) {
	l := New(Options{Slots: 1}, 0)
	for id := range CallID(20) {
		l.Offer(Call{ID: id, Deadline: clock.Never}, 0, nil)
	}
	now := clock.Time(0)
	for id := range CallID(19) {
		now = now.Add(100)
		l.Done(id, Succeeded, now, nil)
	}
	out := l.Offer(Call{ID: 100, Deadline: now.Add(50)}, now, nil)
	assert.DeepEqual(t, out, []Verdict{{100, Expire}})
	l.Done(19, Succeeded, now.Add(100), nil)
	out = l.Offer(Call{ID: 101, Deadline: now.Add(150)}, now.Add(100), nil)
	assert.DeepEqual(t, out, []Verdict{{101, Dispatch}})
}

func BenchmarkOfferDone(b *testing.B) {
	for _, slots := range []int{20, 200} {
		b.Run(fmt.Sprint("slots=", slots), func(b *testing.B) {
			l := New(Options{Slots: slots}, 0)
			var out []Verdict
			running := make([]CallID, 0, slots)
			b.ReportAllocs()
			for i := range b.N {
				now := clock.Time(i / 4)
				c := Call{ID: CallID(i), Rank: identifier.Rank(i * 40503), Deadline: now.Add(500)}
				out = l.Offer(c, now, out[:0])
				if i%2 == 1 && len(running) > 0 {
					out = l.Done(running[0], Succeeded, now, out)
					running = append(running[:0], running[1:]...)
				}
				for _, v := range out {
					if v.Action == Dispatch {
						running = append(running, v.ID)
					}
				}
			}
		})
	}
}

// A request whose run takes longer than its queue timeout, such as one whose nested calls take most of the time, must
// still be run. If its run time were compared with its queue timeout instead of its deadline, it would seem unable to
// end in time, and the endpoint would run only a sixteenth of its limit.
func TestQueueTimeoutIsNoDeadline(t *testing.T) {
	l := New(Options{Slots: 32, Law: FixedLaw, Order: DueFirst}, 0)
	now := clock.Time(0)
	for id := CallID(1); id <= 64; id++ {
		call := Call{ID: id, Deadline: now.Add(5000), WaitUntil: now.Add(300), Due: now.Add(1200)}
		out := l.Offer(call, now, nil)
		assert.DeepEqual(t, out, []Verdict{{id, Dispatch}})
		now += 400
		l.Done(id, Succeeded, now, nil)
	}
	for id := CallID(100); id < 132; id++ {
		call := Call{ID: id, Deadline: now.Add(5000), WaitUntil: now.Add(300), Due: now.Add(1200)}
		assert.DeepEqual(t, l.Offer(call, now, nil), []Verdict{{id, Dispatch}})
	}
	waiting := Call{ID: 200, Deadline: now.Add(5000), WaitUntil: now.Add(300)}
	assert.DeepEqual(t, l.Offer(waiting, now, nil), []Verdict{{200, Queue}})
	assert.DeepEqual(t, l.Tick(now.Add(299), nil), []Verdict(nil))
	assert.DeepEqual(t, l.Tick(now.Add(300), nil), []Verdict{{200, Expire}})
}

// A lookup that is due in 100 ms waits behind nested calls that are due much later; ordered by age or rank it would be
// late.
func TestDueFirst(t *testing.T) {
	l := New(Options{Slots: 1, Law: FixedLaw, Order: DueFirst}, 0)
	l.Offer(Call{ID: 1, Deadline: 5000, Due: 1000}, 0, nil)
	l.Offer(Call{ID: 2, Deadline: 5000, Due: 900}, 1, nil)
	l.Offer(Call{ID: 3, Deadline: 5000, Due: 300}, 2, nil)
	l.Offer(Call{ID: 4, Deadline: 5000, Due: 100}, 3, nil)
	order := []CallID{}
	for running := CallID(1); len(order) < 3; {
		for _, v := range l.Done(running, Succeeded, 10, nil) {
			order = append(order, v.ID)
			running = v.ID
		}
	}
	assert.DeepEqual(t, order, []CallID{4, 3, 2})
}
