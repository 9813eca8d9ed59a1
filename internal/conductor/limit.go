package conductor

// An endpoint that is short of capacity names the requests a second that it takes from all nodes together. The node beside it lets no more
// through, since all requests for it pass there. The other nodes learn the limit from the answers that they pass on and from
// reports; they send the endpoint about what it takes, tell the limit to its node with each request, in case that node was
// restarted, and refuse root requests while a whole service is limited below its demand.
//
// Example: 41.8 a second: bursts of 4, then a request each 24 ms; what can't be run within 200 ms is turned away.

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/limiter"
)

const (
	// limitBurstTime is the time for whose requests a limited endpoint's unused rate is kept: with less, requests that
	// arrive at random or wait for the next tick would leave a part of the rate unused.
	limitBurstTime = 100 * clock.Millisecond
	// probeInterval is the longest time between two requests to an endpoint whose limit is close to 0: only its answers
	// show that the limit was lifted.
	probeInterval = 2 * clock.Second
	// maxLimitedHeadroomAge bounds how long a limited endpoint without headroom is left alone.
	maxLimitedHeadroomAge = 10 * clock.Second
)

// effectiveRate returns the requests a second that an endpoint with the given limit gets.
func effectiveRate(perSecond float64) float64 {
	return max(perSecond, float64(clock.Second)/float64(probeInterval))
}

// ownLimitChanged puts a new limit of the local endpoint in force.
func (c *Conductor) ownLimitChanged(now clock.Time) {
	c.emit(LimitChanged{Endpoint: c.limit.endpoint, Limited: c.limit.limited, PerSecond: c.limit.perSecond, Assumed: !c.limit.known})
	c.applyOwnLimit(now)
	c.updateRouterFor(c.self, now)
	if c.limiter != nil {
		c.verdicts = c.limiter.Tick(now, c.verdicts[:0])
		c.applyVerdicts(now)
	}
}

// applyOwnLimit makes the limiter and the throttler follow the local endpoint's limit.
func (c *Conductor) applyOwnLimit(now clock.Time) {
	c.limitCapacity(now)
	switch {
	case c.limiter == nil:
	case !c.limit.limited:
		c.limiter.LiftRateLimit()
	default:
		rate := effectiveRate(c.limit.perSecond)
		burst := max(1, rate*float64(limitBurstTime)/float64(clock.Second))
		c.limiter.SetRateLimit(limiter.RateLimit{PerSecond: rate, Burst: burst}, now)
	}
}

// limitCapacity tells the throttler how many requests a second the local endpoint gets at most, because it is cold or
// names a limit.
func (c *Conductor) limitCapacity(now clock.Time) {
	cold := 0.0
	if c.coldUntil > now {
		cold = max(1, c.coldLimit())
	}
	if !c.limit.limited {
		c.throttler.SetRateLimit(cold, false)
		return
	}
	named := effectiveRate(c.limit.perSecond)
	if cold > 0 {
		named = min(named, cold)
	}
	c.throttler.SetRateLimit(named, c.hasUnlimitedEndpoint(c.self.Service, now))
}

// renewOwnLimit forgets the limit if the local endpoint is another one or has started anew.
func (c *Conductor) renewOwnLimit(now clock.Time) {
	local := c.registrar.Local()
	own := exchanger.Member{Endpoint: local.Endpoint, Started: local.Started}
	if !c.limit.isOf(own) {
		if c.limit.limited {
			c.emit(LimitChanged{Endpoint: c.limit.endpoint})
		}
		c.limit = endpointLimit{endpointStart: endpointStart{endpoint: own.Endpoint}}
	}
	c.limit.started = own.Started
	c.applyOwnLimit(now)
}

// assumeOwnLimit puts a limit in force that another node has passed on, until an answer of the local endpoint shows what
// holds. Without it, a restarted node would send the endpoint all that arrives until its first answer.
func (c *Conductor) assumeOwnLimit(n Notice, now clock.Time) {
	if !n.Limited || c.limit.known || c.limit.limited && c.limit.perSecond <= n.PerSecond {
		return
	}
	if c.limit.set(true, n.PerSecond, now) {
		c.ownLimitChanged(now)
	}
}

