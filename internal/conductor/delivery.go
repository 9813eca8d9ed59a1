package conductor

// The node beside an endpoint is the only way to it. So what the endpoint can take, whether it is leaving and which
// start of it is meant are all judged here, and a request that is turned away here has not reached it.
//
// Example: 25 slots in use, then a call with 100 ms to wait: Hold, and Run when a slot comes free in time.

import (
	"math"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/limiter"
	"github.com/jackdawtide/jackdawtide/internal/registrar"
)

// delivery is a request that is queued for or running at the local endpoint.
type delivery struct {
	running bool
	nested  bool
	request identifier.Request
	route   identifier.Route
	rank    identifier.Rank
	started clock.Time
	// paid is the team that a token was taken from here, to be given back if the request is turned away.
	paid identifier.Team
}

// parent is a request that runs at the local endpoint and may make nested calls.
type parent struct {
	route identifier.Route
	rank  identifier.Rank
}

// slotPart of the announced slots is used. An endpoint that is nearly full works more slowly, and with all slots in
// use each of its answers comes later than with one in twenty free.
const slotPart = 0.94

// lastDeliveries is how long a stopping node takes requests for its endpoint: nodes that know of no other endpoint of the
// service still send some, and what comes later might not be finished when the node ends.
const lastDeliveries = 2 * clock.Second

// stillServing is how long a stopping node's endpoint is used like any other: what it runs in that time ends well before
// the node does. Left alone from the first moment on, an endpoint that goes on running is out of use for a second more at
// each restart, and what it could run leaves its failure domain. The rest of lastDeliveries is for the word to get round.
const stillServing = 1200 * clock.Millisecond

func (c *Conductor) deliver(e DeliveryArrived, now clock.Time) {
	local := c.registrar.Local()
	stopped := c.stopping && now.Sub(c.stopAsked) > lastDeliveries
	if c.evacuated[c.self.Domain] {
		c.emit(TurnAway{ID: e.ID, Outcome: Moved, Reason: Evacuated})
		return
	}
	if stopped || !local.Usable() || local.Endpoint != e.Endpoint || c.limiter == nil {
		c.emit(TurnAway{ID: e.ID, Outcome: Moved, Reason: EndpointGone})
		return
	}
	if e.RateUnchecked != "" && !c.apportioner.TakeForPeer(e.RateUnchecked, now) {
		c.emit(TurnAway{ID: e.ID, Outcome: Over, Reason: OverRate})
		return
	}
	if !e.Again {
		c.throttler.Arrived()
	}
	c.deliveries[e.ID] = &delivery{nested: e.Nested, request: e.Request, route: c.routeOf(e), rank: e.Rank, paid: e.RateUnchecked}
	offered := limiter.Call{
		ID:        limiter.CallID(e.ID),
		Rank:      e.Rank,
		Deadline:  e.Deadline,
		Due:       e.Due,
		WaitUntil: now.Add(e.QueueTimeout),
	}
	c.verdicts = c.limiter.Offer(offered, now, c.verdicts[:0])
	c.settle(now)
}

// routeOf returns the route of a delivery, empty where the configuration here has none.
func (c *Conductor) routeOf(e DeliveryArrived) identifier.Route {
	if c.matcher == nil {
		return unknownRun
	}
	route, ok := c.matcher.Match(e.Host, e.Path)
	if !ok {
		return unknownRun
	}
	return identifier.Route(route.Name)
}

// settle turns the limiter's verdicts into effects.
func (c *Conductor) settle(now clock.Time) {
	for _, v := range c.verdicts {
		id := CallID(v.ID)
		switch v.Action {
		case limiter.Dispatch:
			if d, ok := c.deliveries[id]; ok {
				d.running, d.started = true, now
				c.runs.started(d.route)
				if d.request != "" {
					c.parents[d.request] = parent{route: d.route, rank: d.rank}
				}
			}
			c.emit(Run{ID: id})
		case limiter.Queue:
			c.emit(Hold{ID: id})
		case limiter.Shed:
			c.forget(id)
			c.emit(TurnAway{ID: id, Outcome: Full, Reason: c.shedReason(now)})
		case limiter.Expire:
			c.forget(id)
			c.emit(TurnAway{ID: id, Outcome: Full, Reason: Expired})
		}
	}
	c.verdicts = c.verdicts[:0]
}

// shedReason tells why the local endpoint has no room.
func (c *Conductor) shedReason(now clock.Time) Reason {
	if c.coldLeft(c.self.Node, now) > 0 {
		return EndpointCold
	}
	return NoRoom
}

// forget drops a delivery that was turned away, and gives back what was taken for it.
func (c *Conductor) forget(id CallID) {
	if d, ok := c.deliveries[id]; ok && d.paid != "" {
		c.apportioner.Return(d.paid)
	}
	delete(c.deliveries, id)
}

