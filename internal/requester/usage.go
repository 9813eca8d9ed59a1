package requester

// After a surge, a pool would keep hundreds of idle connections to an address for their whole idle time, although a few
// dozen are used; each takes 18 kB at both ends together. So the connections in use at once are counted, and idle ones
// beyond the recent peak are closed early.
//
// Example: 400 connections were in use in a surge and 30 in the 2 s after it: 45 are kept, in use or idle.

import "github.com/jackdawtide/jackdawtide/internal/clock"

const (
	// peakWindow is how long a peak counts. Arrivals vary within fractions of a second; shorter windows close connections
	// that the next burst needs.
	peakWindow = 2 * clock.Second
	peakBin    = 500 * clock.Millisecond
	// peakBins covers the window and the bin under way.
	peakBins = int(peakWindow/peakBin) + 1
	// minReserve and reserveFraction are the connections kept beyond the peak, the larger of the two: the peaks of steady
	// random arrivals differ by several connections at a small number, and by less than half at a large one.
	minReserve      = 4
	reserveFraction = 0.5
)

// usage counts the connections to one address that are in use, and their recent peak.
type usage struct {
	inUse int
	// peaks holds the peak of each bin, by the bin's number modulo peakBins; bin is the number of the newest.
	peaks [peakBins]int
	bin   int64
}

// add counts n connections whose use begins; a negative n counts those whose use ends.
func (u *usage) add(n int, now clock.Time) {
	u.advance(now)
	u.inUse += n
	newest := &u.peaks[u.bin%int64(peakBins)]
	*newest = max(*newest, u.inUse)
}

// peak returns the most connections that were in use at once within peakWindow.
func (u *usage) peak(now clock.Time) int {
	u.advance(now)
	highest := 0
	for _, peak := range u.peaks {
		highest = max(highest, peak)
	}
	return highest
}

// wanted returns how many connections to keep, those in use included.
func (u *usage) wanted(now clock.Time) int {
	peak := u.peak(now)
	return peak + max(minReserve, int(reserveFraction*float64(peak)))
}

// advance starts the bins up to the present one, in each of which as many connections are in use as now.
func (u *usage) advance(now clock.Time) {
	bin := int64(now) / int64(peakBin)
	for range min(bin-u.bin, int64(peakBins)) {
		u.bin++
		u.peaks[u.bin%int64(peakBins)] = u.inUse
	}
	u.bin = max(u.bin, bin)
}
