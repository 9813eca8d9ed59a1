package conductor

// The node beside an endpoint sees all calls offered to it. It reports how many of them the endpoint declines, and counts
// the slot time of runs that were of no use to their callers.
//
// Example: 100 calls a second are offered, and 55 are answered as not run: Offered is 100, Declined 55.

import (
	"math"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
)

const (
	// offerTimeConstant is the time constant of the rates of calls offered and declined: half a second after an endpoint
	// begins to decline calls, the rates show it.
	offerTimeConstant = 400 * clock.Millisecond
	// minDeclinedRate is the rate of declined calls a second below which none are reported.
	minDeclinedRate = 0.1
)

// offerCounts counts calls offered to the local endpoint and declined by it, with exponential decay.
type offerCounts struct {
	offered, declined float64
	decayedAt         clock.Time
}

func (o *offerCounts) decay(now clock.Time) {
	keep := math.Exp(-float64(max(0, now.Sub(o.decayedAt))) / float64(offerTimeConstant))
	o.offered, o.declined, o.decayedAt = o.offered*keep, o.declined*keep, now
}

func (o *offerCounts) countOffered(now clock.Time) {
	o.decay(now)
	o.offered++
}

func (o *offerCounts) countDeclined(now clock.Time) {
	o.decay(now)
	o.declined++
}

// rates returns the calls a second that are offered and declined.
func (o *offerCounts) rates(now clock.Time) (offered, declined float64) {
	o.decay(now)
	perSecond := float64(clock.Second) / float64(offerTimeConstant)
	return o.offered * perSecond, o.declined * perSecond
}

// reportDeclined adds the rates of calls offered and declined to a report, if any were declined.
func (c *Conductor) reportDeclined(r *exchanger.Report, now clock.Time) {
	offered, declined := c.offers.rates(now)
	if declined >= minDeclinedRate {
		r.Offered, r.Declined = offered, declined
	}
}

// countRun counts a run, and its slot time as wasted if it was of no use: its caller left, its answer came too late or not at
// all, or a nested call that it made was rejected.
func (c *Conductor) countRun(d *delivery, e DeliveryEnded, now clock.Time) {
	counts, took := c.kindCounts.runs(d.rank), now.Sub(d.started)
	counts.Runs++
	counts.SlotTime += took
	late := e.Outcome == Answered && now > d.deadline
	lost := e.Outcome == Abandoned || e.Outcome == Late || e.Outcome == Broken
	p := c.parents[d.request]
	if p.delivery != e.ID {
		p = parent{}
	}
	if e.Outcome == Answered && e.Status < firstServerError && !p.failed {
		c.runs.runSucceeded(d.route, p.calls)
	}
	if late || lost || p.failed {
		c.failedSlotTime += took
		counts.Failed++
		counts.FailedSlotTime += took
	}
}

// nestedCallRejected records that the run that made a nested call will probably fail.
func (c *Conductor) nestedCallRejected(r *call) {
	if p, ok := c.parents[r.parent]; ok && r.nested {
		p.failed = true
		c.parents[r.parent] = p
	}
}
