// A queue that has grown does not say how many calls to refuse, only that it is too many. The gate turns the
// measured delay into a rate that the service can take, and the rate into the rank up to which calls are
// taken. Working with a rate keeps it from staying closed: when demand falls below the rate, it opens at once.
//
// The node that owns a gate feeds it: Admit for each call, Served for each dispatch, Observe with the limiter's
// QueueDelay and SetTarget with its ExpectedDelay on each tick.
//
// Example: 3000 calls a second come, 1000 get through with a queueing delay under the target: the threshold
// settles on the rank that a third of the calls do not exceed.

package admitter

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// GateOptions set a gate up; zero fields take the defaults.
type GateOptions struct {
	// Target is the least queueing delay that the gate aims at; default 20 ms.
	Target clock.Duration
	// Window is how often the threshold moves; default 50 ms.
	Window clock.Duration
	// Law is how the rate follows the measured delay.
	Law Law
}

const (
	defaultTarget = 20 * clock.Millisecond
	defaultWindow = 50 * clock.Millisecond
)

// Gate moves one service's threshold at one delivery node; it is not safe for concurrent use.
type Gate struct {
	options     GateOptions
	target      clock.Duration
	demand      demand
	threshold   identifier.Threshold
	windowStart clock.Time
	pace        pace
	open        bool
	// strained counts the windows in a row in which urgent calls alone were too many.
	strained int

	admitted, served, delays, observations float64
}

// NewGate returns a gate that is open.
func NewGate(o GateOptions) *Gate {
	if o.Target <= 0 {
		o.Target = defaultTarget
	}
	if o.Window <= 0 {
		o.Window = defaultWindow
	}
	return &Gate{options: o, target: o.Target, threshold: identifier.MaxRank, open: true, pace: newPace(o.Law)}
}

// Observe takes a measured queueing delay; call it with every change of the queue and with ticks.
func (g *Gate) Observe(queueDelay clock.Duration, now clock.Time) {
	g.roll(now)
	g.delays += float64(queueDelay)
	g.observations++
}

// longestTarget bounds the queue of a service whose callers have time.
const longestTarget = clock.Second

// SetTarget takes over the queueing delay that chance alone causes (the limiter's ExpectedDelay). Below it the
// gate would refuse calls of a service that has room; how one would notice: refusals at 80% load.
func (g *Gate) SetTarget(d clock.Duration) {
	g.target = min(max(d, g.options.Target), longestTarget)
}

// Served counts a call handed to the backend server; the gate learns from it what the service can take.
func (g *Gate) Served(now clock.Time) {
	g.roll(now)
	g.served++
}

// Admit tells whether a call of the given rank may enter the queue, and counts it.
func (g *Gate) Admit(r identifier.Rank, now clock.Time) bool {
	g.roll(now)
	g.demand.count(r)
	if r > g.threshold {
		return false
	}
	g.admitted++
	return true
}

// Threshold returns the highest rank taken.
func (g *Gate) Threshold() identifier.Threshold {
	return g.threshold
}

const (
	// enoughServed calls make a window; with fewer, chance would move the threshold up and down.
	enoughServed = 10
	// extraWindows is by how many windows one is lengthened to get them.
	extraWindows = 3
)

// roll ends the window when it is time; a long silence counts as many windows at once.
func (g *Gate) roll(now clock.Time) {
	passed := now.Sub(g.windowStart)
	if passed < g.options.Window {
		return
	}
	if g.served < enoughServed && passed < (1+extraWindows)*g.options.Window {
		return
	}
	g.endWindow(float64(passed) / float64(g.options.Window))
	g.windowStart = now
}

// slack is how far demand must be below the rate for the gate to open.
const slack = 0.97

func (g *Gate) endWindow(windows float64) {
	g.demand.fold(g.threshold, windows)
	delay := 0.0
	if g.observations > 0 {
		delay = g.delays / g.observations
	}
	g.pace.learn(window{
		admitted: g.admitted / windows,
		served:   g.served / windows,
		delay:    delay / float64(g.target),
		open:     g.open,
	})
	g.move(delay)
	g.admitted, g.served, g.delays, g.observations = 0, 0, 0, 0
}

func (g *Gate) move(delay float64) {
	target := float64(g.target)
	if g.open && delay <= target {
		return
	}
	rate := g.pace.rate(delay / target)
	g.open = delay <= target && g.demand.total() < rate*slack
	if g.open {
		g.threshold = identifier.MaxRank
		g.strained = 0
		return
	}
	g.threshold = g.keepUrgent(g.demand.quantile(rate))
}

// strainedEnough is how many windows urgent calls alone must be too many before some of them are refused.
const strainedEnough = 10

// keepUrgent keeps a short peak from refusing urgent calls. A threshold among the urgent ranks while other
// calls were still queued would refuse urgent calls for the sake of a queue that they do not wait in.
func (g *Gate) keepUrgent(t identifier.Threshold) identifier.Threshold {
	if t > lastUrgent {
		g.strained = 0
		return t
	}
	g.strained++
	if g.strained <= strainedEnough {
		return lastUrgent
	}
	return t
}
