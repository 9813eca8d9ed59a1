package throttler

// The service at the end of a call chain is the one that fills up, but refusing there wastes all that was done above
// it: its callers' requests fail after their work. So the node beside a full endpoint only says how hard it is
// pressed, and the nodes that take root requests in refuse some of those whose chains lead there, the least
// important first, before any work.
//
// The pressure is 0 when nothing need be refused, 1 when all of the least important class must be, 2 when all of
// the two least important, and so on.
//
// Example: pressure 1.25 over the classes {0, 1, 2}: all of class 2 and a quarter of class 1 are refused.

import (
	"math"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

// Classes is how many classes of importance are told apart.
const Classes = 4

// Options set a throttler up; zero fields take the defaults.
type Options struct {
	// Target is the queueing delay at which the pressure holds still.
	Target clock.Duration
}

const (
	// defaultTarget keeps four nested calls in a row below a fifth of an objective of 1.2 s.
	defaultTarget = 40 * clock.Millisecond
	// risePerSecond is how fast the pressure rises at twice the target: a demand of twice the capacity is met within
	// about a second, the delay of the loop through the nodes is about a third of that.
	risePerSecond = 0.8
	// fallPerSecond is how fast it falls with no queue. It is slower than the rise, or refused callers that come
	// back would fill the queue again at once.
	fallPerSecond = 0.35
	// steepest bounds the error that one very long queue can make of itself.
	steepest = 3.0
	// Most is the highest pressure: the most important class is never refused whole.
	Most = Classes - 0.1
)

// Throttler follows the pressure on one endpoint; it is not safe for concurrent use.
type Throttler struct {
	target   float64
	pressure float64
	moved    clock.Time
	started  bool
}

// New returns a throttler without pressure.
func New(o Options) *Throttler {
	if o.Target <= 0 {
		o.Target = defaultTarget
	}
	return &Throttler{target: float64(o.Target)}
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
	t.pressure = min(Most, max(0, t.pressure+slope*deviation*seconds))
}

// Pressure returns the pressure on the endpoint.
func (t *Throttler) Pressure() float64 {
	return t.pressure
}

// Refused returns the part of a class that is refused under a pressure; class 0 is the most important.
func Refused(class int, pressure float64) float64 {
	class = min(max(class, 0), Classes-1)
	return min(1, max(0, pressure-float64(Classes-1-class)))
}

// Present maps classes to their place among those that are in use, so that pressure does not pass through classes
// that nobody sends.
type Present [Classes]bool

// Refused is like the function of that name, for the classes in use.
func (p Present) Refused(class int, pressure float64) float64 {
	class = min(max(class, 0), Classes-1)
	below := 0
	for c := class + 1; c < Classes; c++ {
		if p[c] {
			below++
		}
	}
	return min(1, max(0, pressure-float64(below)))
}

// Mean returns the mean of pressures weighted by slots; without slots it is 0.
func Mean(pressures, slots []float64) float64 {
	sum, weight := 0.0, 0.0
	for i, p := range pressures {
		sum += p * slots[i]
		weight += slots[i]
	}
	if weight == 0 || math.IsNaN(sum) {
		return 0
	}
	return sum / weight
}
