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

func (l *Limiter) allocate(c Call) int32 {
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
	e.dispatchedAt = now
	l.inFlight++
	l.countDispatch(now)
	return append(out, Verdict{e.call.ID, Dispatch})
}

func (l *Limiter) dispatchAll(now clock.Time, out []Verdict) []Verdict {
	defer l.trackQueue(now)
	for l.queue.len() > 0 {
		number := l.nextToDispatch(now)
		c := l.entries[number].call
		if !l.withinLimit(c.Rank, now) || !l.hasColdToken(now) {
			return out
		}
		if l.missesDeadline(c, now) {
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
		number := l.queue.byExpiry.first()
		c := l.entries[number].call
		if !l.missesDeadline(c, now) && (c.WaitUntil == 0 || now < c.WaitUntil) {
			return out
		}
		l.unqueue(number)
		out = append(out, Verdict{c.ID, Expire})
	}
	return out
}

func (l *Limiter) shedWorst(out []Verdict) []Verdict {
	number := l.queue.byShed.first()
	id := l.entries[number].call.ID
	l.unqueue(number)
	return append(out, Verdict{id, Shed})
}

// withinLimit lets urgent calls use all slots, others what the limit leaves.
func (l *Limiter) withinLimit(r identifier.Rank, now clock.Time) bool {
	if r.Priority() == identifier.Urgent {
		return l.inFlight < l.slots
	}
	return l.inFlight < l.limit-l.reservedSlots(now)
}

const (
	// urgentWindow is how long after an urgent call the next one is expected.
	urgentWindow = 10 * clock.Second
	// maxUrgentWaitMilliseconds is how long an urgent call may wait for the next slot that comes free.
	maxUrgentWaitMilliseconds = 20
	// minLimitWithReserve is the smallest limit that a slot is kept back from.
	minLimitWithReserve = 4
)

// reservedSlots keeps one slot back for urgent calls where slots come free too seldom. Otherwise uploads that take
// minutes could hold all slots, and a bulletin would wait behind them although it is the first in the queue.
func (l *Limiter) reservedSlots(now clock.Time) int {
	if l.limit < minLimitWithReserve || now.Sub(l.lastUrgent) >= urgentWindow {
		return 0
	}
	if l.serviceTime.mean <= maxUrgentWaitMilliseconds*float64(l.limit) {
		return 0
	}
	return 1
}

// probeDivisor of the limit may run even if the estimate says that it cannot end in time. Without it, a
// backend server that was slow once would get no call by which its recovery could be measured: every call
// would expire although the server is idle.
const probeDivisor = 16

func (l *Limiter) missesDeadline(c Call, now clock.Time) bool {
	left := c.Deadline.Sub(now)
	if left <= 0 {
		return true
	}
	if l.inFlight < max(1, l.limit/probeDivisor) {
		return false
	}
	return float64(left) < l.serviceTime.optimistic()
}