// otherLimit returns the limit of the endpoint beside another node.
func (c *Conductor) otherLimit(m exchanger.Member) *endpointLimit {
	l, ok := c.otherLimits[m.Node]
	if !ok || !l.isOf(m) {
		l = &endpointLimit{endpointStart: endpointStart{endpoint: m.Endpoint}}
		c.otherLimits[m.Node] = l
	}
	if m.Started != 0 {
		l.started = m.Started
	}
	return l
}

// limitOf returns the limit of a member's endpoint, false if there is none.
func (c *Conductor) limitOf(m exchanger.Member) (perSecond float64, limited bool) {
	l := &c.limit
	if m.Node != c.self.Node {
		l = c.otherLimits[m.Node]
	}
	if l == nil || !l.limited || !l.isOf(m) {
		return 0, false
	}
	return l.perSecond, true
}

// learnReportedLimit learns the limit of another node's endpoint from that node's report.
func (c *Conductor) learnReportedLimit(r exchanger.Report, now clock.Time) {
	if r.Limit == exchanger.UnknownLimit || r.Member.Endpoint == "" {
		return
	}
	madeAt := now.Add(-r.Age)
	n := Notice{Limited: r.Limit == exchanger.Limited, PerSecond: r.RateLimit}
	if c.otherLimit(r.Member).learn(n, madeAt, madeAt) {
		c.updateRouterFor(c.members[r.Member.Node], now)
	}
}

// reportLimit adds the local endpoint's limit to a report, unless it is only assumed.
func (c *Conductor) reportLimit(r *exchanger.Report) {
	switch {
	case !c.limit.known:
	case c.limit.limited:
		r.Limit, r.RateLimit = exchanger.Limited, c.limit.perSecond
	default:
		r.Limit = exchanger.Unlimited
	}
}

// hasUnlimitedEndpoint returns whether a service has an endpoint in use that takes any rate.
func (c *Conductor) hasUnlimitedEndpoint(service identifier.Service, now clock.Time) bool {
	for _, m := range c.members {
		if m.Service != service || m.State != exchanger.Ready || c.evacuated[m.Domain] || c.hasLeft(m) {
			continue
		}
		if c.coldRate(m.Service) > 0 && c.coldLeft(m.Node, now) > 0 {
			continue
		}
		if _, limited := c.limitOf(m); !limited && !c.silent(m.Node, now) && !c.detector.Lost(m.Node) {
			return true
		}
	}
	return false
}

// serviceLimit returns the sum of the limits of a service's endpoints, false if some endpoint in use names none.
func (c *Conductor) serviceLimit(service identifier.Service, now clock.Time) (perSecond float64, limited bool) {
	if c.hasUnlimitedEndpoint(service, now) {
		return 0, false
	}
	for _, m := range c.members {
		if limit, named := c.limitOf(m); named && m.Service == service && m.State == exchanger.Ready {
			perSecond += effectiveRate(limit)
			limited = true
		}
	}
	return perSecond, limited
}

// limitedHeadroomAge returns how long nodes rely on the measured headroom of a limited endpoint: if each of them tries
// the endpoint once in that time, it gets what it takes.
func (c *Conductor) limitedHeadroomAge(perSecond float64) clock.Duration {
	each := float64(len(c.members)) / effectiveRate(perSecond) * float64(clock.Second)
	return clock.Duration(min(float64(maxLimitedHeadroomAge), each))
}

// retryAfterLimit is when a limited service or endpoint probably takes a request again: after the given wait, unless the
// caller would not wait that long.
func (r *call) retryAfterLimit(wait clock.Duration, now clock.Time) clock.Duration {
	delay := clock.Duration(retryAfterRatio * float64(r.deadline.Sub(now)))
	return max(retryAfterNoRoom, min(wait, delay))
}
