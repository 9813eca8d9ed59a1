package budgeter

// When a service begins to decline calls, the allowance of a whole window is available at once. Spent in the first
// second, on whatever is in flight, it would be missing for the important requests of the rest of the window. So
// retries are granted at the rate that the budget sustains, and the last tokens are kept for the most important.
//
// Example: 20 tokens at most, 7 left: a request with an urgency of 0.5 needs 11 and is refused, one with 0.9 needs 3.

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
)

const (
	// burstSeconds is how many seconds of the sustained rate may be spent at once. Root requests arrive in bursts at a
	// node; nested calls are as many as the admitted chains make, and get less, because those that were admitted before
	// the decline was known would use it all.
	rootBurstSeconds   = 2.0
	nestedBurstSeconds = 0.5
	// minBurst is the smallest number of retries that may be spent at once.
	minBurst = 2.0
)

// pacer is a token bucket for retries of one kind.
type pacer struct {
	tokens, capacity float64
	refilledAt       clock.Time
}

func (p *pacer) refill(k Kind, rate float64, now clock.Time) {
	burst := rootBurstSeconds
	if k == Nested {
		burst = nestedBurstSeconds
	}
	p.capacity = max(minBurst, burst*rate)
	p.tokens = min(p.capacity, p.tokens+rate*float64(now.Sub(p.refilledAt))/float64(clock.Second))
	p.refilledAt = now
}

// Take takes a retry if the windows and the pace allow one. The urgency is between 0 and 1, the most important: with
// fewer tokens left than its reserve, a retry is refused so that more urgent ones get them.
func (b *Budget) Take(k Kind, urgency float64, now clock.Time) bool {
	p := &b.pacers[k]
	p.refill(k, b.Rate(k, now), now)
	reserve := (1 - min(1, max(0, urgency))) * (p.capacity - 1)
	if p.tokens < 1+reserve || b.Available(k, now) < 1 {
		return false
	}
	p.tokens--
	b.CountRetry(k, now)
	return true
}
