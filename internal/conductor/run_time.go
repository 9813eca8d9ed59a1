package conductor

// Endpoints of one service differ in speed by two to three times, and each grows slower as it fills up. Only the node
// beside an endpoint sees all of its runs, so that node measures how long they take, and reports it. Root requests and
// nestedTokens calls are measured apart: a call whose runs make four more takes twice as long as the root request beside it, which
// would seem late wherever it is run.
//
// Example: runs of 20, 20 and 50 ms, one in 32 weighed: a run time of 21 ms.

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
)

// runWeight is the weight of one run: a busy endpoint's run time follows within a tenth of a second, one that runs 20 a
// second within two seconds.
const runWeight = 1.0 / 32

// runTime is the mean time of a run at the local endpoint.
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

// learnLowerBound learns from a run that was given up: it would have taken longer than that. An endpoint where every run is given
// up would else keep the run time that it had when it was well.
func (p *runTime) learnLowerBound(took clock.Duration) {
	if float64(took) > p.mean {
		p.learn(took)
	}
}

func (p *runTime) time() clock.Duration {
	return clock.Duration(p.mean)
}

// runTimes are those of the root requests and of the nested calls.
type runTimes struct {
	root, nested runTime
}

func (p *runTimes) of(nested bool) *runTime {
	if nested {
		return &p.nested
	}
	return &p.root
}
