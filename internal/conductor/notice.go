package conductor

// An endpoint's answers may say how the endpoint is to be treated: that it takes only so many requests a second from all
// nodes together, or that it is leaving. Every node acts on what it passes on, and the node beside the endpoint acts on it
// for all. Answers overtake each other, so an answer may raise or lift a limit only if its request was sent after the limit
// had last been named; a lower limit holds at once.
//
// Example: 41.8 a second named at 8000; an answer without a limit to a request sent at 7990 changes nothing, to one sent
// at 8010 it lifts the limit.

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Notice is what one answer says about the endpoint that gave it.
type Notice struct {
	// Limited is set if the answer names a rate limit, of PerSecond requests from all nodes together.
	Limited   bool
	PerSecond float64
	// Unreadable is set if the answer names a limit that can't be read; the limit stays as it was.
	Unreadable bool
	// Leaving is set if the endpoint is leaving.
	Leaving bool
}

// endpointStart identifies one start of an endpoint: what the endpoint said before it started anew no longer holds.
type endpointStart struct {
	endpoint identifier.Endpoint
	// started is when the endpoint started, 0 if unknown.
	started int64
}

// isOf returns whether this may be the present start of a member's endpoint.
func (s endpointStart) isOf(m exchanger.Member) bool {
	return s.endpoint == m.Endpoint && (s.started == m.Started || s.started == 0 || m.Started == 0)
}

// endpointLimit is the rate limit of an endpoint, as its answers name it.
type endpointLimit struct {
	endpointStart
	// known is set if an answer of the endpoint has shown whether there is a limit; it is not set while a limit is known
	// only from other nodes.
	known     bool
	limited   bool
	perSecond float64
	// since is when a limit was first named after there had been none, namedAt when one was last named.
	since, namedAt clock.Time
}

// age returns for how long the endpoint has named limits.
func (l endpointLimit) age(now clock.Time) clock.Duration {
	if !l.limited {
		return 0
	}
	return now.Sub(l.since)
}

// learn takes what an answer at a given time says to a request sent at another, and returns whether the limit changed.
func (l *endpointLimit) learn(n Notice, sentAt, answeredAt clock.Time) bool {
	if n.Unreadable {
		return false
	}
	l.known = true
	raises := !n.Limited || n.PerSecond > l.perSecond
	if l.limited && raises && sentAt < l.namedAt {
		return false
	}
	return l.set(n.Limited, n.PerSecond, answeredAt)
}

// set puts a limit named at the given time in place of the known one, and returns whether that changed it.
func (l *endpointLimit) set(limited bool, perSecond float64, at clock.Time) (changed bool) {
	changed = l.limited != limited || l.perSecond != perSecond
	if limited && !l.limited {
		l.since = at
	}
	if limited {
		l.namedAt = max(l.namedAt, at)
	}
	l.limited, l.perSecond = limited, perSecond
	return changed
}

// noticeReceived acts on what an answer of the local endpoint says.
func (c *Conductor) noticeReceived(e NoticeReceived, now clock.Time) {
	d, ok := c.deliveries[e.ID]
	if !ok {
		return
	}
	c.learnOwnNotice(e.Notice, d.started, now)
}

// learnOwnNotice acts on what the local endpoint says in its answer to a request that was sent at the given time.
func (c *Conductor) learnOwnNotice(n Notice, sentAt, now clock.Time) {
	if c.limit.learn(n, sentAt, now) {
		c.ownLimitChanged(now)
	}
	if n.Leaving && c.registrar.Leave(c.registrar.Local().Endpoint) {
		c.emit(EndpointLeft{Endpoint: c.registrar.Local().Endpoint, Node: c.self.Node})
		c.shedQueue(now)
		c.publish(now)
	}
}

// learnOtherNotice acts on what an endpoint beside another node said in an answer that this node passes on. The node beside
// the endpoint may have been restarted meanwhile and know nothing of it.
func (c *Conductor) learnOtherNotice(r *call, n Notice, now clock.Time) {
	m, ok := c.members[r.pickedNode]
	if !ok || m.Endpoint != r.picked || m.Node == c.self.Node {
		return
	}
	if c.otherLimit(m).learn(n, r.sent, now) {
		c.updateRouterFor(m, now)
	}
	if n.Leaving && !c.hasLeft(m) {
		c.left[m.Node] = endpointStart{endpoint: m.Endpoint, started: m.Started}
		c.emit(EndpointLeft{Endpoint: m.Endpoint, Node: m.Node})
		c.putEndpoint(m, now, c.silent(m.Node, now))
	}
}

// hasLeft returns whether the endpoint beside another node has said in an answer that it is leaving.
func (c *Conductor) hasLeft(m exchanger.Member) bool {
	start, ok := c.left[m.Node]
	return ok && start.isOf(m)
}
