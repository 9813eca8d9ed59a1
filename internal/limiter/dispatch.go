// Which call runs next is decided here: never one that cannot end in time, and never so many that an urgent call
// finds no slot.
//
// Example: limit 10, one slot kept back, 9 calls run: an urgent call runs at once, a normal one waits.

package limiter

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

func (l *Limiter) grow(n int) {
	for len(l.entries) < n {
		l.free = append(l.free, int32(len(l.entries)))
		l.entries = append(l.entries, entry{})
	}
	l.queue.grow(n)
}

func (l *Limiter) take(c Call) int32 {
	if len(l.free) == 0 {
		l.grow(len(l.entries) + 1)
	}
	last := len(l.free) - 1
	number := l.free[last]
	l.free = l.free[:last]
	l.entries[number] = entry{call: c}
	l.index[c.ID] = number
	return number
}

func (l *Limiter) release(number int32) {
	delete(l.index, l.entries[number].call.ID)
	l.entries[number] = entry{}
	l.free = append(l.free, number)
}

func (l *Limiter) unqueue(number int32) {
	l.queue.remove(number, l.entries[number].call)
	l.release(number)
}

func (l *Limiter) dispatch(number int32, now clock.Time, out []Verdict) []Verdict {
	e := &l.entries[number]
	e.running = true
	e.dispatched = now
	l.inFlight++
	l.start(now)
	return append(out, Verdict{e.call.ID, Dispatch})
}

func (l *Limiter) dispatchAll(now clock.Time, out []Verdict) []Verdict {
	defer l.noteQueue(now)
	for l.queue.len() > 0 {
		number := l.next(now)
		c := l.entries[number].call
		if !l.mayRun(c.Rank, now) || !l.mayStart(now) {
			return out
		}
		if l.doomed(c, now) {
			l.unqueue(number)
			out = append(out, Verdict{c.ID, Expire})
			continue
		}
		l.queue.remove(number, c)
		out = l.dispatch(number, now, out)
	}
	return out
}

func (l *Limiter) expire(now clock.Time, out []Verdict) []Verdict {
	for l.queue.len() > 0 {
		number := l.queue.soonest.first()
		c := l.entries[number].call
		if !l.doomed(c, now) && (c.WaitUntil == 0 || now < c.WaitUntil) {
			return out
		}
		l.unqueue(number)
		out = append(out, Verdict{c.ID, Expire})
	}
	return out
}

func (l *Limiter) shedWorst(out []Verdict) []Verdict {
	number := l.queue.worst.first()
	id := l.entries[number].call.ID
	l.unqueue(number)
	return append(out, Verdict{id, Shed})
}

// mayRun lets urgent calls use all slots, others what the limit leaves.
func (l *Limiter) mayRun(r identifier.Rank, now clock.Time) bool {
	if r.Priority() == identifier.Urgent {
		return l.inFlight < l.slots
	}
	return l.inFlight < l.limit-l.reserve(now)
}

const (
	// urgentMemory is how long after an urgent call the next one is expected.
	urgentMemory = 10 * clock.Second
	// urgentWait is how long an urgent call may wait for the next slot that comes free.
	urgentWait = 20
	// leastReserving is the smallest limit that a slot is kept back from.
	leastReserving = 4
)

// reserve keeps one slot back for urgent calls where slots come free too seldom. Otherwise uploads that take
// minutes could hold all slots, and a bulletin would wait behind them although it is the first in the queue.
func (l *Limiter) reserve(now clock.Time) int {
	if l.limit < leastReserving || now.Sub(l.lastUrgent) >= urgentMemory {
		return 0
	}
	if l.service.mean <= urgentWait*float64(l.limit) {
		return 0
	}
	return 1
}

// probeFraction of the limit may run even if the estimate says that it cannot end in time. Without it, a
// backend server that was slow once would get no call by which its recovery could be measured: every call
// would expire although the server is idle.
const probeFraction = 16

func (l *Limiter) doomed(c Call, now clock.Time) bool {
	left := c.Deadline.Sub(now)
	if left <= 0 {
		return true
	}
	if l.inFlight < max(1, l.limit/probeFraction) {
		return false
	}
	return float64(left) < l.service.optimistic()
}
