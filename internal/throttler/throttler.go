package throttler

// The service at the end of a call chain is the one that fills up, but refusing there wastes all that was done above
// it: its callers' requests fail after their work. So the node beside a full endpoint only says which part of its load
// is too much, and the nodes that take root requests in refuse that part of what leads there, the least important
// first, before any work.
//
// What is refused takes effect about half a second later, by way of reports, root requests and their nested calls. A
// law that waits for the queue and then turns up refusals step by step swings: played against a demand of 1.3 to 2.5
// times the capacity, an integral of the queueing delay served 0.60 to 0.82 of what could be served, this one 0.95 to
// 0.98 (with delays of 300 and 600 ms). It works out the excess from what arrives and what the endpoint answers:
//
//	excess = 1 - capacity / demand, where demand = arriving / (1 - excess half a second ago)
//
// Example: 900 calls a second arrive while a tenth is refused, and 800 are answered: the demand is 1000, the excess 0.2.

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
)

const (
	// windowAtLeast and windowCalls bound the window over which rates are taken: with fewer calls chance alone makes
	// a difference of a sixth, and windowAtMost keeps a quiet endpoint from being judged by what is long past.
	windowAtLeast = 50 * clock.Millisecond
	windowAtMost  = 400 * clock.Millisecond
	windowCalls   = 40
	// loop is the time from a report of the excess to its effect here, as measured between nodes that report every
	// 200 ms while a service is pressed.
	loop = 450 * clock.Millisecond
	// arrivingGain and capacityGain are the weights of one window in the rates, excessGain that in the excess.
	arrivingGain = 0.5
	capacityGain = 0.2
	excessGain   = 0.3
	// usedCapacity is the part of the capacity that is aimed at; with all of it a queue would never shorten.
	usedCapacity = 0.97
	// drainSeconds is the time in which a standing queue is to shorten to nothing.
	drainSeconds = 2.5
	// growthPerSecond is how fast the capacity is taken to grow while the endpoint has free slots: what it can do is
	// only seen when it is full, and an endpoint that was slow once must not be held to that.
	growthPerSecond = 0.4
	// Most is the largest excess: something is always let through, or nobody would notice that the load has gone.
	Most = 0.95
)

// Throttler follows the excess load of one endpoint; it is not safe for concurrent use.
type Throttler struct {
	opened            clock.Time
	arrived, run      float64
	full              bool
	arriving, capable float64
	excess            float64
	history           []past
}

type past struct {
	at     clock.Time
	excess float64
}

// New returns a throttler without excess.
func New(now clock.Time) *Throttler {
	return &Throttler{opened: now, full: true}
}

// Arrived counts a call that came for the endpoint for the first time.
func (t *Throttler) Arrived() {
	t.arrived++
}

// Answered counts a call that the endpoint has run to its end. Calls that are given up while they run free their slots
// sooner than the endpoint can work: counted by their starts, an endpoint whose every caller times out seems to run all
// that comes, and nothing is refused though nothing is served.
func (t *Throttler) Answered() {
	t.run++
}

// Observe takes the number of waiting calls; it is called on each tick.
func (t *Throttler) Observe(waiting int, now clock.Time) {
	t.full = t.full && waiting > 0
	span := now.Sub(t.opened)
	if span < windowAtLeast || span < windowAtMost && t.arrived < windowCalls {
		return
	}
	seconds := float64(span) / float64(clock.Second)
	t.learn(seconds)
	t.judge(float64(waiting), now)
	t.opened, t.arrived, t.run, t.full = now, 0, 0, true
}

func (t *Throttler) learn(seconds float64) {
	t.arriving += arrivingGain * (t.arrived/seconds - t.arriving)
	rate := t.run / seconds
	switch {
	case t.full && t.capable == 0:
		t.capable = rate
	case t.full:
		t.capable += capacityGain * (rate - t.capable)
	case t.capable > 0:
		t.capable = max(t.capable, rate) * (1 + growthPerSecond*seconds)
	}
}

func (t *Throttler) judge(waiting float64, now clock.Time) {
	want := 0.0
	if t.capable > 0 && t.arriving > 0 {
		demand := t.arriving / (1 - t.before(now))
		want = 1 - (usedCapacity*t.capable-waiting/drainSeconds)/demand
	}
	t.excess += excessGain * (min(Most, max(0, want)) - t.excess)
	if t.excess < leastExcess {
		t.excess = 0
	}
	t.history = append(t.history, past{at: now, excess: t.excess})
	for len(t.history) > 1 && now.Sub(t.history[1].at) >= loop {
		t.history = t.history[1:]
	}
}

// leastExcess is taken for none, so that a calm fleet knows that it is calm.
const leastExcess = 0.005

// before returns the excess whose effect is seen now.
func (t *Throttler) before(now clock.Time) float64 {
	if len(t.history) == 0 || now.Sub(t.history[0].at) < loop {
		return 0
	}
	return t.history[0].excess
}

// Excess returns the part of the endpoint's load that is too much.
func (t *Throttler) Excess() float64 {
	return t.excess
}

// Mean returns the mean of some excesses weighted by slots; without slots it is 0.
func Mean(excesses, slots []float64) float64 {
	sum, weight := 0.0, 0.0
	for i, e := range excesses {
		sum += e * slots[i]
		weight += slots[i]
	}
	if weight == 0 {
		return 0
	}
	return sum / weight
}
