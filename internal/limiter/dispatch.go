// This file decides which call runs next. It never dispatches a call that cannot end before its deadline, and it keeps
// a slot free for urgent calls where slots rarely become free.
//
// Example: limit 10, one slot reserved, 9 calls run: an urgent call runs at once, a normal one waits.

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
		if !l.withinLimit(c.Rank, now) || !l.hasToken(now) {
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

// withinLimit returns whether a call may run now: urgent calls may use all slots, other calls the limit less the
// reserved slot.
func (l *Limiter) withinLimit(r identifier.Rank, now clock.Time) bool {
	if r.Priority() == identifier.Urgent {
		return l.inFlight < l.slots
	}
	return l.inFlight < l.limit-l.reservedSlots(now)
}

const (
	// urgentWindow is how long after an urgent call another one is expected.
	urgentWindow = 10 * clock.Second
	// maxUrgentWaitMilliseconds is the longest average time until a slot becomes free for which no slot is reserved.
	maxUrgentWaitMilliseconds = 20
	// minLimitWithReserve is the smallest limit of which a slot is reserved.
	minLimitWithReserve = 4
)

// reservedSlots reserves one slot for urgent calls where slots rarely become free. Otherwise uploads that run for
// minutes could hold all slots, and an urgent call would wait behind them although it is the first in the queue.
func (l *Limiter) reservedSlots(now clock.Time) int {
	if l.limit < minLimitWithReserve || now.Sub(l.lastUrgent) >= urgentWindow {
		return 0
	}
	if l.serviceTime.mean <= maxUrgentWaitMilliseconds*float64(l.limit) {
		return 0
	}
	return 1
}

// probeDivisor divides the limit: up to that many calls may run even if they are estimated to miss their deadlines.
// Otherwise a backend server that was slow once would get no call by which its recovery could be measured: every call
// would expire although the server is idle.
const probeDivisor = 16

// missesDeadline returns whether the call's deadline has passed or is too close for the estimated service time.
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
