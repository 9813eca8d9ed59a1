package budgeter

// A retry budget holds for each window that contains the present moment. For a window that starts at a, a node may make
// as many retries since a as
//
//	ratio * part * (h * requests in the window before a + (1-h) * requests since a) + its share of the slack
//
// Both counts are weighted by constants, so the sum over nodes is the same formula with the fleet's requests, and at most
// ratio * max(requests in the window before, requests in the window). A node that stops, restarts without its counts or
// is cut off makes fewer retries than its part of the sum.
//
// Requests are counted in bins. A window that starts within the bin of a begins after a, so the requests of its
// predecessor are counted from one bin later. Requests within the bin belong to either window; they get the smaller
// weight, which is why h is at least 0.5.
//
// Example: 100 nested calls a second, ratio 0.2: 77 retries are available at once, and some 86 in each 10 s.

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
)

// Kind is the kind of a request.
type Kind uint8

// The kinds of requests; each has its own part of the budget.
const (
	// Root is a request of a caller.
	Root Kind = iota
	// Nested is a call that an endpoint makes for another request.
	Nested
	kinds
)

const (
	// binsPerWindow divides a window; two windows of bins are kept.
	binsPerWindow = 20
	bins          = 2 * binsPerWindow
	// previousWeight is the weight h of the window before. Calls that are refused in a decline earn nothing, so most of
	// the allowance comes from the window before; the rest can be used at once by a node that started a few seconds ago.
	previousWeight = 0.9
	// fleetPart is the part of the ratio for retries of root requests, earned by all requests of the fleet and divided
	// evenly over the nodes. ownPart is earned by the node's own first attempts, for retries of the same kind. The fifth
	// that is left covers nested calls that are repeated by retries at the services above, a tenth of the ratio, and
	// errors of the reported rates.
	fleetPart = 0.35
	ownPart   = 0.45
	// reportLifeBins is for how many bins a report is used at most. lateBins is how many bins late the fleet's requests
	// are counted: a report is made and passed on within 1 s.
	reportLifeBins = 5
	lateBins       = 2
	// baseBins is the number of bins that a rate of requests is taken from at least.
	baseBins = 5
)

// Limits are what the fleet may retry at a service, and the node's share of it.
type Limits struct {
	// Ratio is the allowed ratio of retries to requests.
	Ratio float64
	// Slack is the number of retries in a window that this node may make without requests.
	Slack float64
}

// bin counts what happened in one bin's time.
type bin struct {
	own   [kinds]float64
	fleet float64
	// lowest is the lowest rate of the fleet's requests that was reported, if any was.
	reported bool
	lowest   float64
	retries  [kinds]float64
}

// Budget is the retry budget of one service at one node; it is not safe for concurrent use.
type Budget struct {
	limits Limits
	window clock.Duration
	// bins is a ring; newest is the number of its newest bin since the clock's zero, first that of the oldest one used.
	bins          [bins]bin
	newest, first int64
	pacers        [kinds]pacer
}

// New returns a budget without requests for windows of a length.
func New(window clock.Duration, now clock.Time) *Budget {
	b := &Budget{window: max(binsPerWindow, window)}
	b.newest = b.number(now)
	b.first = b.newest
	for k := range b.pacers {
		b.pacers[k].refilledAt = now
	}
	return b
}

// Window returns the length of the windows.
func (b *Budget) Window() clock.Duration {
	return b.window
}

// SetLimits replaces the limits; they hold for what has been counted as well.
func (b *Budget) SetLimits(l Limits) {
	b.limits = l
}

// CountRequest counts the first attempt of a request with an urgency between 0 and 1, the most important.
func (b *Budget) CountRequest(k Kind, urgency float64, now clock.Time) {
	b.current(now).own[k]++
	b.pacers[k].counts[levelOf(urgency)]++
}

// CountFleet counts this node's equal share of the requests of the whole fleet, which were reported to have arrived at a
// rate a second for a time that ends now. A rate may have been reported once and used for as long as a report is; so
// the lowest of that time counts.
func (b *Budget) CountFleet(perSecond float64, passed clock.Duration, now clock.Time) {
	i := b.current(now)
	if !i.reported || perSecond < i.lowest {
		i.reported, i.lowest = true, perSecond
	}
	lowest := i.lowest
	for age := 1; age <= reportLifeBins; age++ {
		lowest = min(lowest, b.at(age).lowest)
	}
	i.fleet += lowest * float64(passed) / float64(clock.Second)
}

// CountRetry counts a retry, by whatever rule it was granted.
func (b *Budget) CountRetry(k Kind, now clock.Time) {
	b.current(now).retries[k]++
}

