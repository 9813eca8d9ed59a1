package conductor

// Endpoints of one service differ in speed by a factor of two to three, and each slows down as it fills up. Only the
// node beside an endpoint sees all of its runs, so this node measures the run times and reports them. Root requests and
// nested calls are measured separately: a nested call whose runs make four more calls takes twice as long as the root
// requests at the same endpoint, and would seem late wherever it is run.
//
// Example: runs of 20, 20 and 50 ms give a run time of 21 ms, since one run has a weight of 1/32.

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
)

// runWeight is the smoothing weight of one run: the run time of a busy endpoint follows within a tenth of a second,
// that of an endpoint with 20 runs a second within two seconds.
const runWeight = 1.0 / 32

// runTime is the exponentially smoothed duration of runs at the local endpoint.
type runTime struct {
	mean  float64
	known bool
}

func (p *runTime) learn(took clock.Duration) {
	if !p.known {
		p.mean, p.known = float64(took), true
	}
	p.mean += runWeight * (float64(took) - p.mean)
}

// learnLowerBound learns from an abandoned run, which would have taken longer than the given time. Without it, an
// endpoint where every run is abandoned would keep the run time that it had while healthy.
func (p *runTime) learnLowerBound(took clock.Duration) {
	if float64(took) > p.mean {
		p.learn(took)
	}
}

func (p *runTime) time() clock.Duration {
	return clock.Duration(p.mean)
}

// runTimes holds the run times of root requests and of nested calls.
type runTimes struct {
	root, nested runTime
}

func (p *runTimes) of(nested bool) *runTime {
	if nested {
		return &p.nested
	}
	return &p.root
}
