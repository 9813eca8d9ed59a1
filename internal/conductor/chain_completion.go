package conductor

// A request whose chain makes several calls at a service that declines many of them completes only if each declined call
// is offered again. Started without enough retries, it fails after most of its work: where 55 of 100 calls are declined,
// 4 in 100 chains of four calls complete. So the nodes admit only as many root requests as the retries of the service
// suffice for, and refuse the others, the least important first, before any work is done.
//
// Example: 55 of 100 calls are declined, so that a call needs 1.2 retries; the nested calls may use 500 retries a second:
// requests that make 409 calls a second are admitted.

import (
	"math"
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/budgeter"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/rationer"
)

const (
	// A service starts declining when minDecliningRatio of the calls offered to its endpoints are declined, and stops
	// below endDecliningRatio, so that chance does not switch it back and forth.
	minDecliningRatio = 0.1
	endDecliningRatio = 0.05
	// minDecliningRate is the rate of declined calls a second below which a service is not said to start declining: a
	// single declined call of a service with few calls is no sign of more.
	minDecliningRate = 4.0
	// A kind of request is refused for a declining service only if less than maxLoneCompletion of its chains would complete
	// without retries: otherwise the chains that do are worth more than the retries that the refused ones leave to others.
	// The refused part rises until fullRefusalCompletion, so that noise in the measured decline does not switch it. With 0.05
	// instead, more chains completed in trials at a decline of 0.55 (1.39 times those of the present rules against 1.32, 24
	// seeds), but runs for requests that failed took an eighth more time.
	maxLoneCompletion     = 0.25
	fullRefusalCompletion = 0.10
	// maxCompletionExcess is the largest part of the calls that is refused for a declining service. The end of the decline
	// shows only in calls that are made.
	maxCompletionExcess = 0.98
)

// planDeclining determines the services that decline calls by the current reports of their endpoints' nodes.
func (c *Conductor) planDeclining(now clock.Time) {
	type rates struct{ offered, declined float64 }
	var services map[identifier.Service]rates
	for report := range c.table.All(now) {
		if report.Declined <= 0 || !isCurrent(report) || c.evacuated[report.Member.Domain] {
			continue
		}
		if services == nil {
			services = map[identifier.Service]rates{}
		}
		s := services[report.Member.Service]
		s.offered += report.Offered
		s.declined += min(report.Declined, report.Offered)
		services[report.Member.Service] = s
	}
	declining := map[identifier.Service]float64{}
	for service, s := range services {
		if s.offered <= 0 {
			continue
		}
		ratio := s.declined / s.offered
		_, before := c.declining[service]
		if before && ratio >= endDecliningRatio || ratio >= minDecliningRatio && s.declined >= minDecliningRate {
			declining[service] = ratio
		}
	}
	c.declining = declining
}

// planCompletion refuses root requests whose chains the retries at a declining service do not suffice for.
func (c *Conductor) planCompletion(now clock.Time) {
	c.countFleetRequests(now)
	c.planDeclining(now)
	if len(c.declining) == 0 {
		return
	}
	c.arrivalsNeededUntil = now.Add(arrivalsKeptFor)
	arrivals, _ := c.fleetArrivals(now)
	for service, ratio := range c.declining {
		c.planChainsTo(service, ratio, arrivals, now)
	}
}

// callingDemand is the demand of root requests whose chains call a declining service from one service. The allowance of
// these calls is at that service's nodes and cannot be used for calls from another service.
type callingDemand struct {
	kinds   []demandKind
	demands []rationer.Kind
	calls   float64
}

// demandKind is a kind of root request.
type demandKind struct {
	requestKind
	// calls is the number of calls that such a request makes at the declining service, from all calling services.
	calls float64
}

