// A gate derives its threshold from the distribution of the calls' ranks: to refuse a third of the calls, it needs the
// rank that a third of them exceed. Calls above the threshold are refused at the entry and never reach the gate, so the
// measured rates above the threshold decay only slowly. If they dropped to zero at once, the gate would assume that
// there is no such demand, open fully, and be overloaded.
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
	// maxUrgentRank is the highest rank of the priority class Urgent.
	maxUrgentRank = identifier.Rank(1<<14 - 1)
	// newestWindowWeight is the weight of the newest window in the exponential smoothing of the rates.
	newestWindowWeight = 0.4
	// unseenDecay is the factor by which a rate above the threshold, which can't be measured, decays in each window.
	unseenDecay = 0.995
)

// demand is a histogram of ranks. rates holds the smoothed number of calls per window in each bucket, which spans one
// overuse level of one priority class; counts holds the calls of the current window.
type demand struct {
	rates  [buckets]float64
	counts [buckets]float64
}

func (d *demand) count(r identifier.Rank) {
	d.counts[r>>bucketBits]++
}

// updateRates ends a period of the given number of windows, in which the threshold was t.
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

// quantile returns the rank at or below which the given number of calls per window arrive.
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
