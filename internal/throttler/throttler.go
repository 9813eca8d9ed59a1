package throttler

// The service at the end of a call chain is the one that fills up, but refusing there wastes all that was done above
// it: its callers' requests fail after their work. So the node beside a full endpoint only says which part of its load
// is too much, and the nodes that take root requests in refuse that part of what leads there, the least important
// first, before any work.
//
// Example: a queue of twice the target for a second moves the excess from 0 to a quarter of the load.

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
)

// Options set a throttler up; zero fields take the defaults.
type Options struct {
	// Target is the queueing delay at which the excess holds still.
	Target clock.Duration
}

const (
	// defaultTarget holds where nothing is known of the endpoint's calls; least and mostTarget bound what is.
	defaultTarget = 20 * clock.Millisecond
	leastTarget   = 8 * clock.Millisecond
	mostTarget    = 60 * clock.Millisecond
	// risePerSecond is how fast the excess rises at twice the target. The loop through reports and root requests takes
	// about 0.5 s; at twice the speed the excess swings between nothing and everything.
	risePerSecond = 0.25
	// fallPerSecond is how fast it falls with no queue: callers that were refused come back within a second, and
	// would fill the queue again if all were let in at once.
	fallPerSecond = 0.25
	// steepest bounds what one very long queue can do.
	steepest = 3.0
	// Most is the largest excess: something is always let through, or nobody would notice that the load has gone.
	Most = 0.95
)

// Throttler follows the excess load of one endpoint; it is not safe for concurrent use.
type Throttler struct {
	target  float64
	excess  float64
	moved   clock.Time
	started bool
}

// New returns a throttler without excess.
func New(o Options) *Throttler {
	if o.Target <= 0 {
		o.Target = defaultTarget
	}
	return &Throttler{target: float64(o.Target)}
}

// SetTarget takes over the queueing delay that chance alone causes at the endpoint. A target above it lets the queue
// stand where every call waits; one below it refuses calls of an endpoint that has room.
func (t *Throttler) SetTarget(d clock.Duration) {
	if d > 0 {
		t.target = float64(min(mostTarget, max(leastTarget, d)))
	}
}

// Observe takes the queueing delay of a call that would arrive now.
func (t *Throttler) Observe(delay clock.Duration, now clock.Time) {
	if !t.started {
		t.started = true
		t.moved = now
		return
	}
	seconds := float64(now.Sub(t.moved)) / float64(clock.Second)
	t.moved = now
	deviation := min(steepest, float64(delay)/t.target-1)
	slope := risePerSecond
	if deviation < 0 {
		slope = fallPerSecond
	}
	t.excess = min(Most, max(0, t.excess+slope*deviation*seconds))
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
