package conductor

// The demand of a service is computed from the arrivals in the whole fleet, the call graph and run times, all of which are
// estimates. Its endpoints measure what it would be if nothing were refused, exactly but late. So the slowly smoothed ratio
// of the two corrects the computed demand.
//
// Example: computed 10,000 calls a second, measured 11,000 for some seconds, capacity 8,000: 1 - 0.97*8000/11000 = 0.29.

import (
	"math"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/throttler"
)

const (
	// targetUtilization is the fraction of the capacity to admit; at full utilization a queue would never shrink.
	targetUtilization = 0.97
	// correctionTimeConstant is long enough that the measured demand, which lags behind the computed one by half a second,
	// does not oscillate with it.
	correctionTimeConstant = 2500 * clock.Millisecond
	// minCorrection and maxCorrection bound the correction. A ratio beyond them means that the demand is not that of the
	// known arrivals.
	minCorrection = 0.6
	maxCorrection = 1.6
	// maxRatio bounds a single measurement, which is far too high in the first moments after a restart.
	maxRatio = 2
	// settlingTime is how long the measured demand is not that of the present refusals after these have changed by
	// settledChange: endpoints estimate what is refused elsewhere by what was half a second ago. Meanwhile, a measurement has
	// unsettledWeight; with its full weight, the end of a surge raised the ratio by 0.1 and a tenth too much was refused for
	// a second.
	settlingTime    = 700 * clock.Millisecond
	settledChange   = 0.1
	unsettledWeight = 0.2
	// mixTimeConstant is the time in which the capacity that endpoints measure, in calls, follows a changed mix of calls.
	mixTimeConstant = 500 * clock.Millisecond
	// queueDrainSeconds is the time within which a standing queue should have run. Computed from arrivals alone, refusals that
	// are a few parts in a hundred too low would let the queue grow for as long as the overload lasts; its calls then miss their
	// deadlines, and so do the runs that wait for them.
	queueDrainSeconds = 0.3
	// maxQueuePart is the largest part of the capacity that is kept free for a standing queue.
	maxQueuePart = 0.15
	// minComputedExcess is the smallest excess that is acted on.
	minComputedExcess = 0.005
)

// demandModel relates the computed demand of a service to the measured one.
type demandModel struct {
	updatedAt clock.Time
	// ratio is the smoothed ratio of the measured to the computed demand.
	ratio float64
	// rootPart is the part of the admitted calls that are root requests, negative before the first plan. It is kept in place
	// of the mean slot time of a call, which was too long for a second after a stall, so that nothing was refused.
	rootPart float64
	// refused is the part of the demand that the last plan refused.
	refused float64
	// settledExcess is the excess that the present one is compared with, changedAt when it was last replaced.
	settledExcess float64
	changedAt     clock.Time
	// overloadedAt is when the service last had an excess, or when the model was made.
	overloadedAt clock.Time
}

// modelKeptFor is how long a model is kept after the last overload of its service. What it learned then says little about a
// later overload, whose first seconds it would falsify.
const modelKeptFor = 5 * clock.Second

// dropOldModels drops the models of services without a recent overload.
func (c *Conductor) dropOldModels(now clock.Time) {
	for service, m := range c.demandModels {
		if now.Sub(m.overloadedAt) > modelKeptFor {
			delete(c.demandModels, service)
		}
	}
}

// demandModelOf returns the model of a service's demand.
func (c *Conductor) demandModelOf(service identifier.Service, now clock.Time) *demandModel {
	m, ok := c.demandModels[service]
	if !ok {
		m = &demandModel{ratio: 1, rootPart: -1, updatedAt: now, overloadedAt: now}
		c.demandModels[service] = m
	}
	return m
}

// excessOf returns the fraction of the computed demand to refuse.
func (m *demandModel) excessOf(l *serviceLoad, d serviceDemand) float64 {
	if d.calls <= 0 || d.slotTime <= 0 {
		return 0
	}
	rootPart := m.rootPart
	if rootPart < 0 {
		rootPart = d.rootCalls / d.calls
	}
	callCost := l.slotTime(rootPart, 1-rootPart)
	correction := min(maxCorrection, max(minCorrection, m.ratio))
	queued := l.standingQueue((1-m.refused)*correction*d.calls) / queueDrainSeconds
	capacity := targetUtilization*l.capacity - min(queued, maxQueuePart*l.capacity)
	return min(throttler.MaxExcess, max(0, 1-capacity*callCost/(correction*d.slotTime)))
}

// measuredLoad is the demand of a service as its endpoints measure it, in calls a second, and the measured excess.
type measuredLoad struct {
	demand, excess float64
}

// ratioTo returns the ratio of the measured to a computed demand, and whether it tells more than the known one. The calls of a
// chain arrive one after the other, so at a service that answers late they arrive late, and those of a chain that has failed
// never arrive: while the endpoints measure more excess than is refused, the measured demand is a lower bound.
func (m measuredLoad) ratioTo(computed, known, refused float64) (ratio float64, ok bool) {
	if computed <= 0 {
		return 0, false
	}
	ratio = min(maxRatio, m.demand/computed)
	return ratio, ratio > known || m.excess < refused+minComputedExcess
}

// learn compares the measured demand with the computed one, and updates the mix of admitted calls.
// Ratios are only learned while the arrivals of all nodes are known: after a restart of all nodes, those of the first
// reports differed by a factor of two between nodes, which then set different thresholds for seconds.
func (m *demandModel) learn(measured measuredLoad, d serviceDemand, r *refusal, complete bool, now clock.Time) {
	// The span is bounded so that a single plan after a calm period counts as one.
	span := min(now.Sub(m.updatedAt), 2*planPeriod)
	m.updatedAt = now
	m.refused = r.excess
	if r.excess > 0 {
		m.overloadedAt = now
	}
	if math.Abs(r.excess-m.settledExcess) > settledChange {
		m.settledExcess, m.changedAt = r.excess, now
	}
	if ratio, ok := measured.ratioTo(d.calls, m.ratio, r.excess); ok && complete {
		weight := weightOf(span, correctionTimeConstant)
		if now.Sub(m.changedAt) < settlingTime {
			weight *= unsettledWeight
		}
		m.ratio += weight * (ratio - m.ratio)
	}
	if admitted := d.calls - d.callsOf(r.Refused); admitted > 0 {
		rootPart := min(1, max(0, (d.rootCalls-d.rootCallsOf(r.Refused))/admitted))
		if m.rootPart < 0 {
			m.rootPart = d.rootCalls / d.calls
		}
		m.rootPart += weightOf(span, mixTimeConstant) * (rootPart - m.rootPart)
	}
}

// weightOf returns the weight of a value that was valid for a time span in an exponential mean.
func weightOf(span, timeConstant clock.Duration) float64 {
	return 1 - math.Exp(-float64(span)/float64(timeConstant))
}

// credible reports whether the known arrivals explain the measured demand.
func (m *demandModel) credible() bool {
	return m.ratio >= minCorrection && m.ratio <= maxCorrection
}
