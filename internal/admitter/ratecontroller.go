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

// rateController is the policy for how many calls a window pass the gate.
type rateController interface {
	learn(w window)
	rate(delay float64) float64
}

func newRateController(l Law) rateController {
	switch l {
	case StepLaw:
		return &stepController{}
	case AdditiveLaw:
		return &additiveController{}
	default:
		return &capacityController{}
	}
}

// minRate in calls a window keeps a gate probing when nothing at all was served.
const minRate = 0.5

// capacityController is CapacityLaw.
type capacityController struct {
	capacity float64
	// windowsWithoutQueue counts the windows in a row in which a gate that is not open saw no queue.
	windowsWithoutQueue float64
	// servedReported tells that the gate is told what is served.
	servedReported bool
}

const (
	// maxWindowWeight is the most that one window weighs in the capacity.
	maxWindowWeight = 0.3
	// averagedCalls is over how many served calls the capacity is averaged.
	averagedCalls = 200
	// probeStep is by how much the first window without a queue raises the capacity while the gate is not open;
	// each further window does so by as much more, up to maxProbe.
	probeStep = 0.1
	maxProbe  = 0.3
	// gain is by how much the rate exceeds the capacity at no delay, and falls for each target of delay.
	gain = 0.2
	// minRateFactor is the least part of the capacity that is let through.
	minRateFactor = 0.5
	// assumedServedShare of what was admitted counts as served where the gate is not told.
	assumedServedShare = 0.95
)

// learn measures the capacity: what is served while calls wait. Without a queue the same figure would only
// tell how many calls the gate itself let through, and each cut would justify the next one.
func (c *capacityController) learn(w window) {
	served := w.served
	c.servedReported = c.servedReported || served > 0
	if !c.servedReported {
		served = assumedServedShare * w.admitted
	}
	if w.delay > 0 || w.open {
		c.windowsWithoutQueue = 0
	}
	switch {
	case w.delay > 0:
		weight := min(maxWindowWeight, max(served, c.capacity)/averagedCalls)
		c.capacity += weight * (served - c.capacity)
	case w.open:
		c.capacity = served
	default:
		c.windowsWithoutQueue++
		c.capacity = max(c.capacity, served) * (1 + min(maxProbe, probeStep*c.windowsWithoutQueue))
	}
	c.capacity = max(c.capacity, minRate)
}

func (c *capacityController) rate(delay float64) float64 {
	return c.capacity * max(minRateFactor, 1+gain*(1-delay))
}

// stepController is StepLaw.
type stepController struct {
	lastAdmitted float64
}

const (
	stepDownFactor = 0.9
	stepUpFactor   = 1.1
)

func (s *stepController) learn(w window) {
	s.lastAdmitted = max(minRate, w.admitted)
}

func (s *stepController) rate(delay float64) float64 {
	if delay > 1 {
		return s.lastAdmitted * stepDownFactor
	}
	return s.lastAdmitted * stepUpFactor
}

// additiveController is AdditiveLaw.
type additiveController struct {
	limit float64
}

const (
	additiveIncrease = 0.05
	cutPerTarget     = 0.02
	minCutFactor     = 0.9
)

func (a *additiveController) learn(w window) {
	if w.open {
		a.limit = w.admitted
	}
	if w.delay > 1 {
		a.limit *= max(minCutFactor, 1-cutPerTarget*(w.delay-1))
	} else {
		a.limit += max(minRate, additiveIncrease*w.admitted)
	}
	a.limit = max(minRate, a.limit)
}

func (a *additiveController) rate(float64) float64 {
	return a.limit
}
