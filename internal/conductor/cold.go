package conductor

// An endpoint that has just started, or was out of use, bears only a few requests a second and crashes at many more; then it
// comes back cold again, and so on. All requests for an endpoint pass the node beside it, so that node holds them to the rate
// that the configuration gives, from the first moment at which the endpoint may be cold. The other nodes hear of it with the
// reports, and use what is warm.
//
// Example: 8.7 requests a second, an excess of 1.5 and a slack of 8: 13 a second and bursts of 4 are let through.

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/limiter"
)

// ColdBound is how many requests may reach a cold endpoint in one second from all nodes together: Excess times the rate of
// its service, and Slack more. An Excess of 0 sets no bound.
type ColdBound struct {
	Excess, Slack float64
}

const (
	// coldSlackPart of the slack is used as a burst; the rest covers what is dispatched late.
	coldSlackPart = 0.5
	// coldMargin is for how much longer an endpoint counts as cold than it says: its word was under way.
	coldMargin = 100 * clock.Millisecond
	// checkPeriod is the time between two questions to an endpoint of which it is not known whether it is cold.
	checkPeriod = 250 * clock.Millisecond
	// unknownColdStart is how long an endpoint counts as cold whose service's figure is not known yet.
	unknownColdStart = 3 * clock.Second
)

// boundsCold tells whether requests to cold endpoints are bounded here.
func (c *Conductor) boundsCold() bool {
	return c.options.Bounds.Cold.Excess > 0
}

// coldRate returns the requests a second that a cold endpoint of a service bears, 0 where no such bound is known.
func (c *Conductor) coldRate(service identifier.Service) float64 {
	if !c.boundsCold() || c.matcher == nil {
		return 0
	}
	return c.matcher.Service(service).ColdRate
}

// coldLeft returns how much longer the endpoint beside a node counts as cold.
func (c *Conductor) coldLeft(node identifier.Node, now clock.Time) clock.Duration {
	until := c.othersCold[node]
	if node == c.self.Node {
		until = c.coldUntil
	}
	return max(0, until.Sub(now))
}

// learnCold takes over how much longer the local endpoint is cold; it tells whether it was warm before.
func (c *Conductor) learnCold(left clock.Duration, now clock.Time) bool {
	if left <= 0 || !c.boundsCold() {
		return false
	}
	wasWarm := c.coldUntil <= now
	until := now.Add(left + coldMargin)
	if !c.coldPresumed {
		until = max(until, c.coldUntil)
	}
	c.coldUntil, c.coldPresumed = until, false
	c.limitCold(now)
	return wasWarm
}

// limitCold holds the local endpoint to the rate that it bears while it is cold.
func (c *Conductor) limitCold(now clock.Time) {
	if c.limiter == nil || c.coldUntil <= now {
		return
	}
	rate := c.coldRate(c.self.Service)
	if rate == 0 && c.matcher != nil {
		// The configuration bounds nothing for this service.
		c.coldUntil, c.coldPresumed = now, false
		c.limiter.SetCold(limiter.ColdLimit{}, now, now)
		return
	}
	limit := limiter.ColdLimit{
		PerSecond: rate * c.options.Bounds.Cold.Excess,
		Burst:     max(1, coldSlackPart*c.options.Bounds.Cold.Slack),
	}
	c.limiter.SetCold(limit, c.coldUntil, now)
	c.throttler.SetColdRate(max(1, limit.PerSecond))
}

// warm ends the limit when the local endpoint is warm.
func (c *Conductor) warm(now clock.Time) {
	if c.coldUntil <= now {
		c.throttler.SetColdRate(0)
	}
}

// presumeCold takes the local endpoint for cold of which it is not known what it did lately, and asks it.
func (c *Conductor) presumeCold(now clock.Time) {
	left := clock.Duration(unknownColdStart)
	if c.matcher != nil {
		left = c.matcher.Service(c.self.Service).ColdStart
	}
	c.learnCold(left, now)
	c.coldPresumed = c.coldUntil > now
	c.checkAt = now
	c.checkPresumed(now)
}

// presumeOtherCold takes the endpoint beside another node for cold until that node reports otherwise.
func (c *Conductor) presumeOtherCold(m exchanger.Member, now clock.Time) {
	if c.coldRate(m.Service) > 0 {
		c.othersCold[m.Node] = now.Add(c.matcher.Service(m.Service).ColdStart)
	}
}

// checkPresumed asks the local endpoint whether it is cold, now and then until it has said so: if only this node was started
// anew, it is warm.
func (c *Conductor) checkPresumed(now clock.Time) {
	if !c.coldPresumed || c.matcher == nil || now < c.checkAt || now >= c.coldUntil {
		return
	}
	c.checkAt = now.Add(checkPeriod)
	if path := c.matcher.Service(c.self.Service).HealthPath; path != "" {
		c.emit(CheckEndpoint{Path: path})
	}
}

// endpointChecked takes the local endpoint's own answer, which is newer than any heartbeat.
func (c *Conductor) endpointChecked(e EndpointChecked, now clock.Time) {
	if !e.Known || c.limiter == nil || e.Endpoint != c.registrar.Local().Endpoint {
		return
	}
	c.coldUntil, c.coldPresumed = now, false
	if e.ColdLeft > 0 {
		c.learnCold(e.ColdLeft, now)
		return
	}
	c.limiter.SetCold(limiter.ColdLimit{}, now, now)
	c.warm(now)
	c.routeAnew(c.self, now)
}

// learnOthersCold takes over from a report how much longer the endpoint beside another node is cold.
func (c *Conductor) learnOthersCold(r exchanger.Report, now clock.Time) {
	node := r.Member.Node
	wasCold := c.coldLeft(node, now) > 0
	if r.ColdLeft > 0 {
		c.othersCold[node] = now.Add(r.ColdLeft - r.Age)
	} else {
		delete(c.othersCold, node)
	}
	if wasCold != (c.coldLeft(node, now) > 0) {
		c.routeAnew(c.members[node], now)
	}
}

// routeAnew tells the router of a member's endpoint where something else than its record has changed.
func (c *Conductor) routeAnew(m exchanger.Member, now clock.Time) {
	if m.State == exchanger.Ready && m.Endpoint != "" {
		c.route(m, now, c.silent(m.Node, now))
	}
}
