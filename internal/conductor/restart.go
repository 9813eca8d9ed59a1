package conductor

// A restarted node knows nothing, and the endpoint beside it announces itself only every 1.5 s. The node's own record
// in the store, written before the restart, shows at once which endpoint was there.
//
// Example: the record says i-7 with 264 slots, Ready: requests for i-7 are accepted at once; no heartbeat arrives for
// two seconds: the endpoint counts as unknown again.

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
)

// assumedRecordTime is how long after its start a node relies on its own record: one and a half heartbeat periods. An
// endpoint that left while its record could not be updated would otherwise get requests for as long as it runs.
const assumedRecordTime = 2200 * clock.Millisecond

// learnSelf processes this node's own record from before its start.
func (c *Conductor) learnSelf(m exchanger.Member, now clock.Time) {
	if c.supersedeRecord(m, now) || m.Incarnation == c.self.Incarnation {
		return
	}
	if m.Left && m.Service == c.self.Service {
		c.registrar.AssumeLeft(m.Endpoint, m.Started, now)
		return
	}
	usable := m.State == exchanger.Ready || m.State == exchanger.Stopping
	if !usable || m.Service != c.self.Service || now.Sub(c.started) > assumedRecordTime {
		return
	}
	if c.registrar.Assume(m.Endpoint, int64(m.Slots), m.Started) {
		c.startLimiter(int64(m.Slots), 0, now)
		c.assumeCold(now)
		c.publish(now)
	}
}

// supersedeRecord gives this node a higher incarnation than the process that ran before it, if that one started at a
// later time of day: clocks can jump back. Without this, other nodes would treat every record of this node as outdated
// and suspect it permanently.
func (c *Conductor) supersedeRecord(m exchanger.Member, now clock.Time) bool {
	if m.Incarnation < c.self.Incarnation || m.Incarnation == c.self.Incarnation && m.Sequence <= c.self.Sequence {
		return false
	}
	c.self.Incarnation = m.Incarnation + 1
	c.publish(now)
	return true
}

// expireAssumedEndpoint stops relying on the record if no heartbeat has confirmed it.
func (c *Conductor) expireAssumedEndpoint(now clock.Time) {
	local := c.registrar.Local()
	if local.Known && local.Assumed && now.Sub(c.started) > assumedRecordTime && c.registrar.Suspend(local.Endpoint) {
		c.shedQueue(now)
		c.publish(now)
	}
}
