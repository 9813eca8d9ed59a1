// A request that a deep service will refuse is refused at the entry, before any hop has worked for it. The
// cache holds what answers told of each service's threshold. What it holds grows old: if it did not, a node
// that refuses everything would get no answer any more and never learn that the service has recovered.
//
// Example: "ice" answers with threshold 40000; a call of rank 50000 is refused here for half a second after
// the last answer, then the threshold rises to the top within a second.

package admitter

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Route is the place of a route among its service's routes in the preset, from 1; 0 stands for all routes.
type Route uint16

// ThresholdCacheOptions set a threshold cache up; zero fields take the defaults.
type ThresholdCacheOptions struct {
	// Hold is how long a learned threshold counts in full; default 500 ms.
	Hold clock.Duration
	// Fade is how long it then takes to open; default 1 s.
	Fade clock.Duration
}

const (
	defaultHold = 500 * clock.Millisecond
	defaultFade = clock.Second
	// settleTime is how long answers take to move a threshold most of the way.
	settleTime = 100 * clock.Millisecond
	// minAnswerWeight is the least weight of one answer among those of all endpoints.
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

// NewThresholdCache returns a cache in which every service is open.
func NewThresholdCache(o ThresholdCacheOptions) *ThresholdCache {
	return &ThresholdCache{options: o.withDefaults(), learned: make(map[thresholdKey]learnedThreshold)}
}

// LearnThreshold takes over the threshold that an answer of the service carried for all its calls.
func (b *ThresholdCache) LearnThreshold(service identifier.Service, t identifier.Threshold, now clock.Time) {
	b.LearnRouteThreshold(service, 0, t, now)
}

// LearnRouteThreshold takes over the effective threshold that an answer carried for one route (see Chain).
func (b *ThresholdCache) LearnRouteThreshold(service identifier.Service, route Route, t identifier.Threshold, now clock.Time) {
	key := thresholdKey{service, route}
	b.learned[key] = b.learned[key].updatedWith(t, now, b.options)
}

// Admit tells whether a call of the given rank has a chance at the service.
func (b *ThresholdCache) Admit(service identifier.Service, r identifier.Rank, now clock.Time) bool {
	return b.AdmitRoute(service, 0, r, now)
}

// AdmitRoute tells whether a call of the given rank and route has a chance at the service and all that it needs.
func (b *ThresholdCache) AdmitRoute(service identifier.Service, route Route, r identifier.Rank, now clock.Time) bool {
	return r <= b.ThresholdRoute(service, route, now)
}

// Threshold returns what is known of the service now.
func (b *ThresholdCache) Threshold(service identifier.Service, now clock.Time) identifier.Threshold {
	return b.learned[thresholdKey{service, 0}].at(now, b.options)
}

// ThresholdRoute returns what is known of one route of the service now.
func (b *ThresholdCache) ThresholdRoute(service identifier.Service, route Route, now clock.Time) identifier.Threshold {
	all := b.Threshold(service, now)
	if route == 0 {
		return all
	}
	return min(all, b.learned[thresholdKey{service, route}].at(now, b.options))
}

// learnedThreshold is a threshold and when an answer last told of it; the zero value is open.
type learnedThreshold struct {
	threshold float64
	learnedAt clock.Time
	known     bool
}

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

func (l learnedThreshold) at(now clock.Time, o ThresholdCacheOptions) identifier.Threshold {
	if !l.known {
		return identifier.MaxRank
	}
	old := now.Sub(l.learnedAt) - o.Hold
	if old <= 0 {
		return identifier.Threshold(l.threshold)
	}
	if old >= o.Fade {
		return identifier.MaxRank
	}
	room := float64(identifier.MaxRank) - l.threshold
	return identifier.Threshold(l.threshold + room*float64(old)/float64(o.Fade))
}
