package limiter

// A cold backend server can run a few calls a second and crashes at many more, even if few run at once. So while it is
// cold, calls are dispatched by a token bucket and few are queued for a token; the others are shed while they can still
// be run at another endpoint.
//
// Example: 13 calls a second and a burst of 4: the first 4 calls run at once, then one each 77 ms.

import (
	"math"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

// ColdLimit is the rate of calls that a cold backend server can run.
type ColdLimit struct {
	// PerSecond is in calls a second, Burst in calls.
	PerSecond, Burst float64
}

// coldQueueWait bounds the queue to the calls that get tokens within it: a nested call rarely waits longer.
const coldQueueWait = 200 * clock.Millisecond

// cold is the state of the token bucket for a cold backend server.
type cold struct {
	limit      ColdLimit
	until      clock.Time
	tokens     float64
	lastRefill clock.Time
}

func (c *cold) refill(now clock.Time) {
	seconds := float64(now.Sub(c.lastRefill)) / float64(clock.Second)
	c.lastRefill = now
	c.tokens = min(c.limit.Burst, c.tokens+seconds*c.limit.PerSecond)
}

func (c *cold) queueBound() int {
	return max(1, int(c.limit.PerSecond*float64(coldQueueWait)/float64(clock.Second)))
}

// SetCold limits calls to a rate until the given time; a time that is not later than now ends the limit.
func (l *Limiter) SetCold(limit ColdLimit, until, now clock.Time) {
	if !l.isCold(now) {
		l.cold.lastRefill, l.cold.tokens = now, l.initialColdTokens(limit, now)
	}
	l.cold.limit, l.cold.until = limit, until
}

// initialColdTokens returns the burst, or none if calls were dispatched within the last second: they count towards the
// burst.
func (l *Limiter) initialColdTokens(limit ColdLimit, now clock.Time) float64 {
	if l.everDispatched && now.Sub(l.lastDispatch) < clock.Second {
		return 0
	}
	return limit.Burst
}

func (l *Limiter) isCold(now clock.Time) bool {
	return now < l.cold.until
}

// hasColdToken returns whether a call may be dispatched as far as the cold limit is concerned.
func (l *Limiter) hasColdToken(now clock.Time) bool {
	if !l.isCold(now) {
		return true
	}
	l.cold.refill(now)
	return l.cold.tokens >= 1
}

// countDispatch records a dispatch and takes its token while the backend server is cold.
func (l *Limiter) countDispatch(now clock.Time) {
	l.lastDispatch, l.everDispatched = now, true
	if l.isCold(now) {
		l.cold.tokens--
	}
}

// maxQueued returns how many calls may be queued.
func (l *Limiter) maxQueued(now clock.Time) int {
	if l.isCold(now) {
		return min(l.options.Queue, l.cold.queueBound())
	}
	return l.options.Queue
}

func (l *Limiter) coldHeadroom() uint8 {
	if l.queue.len() > 0 || l.cold.tokens < 1 {
		return 0
	}
	return uint8(math.MaxUint8 * min(1, l.cold.tokens/max(1, l.cold.limit.Burst)))
}

func (l *Limiter) coldQueueDelay() clock.Duration {
	if l.cold.limit.PerSecond <= 0 {
		return coldQueueWait
	}
	seconds := float64(l.queue.len()) / l.cold.limit.PerSecond
	return clock.Duration(math.Ceil(seconds * float64(clock.Second)))
}
