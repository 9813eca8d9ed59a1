// One limiter stands in front of one backend server. It runs calls up to a limit within the announced slots,
// queues by rank with deadlines, and gives up work that cannot end in time before it costs anything.
//
// Example: 2 slots, calls ranked 10, 20, 30, 5 offered in this order: 10 and 20 run, 30 and 5 wait, and the
// first slot that comes free goes to 5.

package limiter

import (
	"math"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Limiter decides on the calls of one backend server; it is not safe for concurrent use.
type Limiter struct {
	options  Options
	slots    int
	started  clock.Time
	draining bool
	entries  []entry
	free     []int32
	index    map[CallID]int32
	queue    queue
	inFlight int
	limit    int
	service  estimate
	law      law
	// lastUrgent is when an urgent call last came.
	lastUrgent clock.Time
}

// New returns a limiter whose cold start begins now.
func New(o Options, now clock.Time) *Limiter {
	o = o.withDefaults()
	l := &Limiter{
		options:    o,
		slots:      o.Slots,
		started:    now,
		index:      make(map[CallID]int32, o.Slots+o.Queue),
		queue:      queue{order: o.Order},
		law:        newLaw(o.Law, float64(o.Slots)),
		lastUrgent: now.Add(-urgentMemory),
	}
	l.grow(o.Slots + o.Queue + 1)
	l.adjust(now)
	return l
}

// Offer takes a call in; the verdicts are for it and for any queued call that it displaced or that expired.
func (l *Limiter) Offer(c Call, now clock.Time, out []Verdict) []Verdict {
	if l.draining {
		return append(out, Verdict{c.ID, Shed})
	}
	if l.doomed(c, now) {
		return append(out, Verdict{c.ID, Expire})
	}
	if c.Rank.Priority() == identifier.Urgent {
		l.lastUrgent = now
	}
	out = l.Tick(now, out)
	number := l.take(c)
	if l.mayRun(c.Rank, now) && l.queue.len() == 0 {
		return l.dispatch(number, now, out)
	}
	l.queue.push(number, c)
	queued := len(out)
	out = append(out, Verdict{c.ID, Queue})
	out = l.dispatchAll(now, out)
	if l.queue.len() > l.options.Queue {
		out = l.shedWorst(out)
	}
	return l.settle(c.ID, queued, out)
}

// settle drops the Queue verdict at the given place when a final one for the same call follows it.
func (l *Limiter) settle(id CallID, queued int, out []Verdict) []Verdict {
	for _, v := range out[queued+1:] {
		if v.ID == id {
			return append(out[:queued], out[queued+1:]...)
		}
	}
	return out
}

// Done frees the slot of a dispatched call and dispatches the next ones; an unknown id is ignored.
func (l *Limiter) Done(id CallID, o Outcome, now clock.Time, out []Verdict) []Verdict {
	number, ok := l.index[id]
	if !ok || !l.entries[number].running {
		return out
	}
	l.measure(now.Sub(l.entries[number].dispatched), o, now)
	l.inFlight--
	l.release(number)
	return l.Tick(now, out)
}

// Cancel sheds a queued call; a dispatched one keeps its slot until Done.
func (l *Limiter) Cancel(id CallID, now clock.Time, out []Verdict) []Verdict {
	number, ok := l.index[id]
	if !ok || l.entries[number].running {
		return out
	}
	l.unqueue(number)
	out = append(out, Verdict{id, Shed})
	return l.Tick(now, out)
}

// Tick drops what has expired, follows the ramp of a cold start, and dispatches what may run.
func (l *Limiter) Tick(now clock.Time, out []Verdict) []Verdict {
	if l.draining {
		for l.queue.len() > 0 {
			out = l.shedWorst(out)
		}
		return out
	}
	l.adjust(now)
	out = l.expire(now, out)
	return l.dispatchAll(now, out)
}

// SetSlots takes a new number of slots over; running calls beyond it finish. Call Tick next.
func (l *Limiter) SetSlots(slots int, now clock.Time) {
	l.slots = max(slots, 1)
	l.law.setSlots(float64(l.slots))
	l.grow(l.slots + l.options.Queue + 1)
	l.adjust(now)
}

// fullLoad is the announced load from which a backend server says that it is overloaded.
const fullLoad = 1

// Announced takes the backend server's load figure (1 is full) as a hint. All that it can do is to have the
// limit tried out sooner; a figure that lies changes no verdict by itself.
func (l *Limiter) Announced(load float64, now clock.Time) {
	_ = now
	if load >= fullLoad {
		l.law.suspect()
	}
}

// Drain ends dispatching for good; the next Tick sheds what is queued.
func (l *Limiter) Drain() {
	l.draining = true
}

// InFlight returns how many calls the backend server runs.
func (l *Limiter) InFlight() int {
	return l.inFlight
}

// Queued returns how many calls wait.
func (l *Limiter) Queued() int {
	return l.queue.len()
}

// Limit returns how many calls may run at once now.
func (l *Limiter) Limit() int {
	return l.limit
}

// Headroom returns the free part of the limit as answers carry it: 0 is none, 255 all.
func (l *Limiter) Headroom() uint8 {
	free := l.limit - l.inFlight - l.queue.len()
	if l.draining || free <= 0 {
		return 0
	}
	return uint8(math.MaxUint8 * free / l.limit)
}

// QueueDelay returns how long a call would wait behind all that is queued, by the measured service time.
func (l *Limiter) QueueDelay(now clock.Time) clock.Duration {
	_ = now
	wait := float64(l.queue.len()) * l.service.mean / float64(l.limit)
	return clock.Duration(math.Ceil(wait))
}

const (
	// chanceCalls times the square root of the limit is how many calls wait now and then at full but not
	// excessive load.
	chanceCalls = 4
)

// ExpectedDelay returns the queueing delay that chance alone causes, which is no sign of overload.
func (l *Limiter) ExpectedDelay() clock.Duration {
	return clock.Duration(chanceCalls * l.service.mean / math.Sqrt(float64(l.limit)))
}

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
	return append(out, Verdict{e.call.ID, Dispatch})
}

func (l *Limiter) dispatchAll(now clock.Time, out []Verdict) []Verdict {
	for l.queue.len() > 0 {
		number := l.queue.best.first()
		c := l.entries[number].call
		if !l.mayRun(c.Rank, now) {
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
		if !l.doomed(c, now) {
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

// measure learns from calls that took their time; a failure may have been quick, and a cancelled call only
// tells something if it had already run longer than usual.
func (l *Limiter) measure(d clock.Duration, o Outcome, now clock.Time) {
	latency := float64(d)
	if o == Failed || o == Cancelled && latency <= l.service.mean {
		return
	}
	l.service.add(latency)
	if now.Sub(l.started) < l.options.ColdStart {
		return
	}
	l.law.finished(sample{
		latency: latency,
		full:    l.inFlight >= l.limit-l.reserve(now),
		quiet:   2*l.inFlight < l.limit,
	}, now)
}

// coldFraction is the part of the slots that a cold backend server starts with.
const coldFraction = 8

func (l *Limiter) adjust(now clock.Time) {
	l.law.tick(now)
	l.limit = min(l.ramp(now), max(1, int(l.law.limit())))
}

func (l *Limiter) ramp(now clock.Time) int {
	age := now.Sub(l.started)
	if age >= l.options.ColdStart {
		return l.slots
	}
	low := max(1, l.slots/coldFraction)
	grown := clock.Duration(l.slots-low) * age / l.options.ColdStart
	return low + int(grown)
}
