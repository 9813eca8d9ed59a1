package limiter

// Some backend servers can take only a few calls a second, even if few run at once: one that has just started crashes at
// more, and one that is short of capacity names a limit. While a limit applies, calls are dispatched by a token bucket and few are queued
// for a token; the others are shed while they can still be run at another endpoint. Both limits may apply at once.
//
// Example: 13 calls a second and a burst of 4: the first 4 calls run at once, then one each 77 ms.

import (
	"math"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

// RateLimit is the rate of calls that a backend server can run.
type RateLimit struct {
	// PerSecond is in calls a second, Burst in calls.
	PerSecond, Burst float64
}

// rateQueueWait bounds the queue to the calls that get tokens within it: a nested call rarely waits longer.
const rateQueueWait = 200 * clock.Millisecond

// bucket is a token bucket; it limits nothing while it is not active.
type bucket struct {
	active     bool
	limit      RateLimit
	tokens     float64
	lastRefill clock.Time
}

// set applies a limit; the bucket starts with the given tokens if it was not active.
func (b *bucket) set(limit RateLimit, initial float64, now clock.Time) {
	if b.active {
		b.refill(now)
	} else {
		b.active, b.tokens, b.lastRefill = true, initial, now
	}
	b.limit = limit
	b.tokens = min(b.tokens, limit.Burst)
}

func (b *bucket) refill(now clock.Time) {
	seconds := float64(now.Sub(b.lastRefill)) / float64(clock.Second)
	b.lastRefill = now
	b.tokens = min(b.limit.Burst, b.tokens+seconds*b.limit.PerSecond)
}

// hasToken returns whether the bucket lets a call through.
func (b *bucket) hasToken(now clock.Time) bool {
	if !b.active {
		return true
	}
	b.refill(now)
	return b.tokens >= 1
}

func (b *bucket) take() {
	if b.active {
		b.tokens--
	}
}

func (b *bucket) queueBound() int {
	return max(1, int(b.limit.PerSecond*float64(rateQueueWait)/float64(clock.Second)))
}

// headroom returns the part of the burst that is left, as answers carry it.
func (b *bucket) headroom() uint8 {
	if b.tokens < 1 {
		return 0
	}
	return uint8(math.MaxUint8 * min(1, b.tokens/max(1, b.limit.Burst)))
}

// wait returns how long the call behind the given number of queued calls waits for its token.
func (b *bucket) wait(queued int, now clock.Time) clock.Duration {
	b.refill(now)
	missing := float64(queued) + 1 - b.tokens
	switch {
	case missing <= 0:
		return 0
	case b.limit.PerSecond <= 0:
		return rateQueueWait
	}
	return clock.Duration(math.Ceil(missing / b.limit.PerSecond * float64(clock.Second)))
}

// SetCold limits calls to a rate until the given time; a time that is not later than now ends the limit.
func (l *Limiter) SetCold(limit RateLimit, until, now clock.Time) {
	l.endCold(now)
	l.coldUntil = until
	if until <= now {
		l.cold.active = false
		return
	}
	l.cold.set(limit, l.initialTokens(limit, now), now)
}

// SetRateLimit limits calls to a rate until LiftRateLimit.
func (l *Limiter) SetRateLimit(limit RateLimit, now clock.Time) {
	l.named.set(limit, l.initialTokens(limit, now), now)
}

// LiftRateLimit ends the limit of SetRateLimit; call Tick next.
func (l *Limiter) LiftRateLimit() {
	l.named.active = false
}

// initialTokens returns the burst, or none if calls were dispatched within the last second: they count towards the
// burst.
func (l *Limiter) initialTokens(limit RateLimit, now clock.Time) float64 {
	if l.everDispatched && now.Sub(l.lastDispatch) < clock.Second {
		return 0
	}
	return limit.Burst
}

// endCold ends the cold limit when its time has passed.
func (l *Limiter) endCold(now clock.Time) {
	if now >= l.coldUntil {
		l.cold.active = false
	}
}

// hasToken returns whether a call may be dispatched as far as rates are concerned.
func (l *Limiter) hasToken(now clock.Time) bool {
	l.endCold(now)
	return l.cold.hasToken(now) && l.named.hasToken(now)
}

// countDispatch records a dispatch and takes its tokens.
func (l *Limiter) countDispatch(now clock.Time) {
	l.lastDispatch, l.everDispatched = now, true
	l.endCold(now)
	l.cold.take()
	l.named.take()
}

// rateBuckets returns the buckets of the limits that apply.
func (l *Limiter) rateBuckets(now clock.Time) []*bucket {
	l.endCold(now)
	var active []*bucket
	for _, b := range []*bucket{&l.cold, &l.named} {
		if b.active {
			active = append(active, b)
		}
	}
	return active
}

// maxQueued returns how many calls may be queued.
func (l *Limiter) maxQueued(now clock.Time) int {
	bound := l.options.Queue
	for _, b := range l.rateBuckets(now) {
		bound = min(bound, b.queueBound())
	}
	return bound
}
