package conductor

// An endpoint that has just started, or was out of use, can take only a few requests a second; it crashes under a
// higher load and is cold again after its restart. All requests for an endpoint pass through the node beside it, so
// this node limits them to the configured rate from the first moment at which the endpoint may be cold. The other nodes
// learn of it from the reports and prefer warm endpoints.
//
// Example: 8.7 requests a second, an excess of 1.5 and a slack of 8: 13 a second and bursts of 4 are let through.

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/limiter"
)

// ColdBound is how many requests from all nodes together may reach a cold endpoint in one second: Excess times the cold
// rate of its service, plus Slack. An Excess of 0 sets no bound.
type ColdBound struct {
	Excess, Slack float64
}

const (
	// coldBurstRatio is the part of the slack used as burst; the rest covers requests that are dispatched late.
	coldBurstRatio = 0.5
	// coldMargin is added to the cold time that an endpoint announces, to cover the delay of the announcement.
	coldMargin = 100 * clock.Millisecond
	// coldCheckPeriod is the time between two checks of an endpoint that may be cold.
	coldCheckPeriod = 250 * clock.Millisecond
	// unknownColdStart is how long an endpoint counts as cold while its service's configuration is not known yet.
	unknownColdStart = 3 * clock.Second
)

// boundsCold reports whether requests to cold endpoints are limited.
func (c *Conductor) boundsCold() bool {
	return c.options.Bounds.Cold.Excess > 0
}

// coldRate returns the requests a second that a cold endpoint of a service can take, 0 if no such limit is known.
func (c *Conductor) coldRate(service identifier.Service) float64 {
	if !c.boundsCold() || c.matcher == nil {
		return 0
	}
	return c.matcher.Service(service).ColdRate
}

// coldLeft returns how much longer the endpoint beside a node counts as cold.
func (c *Conductor) coldLeft(node identifier.Node, now clock.Time) clock.Duration {
	until := c.otherColdUntil[node]
	if node == c.self.Node {
		until = c.coldUntil
	}
	return max(0, until.Sub(now))
}

// learnCold records how much longer the local endpoint is cold; it reports whether the endpoint was warm before.
func (c *Conductor) learnCold(left clock.Duration, now clock.Time) bool {
	if left <= 0 || !c.boundsCold() {
		return false
	}
	wasWarm := c.coldUntil <= now
	until := now.Add(left + coldMargin)
	if !c.coldAssumed {
		until = max(until, c.coldUntil)
	}
	c.coldUntil, c.coldAssumed = until, false
	c.limitCold(now)
	return wasWarm
}

// limitCold limits the local endpoint to its cold rate while it is cold.
func (c *Conductor) limitCold(now clock.Time) {
	if c.limiter == nil || c.coldUntil <= now {
		return
	}
	rate := c.coldRate(c.self.Service)
	if rate == 0 && c.matcher != nil {
		// The configuration sets no limit for this service.
		c.coldUntil, c.coldAssumed = now, false
		c.limiter.SetCold(limiter.RateLimit{}, now, now)
		return
	}
	c.limiter.SetCold(limiter.RateLimit{
		PerSecond: c.coldLimit(),
		Burst:     max(1, coldBurstRatio*c.options.Bounds.Cold.Slack),
	}, c.coldUntil, now)
	c.limitCapacity(now)
}

// coldLimit returns the requests a second that the local endpoint gets while it is cold.
func (c *Conductor) coldLimit() float64 {
	return c.coldRate(c.self.Service) * c.options.Bounds.Cold.Excess
}

// assumeCold treats the local endpoint as cold when its recent activity is not known, and checks it.
func (c *Conductor) assumeCold(now clock.Time) {
	left := clock.Duration(unknownColdStart)
	if c.matcher != nil {
		left = c.matcher.Service(c.self.Service).ColdStart
	}
	c.learnCold(left, now)
	c.coldAssumed = c.coldUntil > now
	c.nextColdCheckAt = now
	c.checkAssumedCold(now)
}

// assumeOtherCold treats the endpoint beside another node as cold until that node reports otherwise.
func (c *Conductor) assumeOtherCold(m exchanger.Member, now clock.Time) {
	if c.coldRate(m.Service) > 0 {
		c.otherColdUntil[m.Node] = now.Add(c.matcher.Service(m.Service).ColdStart)
	}
}

// checkAssumedCold periodically asks the local endpoint whether it is cold, until it has answered: if only this node
// was restarted, the endpoint is warm.
func (c *Conductor) checkAssumedCold(now clock.Time) {
	if !c.coldAssumed || c.matcher == nil || now < c.nextColdCheckAt || now >= c.coldUntil {
		return
	}
	c.nextColdCheckAt = now.Add(coldCheckPeriod)
	if path := c.matcher.Service(c.self.Service).HealthPath; path != "" {
		c.emit(CheckEndpoint{Path: path})
	}
}

// endpointChecked processes the local endpoint's own answer, which is newer than any heartbeat.
func (c *Conductor) endpointChecked(e EndpointChecked, now clock.Time) {
	if c.limiter == nil || e.Endpoint != c.registrar.Local().Endpoint {
		return
	}
	if e.Notice.Limited || e.Notice.Leaving {
		c.learnOwnNotice(e.Notice, now, now)
	}
	if !e.Known {
		return
	}
	c.coldUntil, c.coldAssumed = now, false
	if e.ColdLeft > 0 {
		c.learnCold(e.ColdLeft, now)
		return
	}
	c.limiter.SetCold(limiter.RateLimit{}, now, now)
	c.limitCapacity(now)
	c.updateRouterFor(c.self, now)
}

// learnOtherCold records from a report how much longer the endpoint beside another node is cold.
func (c *Conductor) learnOtherCold(r exchanger.Report, now clock.Time) {
	node := r.Member.Node
	wasCold := c.coldLeft(node, now) > 0
	if r.ColdLeft > 0 {
		c.otherColdUntil[node] = now.Add(r.ColdLeft - r.Age)
	} else {
		delete(c.otherColdUntil, node)
	}
	if wasCold != (c.coldLeft(node, now) > 0) {
		c.updateRouterFor(c.members[node], now)
	}
}

// updateRouterFor updates the router's entry of a member's endpoint after a change other than of its record.
func (c *Conductor) updateRouterFor(m exchanger.Member, now clock.Time) {
	if m.State == exchanger.Ready && m.Endpoint != "" {
		c.putEndpoint(m, now, c.silent(m.Node, now))
	}
}
