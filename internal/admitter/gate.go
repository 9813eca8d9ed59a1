// A queue that has grown does not say how many calls to refuse, only that it is too many. The gate turns the
// measured delay into a rate that the service can take, and the rate into the rank up to which calls are
// taken. Working with a rate keeps it from staying closed: when demand falls below the rate, it opens at once.
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
	// Target is the standing queueing delay that the gate aims at; default 20 ms.
	Target clock.Duration
	// Window is how often the threshold moves; default 50 ms.
	Window clock.Duration
}

const (
	defaultTarget = 20 * clock.Millisecond
	defaultWindow = 50 * clock.Millisecond
)

// Gate moves one service's threshold at one delivery node; it is not safe for concurrent use.
type Gate struct {
	options   GateOptions
	demand    demand
	threshold identifier.Threshold
	windowEnd clock.Time
	// rate is how many calls a window the gate lets through while it is not open.
	rate float64
	open bool
	// calm counts the windows in a row without a standing queue.
	calm int
	// strained counts the windows in a row in which urgent calls alone were too many.
	strained int

	observed         bool
	lowest           clock.Duration
	admitted, served float64
	admittedRate     float64
	servedRate       float64
}

// NewGate returns a gate that is open.
func NewGate(o GateOptions) *Gate {
	if o.Target <= 0 {
		o.Target = defaultTarget
	}
	if o.Window <= 0 {
		o.Window = defaultWindow
	}
	return &Gate{options: o, threshold: identifier.MaxRank, open: true}
}

// Observe takes a measured queueing delay; call it with every change of the queue and with ticks.
func (g *Gate) Observe(queueDelay clock.Duration, now clock.Time) {
	g.roll(now)
	if !g.observed || queueDelay < g.lowest {
		g.lowest = queueDelay
	}
	g.observed = true
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

// roll ends the windows that have passed; a long silence ends all of them as one.
func (g *Gate) roll(now clock.Time) {
	if now < g.windowEnd {
		return
	}
	if g.windowEnd == 0 {
		g.windowEnd = now.Add(g.options.Window)
		return
	}
	windows := 1 + now.Sub(g.windowEnd)/g.options.Window
	g.endWindow(float64(windows))
	g.windowEnd = g.windowEnd.Add(windows * g.options.Window)
}

// rateWeight is the weight of the newest window in the measured rates.
const rateWeight = 0.3

func (g *Gate) endWindow(windows float64) {
	g.demand.fold(g.threshold, windows)
	g.admittedRate += rateWeight * (g.admitted/windows - g.admittedRate)
	g.servedRate += rateWeight * (g.served/windows - g.servedRate)
	delay := clock.Duration(0)
	if g.observed {
		delay = g.lowest
	}
	g.move(delay)
	g.admitted, g.served = 0, 0
	g.observed = false
}

const (
	// steepestCut is the most by which one window lowers the rate under what the service takes.
	steepestCut = 0.3
	// growth is by how much a window without a queue raises the rate, and fastGrowth after several of them.
	growth     = 0.04
	fastGrowth = 0.15
	calmEnough = 4
	// slack is how far demand must be below the rate for the gate to open.
	slack = 0.97
)

func (g *Gate) move(delay clock.Duration) {
	if delay > g.options.Target {
		g.tighten(delay)
	} else {
		g.loosen(delay)
	}
	if g.open {
		g.threshold = identifier.MaxRank
		return
	}
	g.threshold = g.keepUrgent(g.demand.quantile(g.rate))
}

func (g *Gate) tighten(delay clock.Duration) {
	g.calm = 0
	excess := float64(delay-g.options.Target) / float64(g.options.Target)
	cut := min(steepestCut, 0.05*excess)
	base := g.admittedRate
	if g.servedRate > 0 {
		base = min(base, g.servedRate)
	}
	if !g.open {
		base = min(base, g.rate)
	}
	g.open = false
	g.rate = max(1, base*(1-cut))
}

func (g *Gate) loosen(delay clock.Duration) {
	if g.open {
		return
	}
	room := 1 - float64(delay)/float64(g.options.Target)
	step := growth
	g.calm++
	if delay > 0 {
		g.calm = 0
	}
	if g.calm > calmEnough {
		step = fastGrowth
	}
	g.rate = max(1, g.rate*(1+step*room))
	if g.demand.total() < g.rate*slack {
		g.open = true
	}
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
