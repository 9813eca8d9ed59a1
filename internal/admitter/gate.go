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
	options        GateOptions
	target         clock.Duration
	demand         demand
	threshold      identifier.Threshold
	windowStart    clock.Time
	rateController rateController
	open           bool
	// urgentOverloadWindows counts the windows in a row in which urgent calls alone were too many.
	urgentOverloadWindows int

	admitted, served, delaySum, observations float64
}

// NewGate returns a gate that is open.
func NewGate(o GateOptions) *Gate {
	if o.Target <= 0 {
		o.Target = defaultTarget
	}
	if o.Window <= 0 {
		o.Window = defaultWindow
	}
	return &Gate{options: o, target: o.Target, threshold: identifier.MaxRank, open: true, rateController: newRateController(o.Law)}
}

// Observe takes a measured queueing delay; call it with every change of the queue and with ticks.
func (g *Gate) Observe(queueDelay clock.Duration, now clock.Time) {
	g.endWindowIfDue(now)
	g.delaySum += float64(queueDelay)
	g.observations++
}

// maxTarget bounds the queue of a service whose callers have time.
const maxTarget = clock.Second

// SetTarget takes over the queueing delay that chance alone causes (the limiter's ExpectedDelay). Below it the
// gate would refuse calls of a service that has room; how one would notice: refusals at 80% load.
func (g *Gate) SetTarget(d clock.Duration) {
	g.target = min(max(d, g.options.Target), maxTarget)
}

// Served counts a call handed to the backend server; the gate learns from it what the service can take.
func (g *Gate) Served(now clock.Time) {
	g.endWindowIfDue(now)
	g.served++
}

// Admit tells whether a call of the given rank may enter the queue, and counts it.
func (g *Gate) Admit(r identifier.Rank, now clock.Time) bool {
	g.endWindowIfDue(now)
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
	// minServed calls make a window; with fewer, chance would move the threshold up and down.
	minServed = 10
	// maxExtraWindows is by how many windows one is lengthened to get them.
	maxExtraWindows = 3
)

// endWindowIfDue ends the window when it is time; a long silence counts as many windows at once.
func (g *Gate) endWindowIfDue(now clock.Time) {
	passed := now.Sub(g.windowStart)
	if passed < g.options.Window {
		return
	}
	if g.served < minServed && passed < (1+maxExtraWindows)*g.options.Window {
		return
	}
	g.endWindow(float64(passed) / float64(g.options.Window))
	g.windowStart = now
}

// openingMargin is how far demand must be below the rate for the gate to open.
const openingMargin = 0.97

func (g *Gate) endWindow(windows float64) {
	g.demand.updateRates(g.threshold, windows)
	delay := 0.0
	if g.observations > 0 {
		delay = g.delaySum / g.observations
	}
	g.rateController.learn(window{
		admitted: g.admitted / windows,
		served:   g.served / windows,
		delay:    delay / float64(g.target),
		open:     g.open,
	})
	g.updateThreshold(delay)
	g.admitted, g.served, g.delaySum, g.observations = 0, 0, 0, 0
}

func (g *Gate) updateThreshold(delay float64) {
	target := float64(g.target)
	if g.open && delay <= target {
		return
	}
	rate := g.rateController.rate(delay / target)
	g.open = delay <= target && g.demand.total() < rate*openingMargin
	if g.open {
		g.threshold = identifier.MaxRank
		g.urgentOverloadWindows = 0
		return
	}
	g.threshold = g.protectUrgent(g.demand.quantile(rate))
}

// maxUrgentOverloadWindows is how many windows urgent calls alone must be too many before some of them are refused.
const maxUrgentOverloadWindows = 10

// protectUrgent keeps a short peak from refusing urgent calls. A threshold among the urgent ranks while other
// calls were still queued would refuse urgent calls for the sake of a queue that they do not wait in.
func (g *Gate) protectUrgent(t identifier.Threshold) identifier.Threshold {
	if t > maxUrgentRank {
		g.urgentOverloadWindows = 0
		return t
	}
	g.urgentOverloadWindows++
	if g.urgentOverloadWindows <= maxUrgentOverloadWindows {
		return maxUrgentRank
	}
	return t
}
