package budgeter

// When a service begins to decline calls, the allowance of a whole window is available at once. Spent in the first
// second, on whatever is in flight, it would be missing for the important requests of the rest of the window. So
// retries are granted at the rate that the budget sustains, and only to requests so urgent that the rate suffices for all
// requests of their urgency and above. All calls of one request have the same urgency: either all of its declined calls
// are offered again or none, since a chain that lacks one call fails as a whole.
//
// Example: 100 calls a second, each needs 1.2 retries, 36 are sustained: the 30 most urgent of 100 requests get theirs.

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
)

const (
	// rootBurstSeconds and nestedBurstSeconds are how many seconds of the sustained rate may be spent at once. Root
	// requests arrive in bursts at a node; nested calls are as many as the admitted chains make.
	rootBurstSeconds   = 2.0
	nestedBurstSeconds = 0.5
	// minBurst is the smallest number of retries that may be spent at once: those of two chains of eight calls.
	minBurst = 20.0
	// availableSeconds is the time that what the windows leave should last, when that is less than what the rate needs.
	// Without it, the most urgent would find nothing left in a window with little traffic before the decline.
	availableSeconds = 0.5
	// urgencyLevels is the number of levels of urgency that are told apart.
	urgencyLevels = 512
	// keptPerBin is the part of the counts by urgency that is kept from one bin to the next, so that they follow an
	// admission that has changed within a second.
	keptPerBin = 0.6
	// thresholdPeriod is how long a threshold is used.
	thresholdPeriod = 100 * clock.Millisecond
)

// pacer grants retries of one kind.
type pacer struct {
	tokens, capacity float64
	refilledAt       clock.Time
	// counts are the recent first attempts by level, the most urgent first.
	counts [urgencyLevels]float32
	// threshold is the last level that gets retries, thresholdAt the time from which it is used.
	threshold   int
	thresholdAt clock.Time
	known       bool
}

func levelOf(urgency float64) int {
	return min(urgencyLevels-1, int((1-min(1, max(0, urgency)))*urgencyLevels))
}

func (p *pacer) decay() {
	for i := range p.counts {
		p.counts[i] *= keptPerBin
	}
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

// setThreshold finds the last level that a number of requests a second suffices for. The counts are those of a time in
// seconds.
func (p *pacer) setThreshold(perSecond, seconds float64, now clock.Time) {
	if p.known && now.Sub(p.thresholdAt) < thresholdPeriod {
		return
	}
	p.known, p.thresholdAt, p.threshold = true, now, 0
	left := perSecond * seconds
	for p.threshold < urgencyLevels-1 && left > 0 {
		left -= float64(p.counts[p.threshold])
		p.threshold++
	}
}

// Take takes a retry if the windows, the pace and the urgency allow one. The urgency is between 0 and 1, the most
// important; declined is the part of offered calls that the service declines.
func (b *Budget) Take(k Kind, urgency, declined float64, now clock.Time) bool {
	b.current(now)
	p := &b.pacers[k]
	rate := b.Rate(k, now)
	p.refill(k, rate, now)
	declined = min(maxDeclined, max(minDeclined, declined))
	available := b.Available(k, now)
	sustained := min(rate, available/availableSeconds)
	p.setThreshold(sustained*(1-declined)/declined, b.countedSeconds(now), now)
	plenty := p.tokens >= p.capacity-1 && available >= p.capacity
	if levelOf(urgency) > p.threshold && !plenty || p.tokens < 1 || available < 1 {
		return false
	}
	p.tokens--
	b.CountRetry(k, now)
	return true
}

// minDeclined and maxDeclined bound the part of declined calls that retries are planned for.
const (
	minDeclined = 0.01
	maxDeclined = 0.99
)

// countedSeconds returns the time that the counts by urgency stand for.
func (b *Budget) countedSeconds(now clock.Time) float64 {
	binMilliseconds := float64(b.window) / binsPerWindow
	passed := float64(now) - float64(b.newest)*binMilliseconds
	return (passed + binMilliseconds*keptPerBin/(1-keptPerBin)) / float64(clock.Second)
}
