package conductor

// A node that is started anew knows nothing, and the endpoint beside it announces itself only every second and a half. Its
// own record in the store, from before, tells at once which endpoint was there.
//
// Example: the record says i-7 with 264 slots, Ready: requests for i-7 are taken from the first moment on; no heartbeat
// comes for two seconds: the endpoint counts as unknown again.

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
)

// assumedRecordTime is how long after its start a node relies on its own record: one and a half periods of the heartbeats. An
// endpoint that left while nobody could write that down would else get requests for as long as it goes on running.
const assumedRecordTime = 2200 * clock.Millisecond

// learnSelf takes over this node's own record from before its start.
func (c *Conductor) learnSelf(m exchanger.Member, now clock.Time) {
	if c.supersedeRecord(m, now) || m.Incarnation == c.self.Incarnation {
		return
	}
	stayed := m.State == exchanger.Ready || m.State == exchanger.Stopping
	if !stayed || m.Service != c.self.Service || now.Sub(c.started) > assumedRecordTime {
		return
	}
	if c.registrar.Assume(m.Endpoint, int64(m.Slots)) {
		c.startLimiter(int64(m.Slots), 0, now)
		c.presumeCold(now)
		c.publish(now)
	}
}

// supersedeRecord makes this node's word later than that of the process that it took over from, whose start had a later time of day:
// clocks jump back. The others would else take every word of this node for an old one, and suspect it for good.
func (c *Conductor) supersedeRecord(m exchanger.Member, now clock.Time) bool {
	if m.Incarnation < c.self.Incarnation || m.Incarnation == c.self.Incarnation && m.Sequence <= c.self.Sequence {
		return false
	}
	c.self.Incarnation = m.Incarnation + 1
	c.publish(now)
	return true
}

// expireAssumedEndpoint ends the reliance on the record where no heartbeat has confirmed it.
func (c *Conductor) expireAssumedEndpoint(now clock.Time) {
	local := c.registrar.Local()
	if local.Known && local.Assumed && now.Sub(c.started) > assumedRecordTime && c.registrar.Suspend(local.Endpoint) {
		c.shedQueue(now)
		c.publish(now)
	}
}
