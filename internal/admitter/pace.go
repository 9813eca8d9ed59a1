// How many calls a gate lets through is a policy of its own, so that laws can be compared under the same load.
//
// Example: 100 calls a window served while calls wait, delay at its target: CapacityLaw lets 100 through; at no
// delay 120, at twice the target 80.

package admitter

// Law names how a gate's rate follows the measured delay.
type Law uint8

// The laws.
const (
	// CapacityLaw measures what is served while calls wait, and holds the queue at its target around that.
	CapacityLaw Law = iota
	// StepLaw takes a fixed step down in a window with too much delay and a fixed step up in any other.
	StepLaw
	// AdditiveLaw adds a little in a window with little delay, and cuts by the excess in any other.
	AdditiveLaw
)

// window is what one window showed, each count for a window of ordinary length, delay in parts of the target.
type window struct {
	admitted, served, delay float64
	open                    bool
}

// pace is the policy for how many calls a window pass the gate.
type pace interface {
	learn(w window)
	rate(delay float64) float64
}

func newPace(l Law) pace {
	switch l {
	case StepLaw:
		return &step{}
	case AdditiveLaw:
		return &additive{}
	default:
		return &capacity{}
	}
}

// leastRate in calls a window keeps a gate probing when nothing at all was served.
const leastRate = 0.5

// capacity is CapacityLaw.
type capacity struct {
	calls float64
	// calm counts the windows in a row in which a gate that is not open saw no queue.
	calm float64
	// fed tells that the gate is told what is served.
	fed bool
}

const (
	// newest is the most that one window weighs in the capacity.
	newest = 0.3
	// steadyCalls is over how many served calls the capacity is averaged.
	steadyCalls = 200
	// creep is by how much the first window without a queue raises the capacity while the gate is not open;
	// each further window does so by as much more, up to creepMost.
	creep     = 0.1
	creepMost = 0.3
	// gain is by how much the rate exceeds the capacity at no delay, and falls for each target of delay.
	gain = 0.2
	// deepestCut is the least part of the capacity that is let through.
	deepestCut = 0.5
	// unfedPart of what was admitted counts as served where the gate is not told.
	unfedPart = 0.95
)

// learn measures the capacity: what is served while calls wait. Without a queue the same figure would only
// tell how many calls the gate itself let through, and each cut would justify the next one.
func (c *capacity) learn(w window) {
	served := w.served
	c.fed = c.fed || served > 0
	if !c.fed {
		served = unfedPart * w.admitted
	}
	if w.delay > 0 || w.open {
		c.calm = 0
	}
	switch {
	case w.delay > 0:
		weight := min(newest, max(served, c.calls)/steadyCalls)
		c.calls += weight * (served - c.calls)
	case w.open:
		c.calls = served
	default:
		c.calm++
		c.calls = max(c.calls, served) * (1 + min(creepMost, creep*c.calm))
	}
	c.calls = max(c.calls, leastRate)
}

func (c *capacity) rate(delay float64) float64 {
	return c.calls * max(deepestCut, 1+gain*(1-delay))
}

// step is StepLaw.
type step struct {
	calls float64
}

const (
	stepDown = 0.9
	stepUp   = 1.1
)

func (s *step) learn(w window) {
	s.calls = max(leastRate, w.admitted)
}

func (s *step) rate(delay float64) float64 {
	if delay > 1 {
		return s.calls * stepDown
	}
	return s.calls * stepUp
}

// additive is AdditiveLaw.
type additive struct {
	calls float64
}

const (
	addUp   = 0.05
	cutPart = 0.02
	cutMost = 0.9
)

func (a *additive) learn(w window) {
	if w.open {
		a.calls = w.admitted
	}
	if w.delay > 1 {
		a.calls *= max(cutMost, 1-cutPart*(w.delay-1))
	} else {
		a.calls += max(leastRate, addUp*w.admitted)
	}
	a.calls = max(leastRate, a.calls)
}

func (a *additive) rate(float64) float64 {
	return a.calls
}
