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
	// lastUrgent is the highest rank of the urgent class.
	lastUrgent = identifier.Rank(1<<14 - 1)
	// demandWeight is the weight of the newest window.
	demandWeight = 0.4
	// memory is what remains after one window of a demand that can no longer be seen.
	memory = 0.995
)

// demand holds how many calls a window come in each bucket of ranks: one priority class and overuse level.
type demand struct {
	rates  [buckets]float64
	counts [buckets]float64
}

func (d *demand) count(r identifier.Rank) {
	d.counts[r>>bucketBits]++
}

// fold ends a window in which the threshold was t.
func (d *demand) fold(t identifier.Threshold, windows float64) {
	limit := int(t >> bucketBits)
	weight := 1 - math.Pow(1-demandWeight, windows)
	kept := math.Pow(memory, windows)
	for i := range d.rates {
		seen := d.counts[i] / windows
		mixed := d.rates[i] + weight*(seen-d.rates[i])
		if i >= limit && t != identifier.MaxRank {
			mixed = max(mixed, d.rates[i]*kept)
		}
		d.rates[i] = mixed
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
	for i, here := range d.rates {
		if here > rate {
			part := rate / here * bucketSize
			return identifier.Threshold(i<<bucketBits) + identifier.Threshold(part)
		}
		rate -= here
	}
	return identifier.MaxRank
}