func (c *Conductor) deliveryEnded(e DeliveryEnded, now clock.Time) {
	d, ok := c.deliveries[e.ID]
	if !ok {
		return
	}
	delete(c.deliveries, e.ID)
	delete(c.parents, d.request)
	if c.limiter == nil {
		return
	}
	if took := now.Sub(d.started); e.Outcome == Answered {
		c.throttler.Answered()
		c.runTimes.of(d.nested).learn(took)
	} else {
		c.runTimes.of(d.nested).atLeast(took)
	}
	c.verdicts = c.limiter.Done(limiter.CallID(e.ID), limiterOutcome(e.Outcome), now, c.verdicts[:0])
	c.settle(now)
}

func limiterOutcome(o Outcome) limiter.Outcome {
	switch o {
	case Answered:
		return limiter.Succeeded
	case Abandoned:
		return limiter.Cancelled
	case Late:
		return limiter.TimedOut
	default:
		return limiter.Failed
	}
}

func (c *Conductor) deliveryCancelled(e DeliveryCancelled, now clock.Time) {
	d, ok := c.deliveries[e.ID]
	if !ok || d.running {
		return
	}
	c.forget(e.ID)
	if c.limiter == nil {
		return
	}
	c.verdicts = c.limiter.Cancel(limiter.CallID(e.ID), now, c.verdicts[:0])
	for _, v := range c.verdicts {
		if v.ID != limiter.CallID(e.ID) {
			c.settleOne(v, now)
		}
	}
	c.verdicts = c.verdicts[:0]
}

func (c *Conductor) settleOne(v limiter.Verdict, now clock.Time) {
	c.verdicts = []limiter.Verdict{v}
	c.settle(now)
}

func (c *Conductor) announced(e EndpointAnnounced, now clock.Time) {
	changed, err := c.registrar.Announce(e.Announcement, now)
	if err != nil {
		return
	}
	if !changed {
		c.announcedAgain(e.Announcement, now)
		return
	}
	local := c.registrar.Local()
	restarted := c.limiter == nil || c.self.Endpoint != local.Endpoint || c.self.State != exchanger.Ready
	switch {
	case !local.Usable():
		c.shedQueue(now)
	case restarted:
		c.startLimiter(local.Slots, local.ColdLeft, now)
	default:
		c.limiter.SetSlots(usedSlots(local.Slots), now)
		c.learnCold(local.ColdLeft, now)
	}
	c.publish(now)
}

// announcedAgain takes from a heartbeat that changes nothing else whether the endpoint has become cold again.
func (c *Conductor) announcedAgain(a registrar.Announcement, now clock.Time) {
	local := c.registrar.Local()
	if local.Usable() && local.Endpoint == a.Endpoint && local.Sequence == a.Sequence && c.learnCold(a.ColdLeft, now) {
		c.publish(now)
	}
}

// queuePerSlot bounds the queue. Calls wait for up to a third of what they have left, some 200 ms; at 15 ms a call, 16
// calls a slot are run in that time. A shorter queue turns calls away that would have been run in time.
const queuePerSlot = 16

func usedSlots(slots int64) int {
	return max(1, int(math.Floor(slotPart*float64(slots))))
}

func (c *Conductor) startLimiter(slots int64, coldLeft clock.Duration, now clock.Time) {
	c.shedQueue(now)
	ramp := coldLeft
	if c.boundsCold() {
		ramp = 0
	}
	c.limiter = limiter.New(limiter.Options{
		Slots:     usedSlots(slots),
		ColdStart: ramp,
		Law:       limiter.FixedLaw,
		Order:     limiter.DueFirst,
		Queue:     queuePerSlot * usedSlots(slots),
	}, now)
	c.coldUntil, c.coldPresumed = now, false
	c.learnCold(coldLeft, now)
	c.deliveries = map[CallID]*delivery{}
	c.parents = map[identifier.Request]parent{}
	c.runTimes = runTimes{}
}

// shedQueue turns away what is queued; what runs goes on.
func (c *Conductor) shedQueue(now clock.Time) {
	if c.limiter == nil {
		return
	}
	c.limiter.Drain()
	c.verdicts = c.limiter.Tick(now, c.verdicts[:0])
	for _, v := range c.verdicts {
		c.forget(CallID(v.ID))
		c.emit(TurnAway{ID: CallID(v.ID), Outcome: Moved, Reason: EndpointGone})
	}
	c.verdicts = c.verdicts[:0]
}

func (c *Conductor) removed(e EndpointRemoved, now clock.Time) {
	if c.registrar.Remove(e.Endpoint, now) {
		c.shedQueue(now)
		c.publish(now)
	}
}

// unreachable takes the endpoint for gone until it announces itself again.
func (c *Conductor) unreachable(e EndpointUnreachable, now clock.Time) {
	if !c.registrar.Suspend(e.Endpoint) {
		return
	}
	c.shedQueue(now)
	c.publish(now)
}

// QueueDelay returns how long a request would be queued here.
func (c *Conductor) QueueDelay(now clock.Time) clock.Duration {
	if c.limiter == nil {
		return 0
	}
	return c.limiter.QueueDelay(now)
}

// Headroom returns the free part of the local endpoint as answers carry it.
func (c *Conductor) Headroom(now clock.Time) uint8 {
	if c.limiter == nil {
		return 0
	}
	return c.limiter.Headroom(now)
}
