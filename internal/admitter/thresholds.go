// The cache keeps the admission threshold that each service last returned with its answers, so that a node refuses a
// call that the service would refuse, before any hop has spent work on it. Cached thresholds expire: a node that
// refuses all calls to a service gets no further answers from it and would otherwise never detect its recovery.
//
// Example: "ice" answers with threshold 40000; a call of rank 50000 is refused here for half a second after
// the last answer; then the threshold rises linearly to MaxRank within a second.

package admitter

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Route is the index of a route among its service's routes in the preset, starting at 1; 0 stands for all routes.
type Route uint16

// ThresholdCacheOptions configures a ThresholdCache or a Chain; zero fields take the defaults.
type ThresholdCacheOptions struct {
	// Hold is how long a learned threshold applies unchanged; default 500 ms.
	Hold clock.Duration
	// Fade is how long the threshold then takes to rise to MaxRank; default 1 s.
	Fade clock.Duration
}

const (
	defaultHold = 500 * clock.Millisecond
	defaultFade = clock.Second
	// settleTime is the age at which a learned threshold is replaced entirely by the next answer; before that, answers
	// are averaged with a weight that grows with the age.
	settleTime = 100 * clock.Millisecond
	// minAnswerWeight is the lower bound of an answer's weight in the average over all endpoints.
	minAnswerWeight = 1.0 / 2
)

func (o ThresholdCacheOptions) withDefaults() ThresholdCacheOptions {
	if o.Hold <= 0 {
		o.Hold = defaultHold
	}
	if o.Fade <= 0 {
		o.Fade = defaultFade
	}
	return o
}

// ThresholdCache holds the learned thresholds of all known services; it is not safe for concurrent use.
type ThresholdCache struct {
	options ThresholdCacheOptions
	learned map[thresholdKey]learnedThreshold
}

type thresholdKey struct {
	service identifier.Service
	route   Route
}

// NewThresholdCache returns an empty cache, which admits all ranks for every service.
func NewThresholdCache(o ThresholdCacheOptions) *ThresholdCache {
	return &ThresholdCache{options: o.withDefaults(), learned: make(map[thresholdKey]learnedThreshold)}
}

// LearnThreshold updates the threshold that applies to all calls of the service, from one of its answers.
func (c *ThresholdCache) LearnThreshold(service identifier.Service, t identifier.Threshold, now clock.Time) {
	c.LearnRouteThreshold(service, 0, t, now)
}

// LearnRouteThreshold updates the effective threshold of one route (see Chain), from an answer of the service.
func (c *ThresholdCache) LearnRouteThreshold(service identifier.Service, route Route, t identifier.Threshold, now clock.Time) {
	key := thresholdKey{service, route}
	c.learned[key] = c.learned[key].updatedWith(t, now, c.options)
}

// Admit reports whether the service is expected to accept a call of the given rank.
func (c *ThresholdCache) Admit(service identifier.Service, r identifier.Rank, now clock.Time) bool {
	return c.AdmitRoute(service, 0, r, now)
}

// AdmitRoute reports whether the service and the nested services that the route needs are expected to accept a call of
// the given rank.
func (c *ThresholdCache) AdmitRoute(service identifier.Service, route Route, r identifier.Rank, now clock.Time) bool {
	return r <= c.ThresholdRoute(service, route, now)
}

// Threshold returns the current threshold for all calls of the service.
func (c *ThresholdCache) Threshold(service identifier.Service, now clock.Time) identifier.Threshold {
	return c.learned[thresholdKey{service, 0}].at(now, c.options)
}

// ThresholdRoute returns the current threshold for one route: the lower of the service's and the route's.
func (c *ThresholdCache) ThresholdRoute(service identifier.Service, route Route, now clock.Time) identifier.Threshold {
	all := c.Threshold(service, now)
	if route == 0 {
		return all
	}
	return min(all, c.learned[thresholdKey{service, route}].at(now, c.options))
}

// learnedThreshold is a threshold and the time of the last answer that updated it; the zero value admits all ranks.
type learnedThreshold struct {
	threshold float64
	learnedAt clock.Time
	known     bool
}

// updatedWith returns the average of the threshold so far and the one of a new answer. The new answer weighs at least
// minAnswerWeight, and entirely replaces a threshold that is older than settleTime.
func (l learnedThreshold) updatedWith(t identifier.Threshold, now clock.Time, o ThresholdCacheOptions) learnedThreshold {
	before := float64(l.at(now, o))
	weight := minAnswerWeight
	if !l.known {
		weight = 1
	} else if age := now.Sub(l.learnedAt); age > 0 {
		weight = max(weight, min(1, float64(age)/float64(settleTime)))
	}
	return learnedThreshold{
		threshold: before + weight*(float64(t)-before),
		learnedAt: now,
		known:     true,
	}
}

// at returns the threshold at a given time: unchanged during Hold, then rising linearly to MaxRank during Fade.
func (l learnedThreshold) at(now clock.Time, o ThresholdCacheOptions) identifier.Threshold {
	if !l.known {
		return identifier.MaxRank
	}
	sinceHold := now.Sub(l.learnedAt) - o.Hold
	if sinceHold <= 0 {
		return identifier.Threshold(l.threshold)
	}
	if sinceHold >= o.Fade {
		return identifier.MaxRank
	}
	room := float64(identifier.MaxRank) - l.threshold
	return identifier.Threshold(l.threshold + room*float64(sinceHold)/float64(o.Fade))
}
