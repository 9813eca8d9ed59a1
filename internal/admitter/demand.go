// To refuse a third of the calls, a gate must know which rank a third of them exceed. Calls above the
// threshold are refused at the entry and never reach the gate, so what is known of them is kept for a while:
// otherwise the gate would take "none seen" for "none there", open wide, and be flooded.
//
// Example: 100 calls a window in bucket 64 and 100 in bucket 96: quantile(150) lies half way into bucket 96.

package admitter

import (
	"math"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	bucketBits = 9
	buckets    = 1 << (16 - bucketBits)
	bucketSize = 1 << bucketBits
	// maxUrgentRank is the highest rank of the urgent class.
	maxUrgentRank = identifier.Rank(1<<14 - 1)
	// newestWindowWeight is the weight of the newest window.
	newestWindowWeight = 0.4
	// unseenDecay is what remains after one window of a demand that can no longer be seen.
	unseenDecay = 0.995
)

// demand holds how many calls a window come in each bucket of ranks: one priority class and overuse level.
type demand struct {
	rates  [buckets]float64
	counts [buckets]float64
}

func (d *demand) count(r identifier.Rank) {
	d.counts[r>>bucketBits]++
}

// updateRates ends a window in which the threshold was t.
func (d *demand) updateRates(t identifier.Threshold, windows float64) {
	limit := int(t >> bucketBits)
	weight := 1 - math.Pow(1-newestWindowWeight, windows)
	decay := math.Pow(unseenDecay, windows)
	for i := range d.rates {
		measured := d.counts[i] / windows
		smoothed := d.rates[i] + weight*(measured-d.rates[i])
		if i >= limit && t != identifier.MaxRank {
			smoothed = max(smoothed, d.rates[i]*decay)
		}
		d.rates[i] = smoothed
		d.counts[i] = 0
	}
}

func (d *demand) total() float64 {
	sum := 0.0
	for _, rate := range d.rates {
		sum += rate
	}
	return sum
}

// quantile returns the rank up to which rate calls a window come.
func (d *demand) quantile(rate float64) identifier.Threshold {
	for i, bucketRate := range d.rates {
		if bucketRate > rate {
			part := rate / bucketRate * bucketSize
			return identifier.Threshold(i<<bucketBits) + identifier.Threshold(part)
		}
		rate -= bucketRate
	}
	return identifier.MaxRank
}