// planChainsTo refuses a part of the root requests whose chains call a declining service.
func (c *Conductor) planChainsTo(service identifier.Service, declined float64, arrivals routeArrivals, now clock.Time) {
	callingServices, total := c.demandsOn(service, arrivals)
	b := c.budgetFor(service, now)
	// The demand now has the same composition as the calls that earned the allowance before the decline. A node that has
	// not counted them since before that window takes the present demand as the base: with the little that it has counted,
	// it would refuse nearly all of the first class where its neighbours refuse a tenth.
	earning := 1.0
	if rate, covered := b.FleetRate(now); covered {
		earning = rate * float64(c.nodeCount()) / total
	}
	retriesPerCall := declined / (1 - declined)
	decision := Decision(decliningDecision + string(service))
	for _, d := range callingServices {
		retries := d.calls * earning * budgeter.NestedAllowance(c.options.Bounds.RetryRatio)
		excess := min(maxCompletionExcess, 1-retries/retriesPerCall/d.calls)
		division := rationer.Divide(d.demands, (1-excess)*d.calls)
		for i, ratio := range division.Refused {
			c.plan.admitLeast(d.kinds[i].requestKind, division.Least[i])
			ratio *= refusablePart(declined, d.kinds[i].calls)
			if ratio > 0 {
				c.plan.refuse(d.kinds[i].requestKind, ratio, false, decision)
			}
		}
	}
}

// refusablePart returns the part of the excess that is refused of a kind of request that makes a number of calls at a
// service: 0 if enough of its chains complete without retries, 1 if nearly none do.
func refusablePart(declined, calls float64) float64 {
	completing := math.Pow(1-declined, calls)
	part := (maxLoneCompletion - completing) / (maxLoneCompletion - fullRefusalCompletion)
	return max(0, min(1, part))
}

// demandsOn returns the calls a second that the root requests need at a service, by the service that makes the calls, and
// the sum of all calls with those of root requests that enter at the service itself.
func (c *Conductor) demandsOn(service identifier.Service, arrivals routeArrivals) (callingServices map[identifier.Service]*callingDemand, total float64) {
	callingServices = map[identifier.Service]*callingDemand{}
	for route, rates := range arrivals {
		for entry, share := range c.routeShares[route] {
			from := origin{route: route, service: entry}
			calls := map[identifier.Service]float64{}
			if entry != service {
				c.callGraph.addCallingServices(calls, service, from, 1, nil)
			}
			callsPerRequest := 0.0
			for _, n := range calls {
				callsPerRequest += n
			}
			for i, rate := range rates {
				if rate <= 0 {
					continue
				}
				if entry == service {
					total += rate * share
				}
				for caller, n := range calls {
					d, ok := callingServices[caller]
					if !ok {
						d = &callingDemand{}
						callingServices[caller] = d
					}
					d.kinds = append(d.kinds, demandKind{requestKind: requestKind{from: from, class: class(i)}, calls: callsPerRequest})
					d.demands = append(d.demands, rationer.Kind{
						Class: identifier.Class(i), Demand: rate * share * n, Worth: class(i).worth(costLevel(n)),
					})
					d.calls += rate * share * n
					total += rate * share * n
				}
			}
		}
	}
	return callingServices, total
}

// addCallingServices adds, for each service that calls a service within the chain of a request, how many calls it makes there.
func (g *callGraph) addCallingServices(calls map[identifier.Service]float64, service identifier.Service, at origin, runs float64, path []origin) {
	s, ok := g.services[at.service]
	if !ok || len(path) == maxDepth {
		return
	}
	path = append(slices.Clone(path), at)
	for next, n := range s.callsOf(at.route, g.shares) {
		if runs*n < minCost || slices.Contains(path, next) {
			continue
		}
		if next.service == service {
			calls[at.service] += runs * n
		}
		g.addCallingServices(calls, service, next, runs*n, path)
	}
}

// logDeclining reports the services that have started or stopped declining calls since the last tick.
func (c *Conductor) logDeclining() {
	for service, ratio := range c.declining {
		if !c.loggedDeclining[service] {
			c.loggedDeclining[service] = true
			c.emit(DecliningChanged{Service: service, Declining: true, Ratio: ratio})
		}
	}
	for service := range c.loggedDeclining {
		if _, ok := c.declining[service]; !ok {
			delete(c.loggedDeclining, service)
			c.emit(DecliningChanged{Service: service})
		}
	}
}
