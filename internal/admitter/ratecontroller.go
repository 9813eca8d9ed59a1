// The control law that determines how many calls a gate admits is separate from the gate, so that laws can be compared
// under the same load.
//
// Example: 100 calls per window were served while calls were queued. With the delay at its target, CapacityLaw admits
// 100; with no delay 120, with twice the target 80.

package admitter

// Law is a control law by which a gate's rate follows the measured queueing delay.
type Law uint8

// The control laws.
const (
	// CapacityLaw estimates the capacity from the calls served while others are queued, and sets the rate around that
	// estimate so that the delay stays at its target.
	CapacityLaw Law = iota
	// StepLaw lowers the rate by a fixed factor after a window above the target delay, and raises it by one otherwise.
	StepLaw
	// AdditiveLaw lowers the rate in proportion to the excess delay after a window above the target, and otherwise
	// raises it additively.
	AdditiveLaw
)

// window holds the measurements of one window: counts scaled to the configured window length, and the delay as a
// multiple of the target.
type window struct {
	admitted, served, delay float64
	open                    bool
}

// rateController computes how many calls per window a gate admits.
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

// minRate, in calls per window, lets a gate continue to probe the service when no call was served.
const minRate = 0.5

// capacityController implements CapacityLaw.
type capacityController struct {
	capacity float64
	// windowsWithoutQueue counts the consecutive windows without queueing delay while the gate was not open.
	windowsWithoutQueue float64
	// servedReported is set once the owner of the gate has called Served.
	servedReported bool
}

const (
	// maxWindowWeight is the upper bound of one window's weight in the smoothed capacity.
	maxWindowWeight = 0.3
	// averagedCalls is the number of served calls over which the capacity is averaged.
	averagedCalls = 200
	// probeStep is the fraction by which the first window without queueing delay raises the capacity while the gate is
	// not open; the fraction grows by probeStep with each further such window, up to maxProbe.
	probeStep = 0.1
	maxProbe  = 0.3
	// gain is the fraction by which the rate exceeds the capacity at no delay, and by which it falls per target of delay.
	gain = 0.2
	// minRateFactor is the lower bound of the rate as a fraction of the capacity.
	minRateFactor = 0.5
	// assumedServedShare is the fraction of the admitted calls that count as served if Served is never called.
	assumedServedShare = 0.95
)

// learn updates the capacity estimate from the number of calls served while others were queued. Without a queue that
// number only reflects how many calls the gate admitted, and each reduction of the rate would cause the next one.
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

// stepController implements StepLaw.
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

// additiveController implements AdditiveLaw.
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