// Available returns how many retries of a kind all windows leave.
func (b *Budget) Available(k Kind, now clock.Time) float64 {
	b.current(now)
	own := b.sums(func(i *bin) float64 { return i.own[k] })
	fleet := b.sums(func(i *bin) float64 { return i.fleet })
	retries := b.sums(func(i *bin) float64 { return i.retries[k] })
	available := b.allowance(0, k, own, fleet) - retries[1]
	// A window that contains the present moment may start as early as within the bin one window ago.
	for age := 1; age <= binsPerWindow; age++ {
		available = min(available, b.allowance(age, k, own, fleet)-retries[age+1])
	}
	return max(0, available)
}

// Rate returns the retries a second that the budget sustains.
func (b *Budget) Rate(k Kind, now clock.Time) float64 {
	b.current(now)
	earned := ownPart * b.baseRate(func(i *bin) float64 { return i.own[k] })
	if k == Root {
		earned += fleetPart * b.baseRate(func(i *bin) float64 { return i.fleet })
	}
	return b.limits.Ratio*earned + b.limits.Slack/float64(kinds)*float64(clock.Second)/float64(b.window)
}

// FleetRate returns the requests a second, of those that CountFleet counted, in the window before the last one. It returns
// false if that window is not covered: the node has started since, and counted nothing or too little in its first bins.
func (b *Budget) FleetRate(now clock.Time) (perSecond float64, covered bool) {
	b.current(now)
	counted := 0
	for age := binsPerWindow; age < bins; age++ {
		if b.at(age).fleet > 0 {
			counted++
		}
	}
	if b.newest-b.first < bins+reportLifeBins || counted < baseBins {
		return 0, false
	}
	return b.baseRate(func(i *bin) float64 { return i.fleet }), true
}

// baseRate returns the mean rate of requests a second in the window before the last one, from the bins with requests. If
// these are few, it returns the highest rate of some bins since.
func (b *Budget) baseRate(count func(*bin) float64) float64 {
	binsPerSecond := float64(clock.Second) * binsPerWindow / float64(b.window)
	total, counted := 0.0, 0
	for age := binsPerWindow; age < bins; age++ {
		if n := count(b.at(age)); n > 0 {
			total += n
			counted++
		}
	}
	if counted >= baseBins {
		return total / float64(counted) * binsPerSecond
	}
	highest, s := 0.0, b.sums(count)
	for age := 1; age+baseBins <= bins; age++ {
		highest = max(highest, s[age+baseBins]-s[age])
	}
	return highest / baseBins * binsPerSecond
}

// admissionFactor is by how much more is admitted than a node's ownPart sustains. FleetRate counts low, and a node that is
// short of retries leaves out the least urgent chains as a whole.
const admissionFactor = 1.25

// NestedAllowance returns the retries of nested calls to admit requests for, for each nested call before the decline.
func NestedAllowance(ratio float64) float64 {
	return admissionFactor * ratio * ownPart
}

// allowance returns how many retries are allowed since the start of the bin of an age.
func (b *Budget) allowance(age int, k Kind, own, fleet sums) float64 {
	earned := ownPart * own.weighted(age, binsPerWindow-1)
	if k == Root {
		earned += fleetPart * fleet.weighted(age, binsPerWindow-1-lateBins)
	}
	if b.newest-b.first <= binsPerWindow {
		// Before a restart the node may have used its share of the slack, which would be granted twice in a window.
		return b.limits.Ratio * earned
	}
	return b.limits.Ratio*earned + b.limits.Slack/float64(kinds)
}

// sums holds, for each number of newest bins, the sum of their counts.
type sums [bins + 1]float64

func (b *Budget) sums(count func(*bin) float64) (s sums) {
	for age := range bins {
		s[age+1] = s[age] + count(b.at(age))
	}
	return s
}

// weighted adds the counts since the start of the bin of an age and those of a number of bins before it, by their weights.
func (s sums) weighted(age, before int) float64 {
	since := s[age+1]
	return (1-previousWeight)*since + previousWeight*(s[min(age+1+before, bins)]-since)
}

func (b *Budget) number(now clock.Time) int64 {
	return int64(now) * binsPerWindow / int64(b.window)
}

// at returns the bin that is a number of bins older than the newest.
func (b *Budget) at(age int) *bin {
	n := (b.newest - int64(age)) % bins
	return &b.bins[(n+bins)%bins]
}

// current returns the bin of the present, and empties those that have become too old.
func (b *Budget) current(now clock.Time) *bin {
	number := b.number(now)
	for range min(bins, max(0, number-b.newest)) {
		b.newest++
		*b.at(0) = bin{}
		for k := range b.pacers {
			b.pacers[k].decay()
		}
	}
	b.newest = max(b.newest, number)
	return b.at(0)
}
