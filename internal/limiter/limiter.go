// A limiter controls the calls to one backend server. It runs calls up to a concurrency limit within the announced
// slots, queues the others by rank with deadlines, and expires calls that cannot end in time before they use a slot.
//
// Example: 2 slots, calls ranked 10, 20, 30, 5 offered in this order: 10 and 20 run, 30 and 5 wait, and the first slot
// that becomes free goes to 5.

package limiter

import (
	"math"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Limiter decides on the calls to one backend server; it is not safe for concurrent use.
type Limiter struct {
	options     Options
	slots       int
	started     clock.Time
	draining    bool
	entries     []entry
	free        []int32
	index       map[CallID]int32
	queue       queue
	inFlight    int
	limit       int
	serviceTime estimate
	// slack estimates the time that offered calls have left until their deadlines.
	slack estimate
	law   law
	// lastUrgent is when the last urgent call was offered.
	lastUrgent clock.Time
	// waiting is true while calls are queued, and waitingSince is when the queue was last empty.
	waiting      bool
	waitingSince clock.Time
	// cold limits the calls until coldUntil, named until it is lifted.
	cold, named bucket
	coldUntil   clock.Time
	// lastDispatch is when the last call was dispatched; everDispatched is false before the first one.
	lastDispatch   clock.Time
	everDispatched bool
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
		lastUrgent: now.Add(-urgentWindow),
	}
	l.grow(o.Slots + o.Queue + 1)
	l.updateLimit(now)
	return l
}

// Offer takes a call; the verdicts are for it and for queued calls that it displaced or that expired.
func (l *Limiter) Offer(c Call, now clock.Time, out []Verdict) []Verdict {
	if l.draining {
		return append(out, Verdict{c.ID, Shed})
	}
	if l.missesDeadline(c, now) {
		return append(out, Verdict{c.ID, Expire})
	}
	if c.Rank.Priority() == identifier.Urgent {
		l.lastUrgent = now
	}
	l.slack.add(float64(c.Deadline.Sub(now)))
	out = l.Tick(now, out)
	number := l.allocate(c)
	if l.withinLimit(c.Rank, now) && l.hasToken(now) && l.queue.len() == 0 {
		return l.dispatch(number, now, out)
	}
	l.queue.push(number, c)
	queued := len(out)
	out = append(out, Verdict{c.ID, Queue})
	out = l.dispatchAll(now, out)
	if l.queue.len() > l.maxQueued(now) {
		out = l.shedWorst(out)
	}
	return l.dropQueueVerdict(c.ID, queued, out)
}

// dropQueueVerdict removes the Queue verdict at the given index if a final verdict for the same call follows it.
func (l *Limiter) dropQueueVerdict(id CallID, queued int, out []Verdict) []Verdict {
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
	l.measure(now.Sub(l.entries[number].dispatchedAt), o, now)
	l.inFlight--
	l.release(number)
	return l.Tick(now, out)
}

// Cancel sheds a queued call; a dispatched call keeps its slot until Done.
func (l *Limiter) Cancel(id CallID, now clock.Time, out []Verdict) []Verdict {
	number, ok := l.index[id]
	if !ok || l.entries[number].running {
		return out
	}
	l.unqueue(number)
	out = append(out, Verdict{id, Shed})
	return l.Tick(now, out)
}

// Tick expires queued calls, advances the ramp of a cold start, and dispatches calls within the limit.
func (l *Limiter) Tick(now clock.Time, out []Verdict) []Verdict {
	if l.draining {
		for l.queue.len() > 0 {
			out = l.shedWorst(out)
		}
		return out
	}
	l.updateLimit(now)
	out = l.expire(now, out)
	return l.dispatchAll(now, out)
}

// SetSlots sets the number of slots; running calls in excess of it finish. Call Tick next.
func (l *Limiter) SetSlots(slots int, now clock.Time) {
	l.slots = max(slots, 1)
	l.law.setSlots(float64(l.slots))
	l.grow(l.slots + l.options.Queue + 1)
	l.updateLimit(now)
}

// overloadThreshold is the reported load above which a backend server is suspected to be overloaded. A healthy server
// that is full reports 1; if that raised a suspicion, each trial would take a quarter of its slots when all are needed.
const overloadThreshold = 1.1

// ReportLoad takes the load that the backend server reports (1 is full) as a hint. A high load only starts the next
// trial of a lower limit sooner, so a false figure changes no verdict by itself.
func (l *Limiter) ReportLoad(load float64, now clock.Time) {
	_ = now
	if load > overloadThreshold {
		l.law.requestTrial()
	}
}

// Drain stops dispatching permanently; the next Tick sheds the queued calls.
func (l *Limiter) Drain() {
	l.draining = true
}

// InFlight returns how many calls the backend server is running.
func (l *Limiter) InFlight() int {
	return l.inFlight
}

// Queued returns how many calls are queued.
func (l *Limiter) Queued() int {
	return l.queue.len()
}

// Limit returns the concurrency limit now.
func (l *Limiter) Limit() int {
	return l.limit
}

// Headroom returns the free fraction of the limit as answers carry it: 0 is none, 255 all.
func (l *Limiter) Headroom(now clock.Time) uint8 {
	free := l.limit - l.inFlight - l.queue.len()
	if l.draining || free <= 0 {
		return 0
	}
	headroom := uint8(math.MaxUint8 * free / l.limit)
	for _, b := range l.rateBuckets(now) {
		if l.queue.len() > 0 {
			return 0
		}
		headroom = min(headroom, b.headroom())
	}
	return headroom
}

// QueueDelay returns how long a call would wait behind all queued calls, by the measured service time and by the rates
// that apply.
func (l *Limiter) QueueDelay(now clock.Time) clock.Duration {
	delay := clock.Duration(math.Ceil(float64(l.queue.len()) * l.serviceTime.mean / float64(l.limit)))
	for _, b := range l.rateBuckets(now) {
		delay = max(delay, b.wait(l.queue.len(), now))
	}
	return delay
}

const (
	// burstQueueFactor times the square root of the limit is the number of calls that random arrivals queue from time
	// to time at full but not excessive load.
	burstQueueFactor = 4
	// maxSlackFraction is the largest fraction of the calls' remaining time that the expected delay may use.
	maxSlackFraction = 1.0 / 2
)

// ExpectedDelay returns the queueing delay that random arrivals cause without overload.
func (l *Limiter) ExpectedDelay() clock.Duration {
	burstDelay := burstQueueFactor * l.serviceTime.mean / math.Sqrt(float64(l.limit))
	return clock.Duration(min(burstDelay, maxSlackFraction*l.slack.mean))
}
