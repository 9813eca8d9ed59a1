// The length of a queue shows that too many calls are admitted, but not how many to refuse. The gate derives from the
// measured queueing delay the rate that the service can serve, and from that rate the threshold: the highest rank
// admitted (the lower a call's rank, the more urgent it is). The rate also lets the gate open at once when demand falls
// below it, instead of staying closed.
//
// The owner of a gate calls Admit for each call, Served for each dispatch, and on each tick Observe with the limiter's
// QueueDelay and SetTarget with its ExpectedDelay.
//
// Example: 3000 calls a second arrive, and 1000 can be served with a queueing delay below the target: the threshold
// settles at the rank that a third of the calls do not exceed.

package admitter

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// GateOptions configures a Gate; zero fields take the defaults.
type GateOptions struct {
	// Target is the lower bound of the queueing delay that the gate aims at; default 20 ms.
	Target clock.Duration
	// Window is the interval between updates of the threshold; default 50 ms.
	Window clock.Duration
	// Law is the control law by which the rate follows the measured delay.
	Law Law
}

const (
	defaultTarget = 20 * clock.Millisecond
	defaultWindow = 50 * clock.Millisecond
)

// Gate controls the admission threshold of one service at one delivery node; it is not safe for concurrent use.
type Gate struct {
	options        GateOptions
	target         clock.Duration
	demand         demand
	threshold      identifier.Threshold
	windowStart    clock.Time
	rateController rateController
	// open is set while the gate admits all ranks.
	open bool
	// urgentOverloadWindows counts the consecutive windows in which urgent calls alone exceeded the rate.
	urgentOverloadWindows int

	admitted, served, delaySum, observations float64
}

// NewGate returns a gate that is open: it admits all ranks.
func NewGate(o GateOptions) *Gate {
	if o.Target <= 0 {
		o.Target = defaultTarget
	}
	if o.Window <= 0 {
		o.Window = defaultWindow
	}
	return &Gate{options: o, target: o.Target, threshold: identifier.MaxRank, open: true, rateController: newRateController(o.Law)}
}

// Observe records a measured queueing delay; it is called on every change of the queue and on every tick.
func (g *Gate) Observe(queueDelay clock.Duration, now clock.Time) {
	g.endWindowIfDue(now)
	g.delaySum += float64(queueDelay)
	g.observations++
}

// maxTarget is the upper bound of the target delay, which limits the queue of a service whose callers set long
// deadlines.
const maxTarget = clock.Second

// SetTarget sets the target to the queueing delay that random arrivals cause below capacity (the limiter's
// ExpectedDelay). With a lower target the gate would refuse calls of a service with spare capacity, for instance at 80%
// utilization.
func (g *Gate) SetTarget(d clock.Duration) {
	g.target = min(max(d, g.options.Target), maxTarget)
}

// Served counts a call dispatched to the backend server; the capacity estimate is based on these counts.
func (g *Gate) Served(now clock.Time) {
	g.endWindowIfDue(now)
	g.served++
}

// Admit counts a call of the given rank and reports whether it may enter the queue.
func (g *Gate) Admit(r identifier.Rank, now clock.Time) bool {
	g.endWindowIfDue(now)
	g.demand.count(r)
	if r > g.threshold {
		return false
	}
	g.admitted++
	return true
}

// Threshold returns the highest rank that is admitted.
func (g *Gate) Threshold() identifier.Threshold {
	return g.threshold
}

const (
	// minServed is how many served calls a window needs; with fewer, random variation would make the threshold oscillate.
	minServed = 10
	// maxExtraWindows is by how many window lengths a window is extended at most to reach minServed.
	maxExtraWindows = 3
)

// endWindowIfDue ends the current window if it has lasted long enough; after a long time without calls, it counts as
// several windows.
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

// openingMargin is the fraction of the rate that demand must stay below for the gate to open.
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

// maxUrgentOverloadWindows is how many consecutive windows urgent calls alone may exceed the rate before some of them
// are refused.
const maxUrgentOverloadWindows = 10

// protectUrgent keeps the threshold at or above the highest urgent rank during short peaks. While calls of lower
// priority are still queued, refusing urgent calls would not help, since urgent calls do not wait behind them.
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
