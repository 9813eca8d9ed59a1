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
	// slack is the time that offered calls have left.
	slack estimate
	law   law
	// lastUrgent is when an urgent call last came.
	lastUrgent clock.Time
	// slowDependency tells that calls are queued, waitingSince since when without a gap.
	waiting      bool
	waitingSince clock.Time
	cold         cold
	// lastDispatch is when a call was last dispatched, if one was.
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

// Offer takes a call in; the verdicts are for it and for any queued call that it displaced or that expired.
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
	if l.withinLimit(c.Rank, now) && l.hasColdToken(now) && l.queue.len() == 0 {
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

// dropQueueVerdict drops the Queue verdict at the given place when a final one for the same call follows it.
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
	l.updateLimit(now)
	out = l.expire(now, out)
	return l.dispatchAll(now, out)
}

// SetSlots takes a new number of slots over; running calls beyond it finish. Call Tick next.
func (l *Limiter) SetSlots(slots int, now clock.Time) {
	l.slots = max(slots, 1)
	l.law.setSlots(float64(l.slots))
	l.grow(l.slots + l.options.Queue + 1)
	l.updateLimit(now)
}

// overloadThreshold is the announced load above which a backend server says that it is overloaded. A healthy one that is simply
// saturated announces 1; were that a suspicion, each trial would take a quarter of its slots just when all are needed.
const overloadThreshold = 1.1

// ReportLoad takes the backend server's load figure (1 is full) as a hint. All that it can do is to have the
// coldRate tried out sooner; a figure that lies changes no verdict by itself.
func (l *Limiter) ReportLoad(load float64, now clock.Time) {
	_ = now
	if load > overloadThreshold {
		l.law.requestTrial()
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

// SetColdRate returns how many calls may run at once now.
func (l *Limiter) Limit() int {
	return l.limit
}

// Headroom returns the free part of the limit as answers carry it: 0 is none, 255 all.
func (l *Limiter) Headroom(now clock.Time) uint8 {
	if l.isCold(now) && !l.draining {
		return l.coldHeadroom()
	}
	free := l.limit - l.inFlight - l.queue.len()
	if l.draining || free <= 0 {
		return 0
	}
	return uint8(math.MaxUint8 * free / l.limit)
}

// QueueDelay returns how long a call would wait behind all that is queued, by the measured service time.
func (l *Limiter) QueueDelay(now clock.Time) clock.Duration {
	if l.isCold(now) {
		return l.coldQueueDelay()
	}
	wait := float64(l.queue.len()) * l.serviceTime.mean / float64(l.limit)
	return clock.Duration(math.Ceil(wait))
}

const (
	// burstQueueFactor times the square root of the limit is how many calls wait now and then at full but not
	// excessive load.
	burstQueueFactor = 4
	// maxSlackFraction of the time that calls have left may at most go by in the queue.
	maxSlackFraction = 1.0 / 2
)

// ExpectedDelay returns the queueing delay that chance alone causes, which is no sign of overload.
func (l *Limiter) ExpectedDelay() clock.Duration {
	chance := burstQueueFactor * l.serviceTime.mean / math.Sqrt(float64(l.limit))
	return clock.Duration(min(chance, maxSlackFraction*l.slack.mean))
}
