package conductor

// All requests to an endpoint pass through the node beside it. This node therefore decides how many requests the
// endpoint can take, whether it is leaving, and which incarnation of it a request is meant for. A request turned away
// here has not reached the endpoint.
//
// Example: 25 slots in use, then a call with 100 ms to wait: Hold, and Run when a slot becomes free in time.

import (
	"iter"
	"maps"
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
	// countIfRun is set if the arrival is counted only when the request is run.
	countIfRun bool
	request    identifier.Request
	route      identifier.Route
	rank       identifier.Rank
	started    clock.Time
	deadline   clock.Time
	// chargedTeam is the team that a token was taken from here; the token is returned if the request is turned away.
	chargedTeam  identifier.Team
	fingerprints []identifier.Fingerprint
	// endReported is set once the endpoint's end under the request has been reported.
	endReported bool
}

// parent is a request that runs at the local endpoint and may make nested calls.
type parent struct {
	// delivery is the last one that was dispatched under the request's id.
	delivery CallID
	route    identifier.Route
	rank     identifier.Rank
	// fingerprint is that of the root request, 0 if unknown.
	fingerprint identifier.Fingerprint
	// calls are the nested calls that the run has made, failed is set when one of them was rejected.
	calls  []identifier.Route
	failed bool
}

// usedSlotRatio is the part of the announced slots that is used. An endpoint slows down as it fills up: with all slots
// in use, each of its answers comes later than with one in twenty free.
const usedSlotRatio = 0.94

// stoppingAcceptTime is how long a stopping node accepts requests for its endpoint. Nodes that know of no other
// endpoint of the service still send some; a request accepted later might not finish before the node ends.
const stoppingAcceptTime = 2 * clock.Second

// stoppingReadyTime is how long the endpoint of a stopping node is used like any other: requests that start in this
// time end well before the node does. If the endpoint, which keeps running, were avoided at once, it would be unused
// for a second longer at each restart, and its requests would leave its failure domain. The remainder of
// stoppingAcceptTime is for the state change to reach all nodes.
const stoppingReadyTime = 1200 * clock.Millisecond

func (c *Conductor) deliveryArrived(e DeliveryArrived, now clock.Time) {
	local := c.registrar.Local()
	stopped := c.stopping && now.Sub(c.stopRequestedAt) > stoppingAcceptTime
	if c.evacuated[c.self.Domain] {
		c.emit(TurnAway{ID: e.ID, Outcome: Moved, Reason: Evacuated})
		return
	}
	if stopped || !local.Usable() || local.Endpoint != e.Endpoint || c.limiter == nil {
		c.emit(TurnAway{ID: e.ID, Outcome: Moved, Reason: EndpointGone})
		return
	}
	if v := c.quarantiner.Judge(e.Fingerprints, now); v.Quarantined || v.Alone && c.runsSuspect(now) {
		// A quarantined request comes from a node that was started after the ends under it.
		c.emit(TurnAway{ID: e.ID, Outcome: Full, Reason: Quarantined})
		return
	}
	if e.RateUnchecked != "" && (c.seeksMembers || !c.apportioner.TakeForPeer(e.RateUnchecked, now)) {
		c.emit(TurnAway{ID: e.ID, Outcome: Over, Reason: OverRate})
		return
	}
	c.assumeOwnLimit(e.Limit, now)
	// What a limited endpoint can't take is load of the service's other endpoints, if any of them takes any rate.
	countIfRun := !e.ArrivalCounted && c.limit.limited && c.hasUnlimitedEndpoint(c.self.Service, now)
	if !e.ArrivalCounted && !countIfRun {
		c.throttler.Arrived()
	}
	c.deliveries[e.ID] = &delivery{
		countIfRun: countIfRun, nested: e.Nested, request: e.Request, route: c.routeOf(e), rank: e.Rank,
		deadline: e.Deadline, chargedTeam: e.RateUnchecked, fingerprints: e.Fingerprints,
	}
	offered := limiter.Call{
		ID:        limiter.CallID(e.ID),
		Rank:      e.Rank,
		Deadline:  e.Deadline,
		Due:       e.Due,
		WaitUntil: now.Add(e.QueueTimeout),
	}
	c.verdicts = c.limiter.Offer(offered, now, c.verdicts[:0])
	c.applyVerdicts(now)
}

// routeOf returns the route of a delivery, empty if the local configuration has none for it.
func (c *Conductor) routeOf(e DeliveryArrived) identifier.Route {
	if c.matcher == nil {
		return unknownRoute
	}
	route, ok := c.matcher.Match(e.Host, e.Path)
	if !ok {
		return unknownRoute
	}
	return identifier.Route(route.Name)
}

// applyVerdicts converts the limiter's verdicts into effects.
func (c *Conductor) applyVerdicts(now clock.Time) {
	for _, v := range c.verdicts {
		id := CallID(v.ID)
		switch v.Action {
		case limiter.Dispatch:
			if d, ok := c.deliveries[id]; ok {
				d.running, d.started = true, now
				if d.countIfRun {
					c.throttler.Arrived()
				}
				c.runs.runStarted()
				c.offers.countOffered(now)
				if d.request != "" {
					c.parents[d.request] = parent{delivery: id, route: d.route, rank: d.rank, fingerprint: d.rootFingerprint()}
				}
			}
			c.emit(Run{ID: id})
		case limiter.Queue:
			c.emit(Hold{ID: id})
		case limiter.Shed:
			c.turnAwayFull(id, c.shedReason(now))
		case limiter.Expire:
			c.turnAwayFull(id, Expired)
		}
	}
	c.verdicts = c.verdicts[:0]
}

// shedReason returns why the local endpoint has no capacity.
func (c *Conductor) shedReason(now clock.Time) Reason {
	switch {
	case c.coldLeft(c.self.Node, now) > 0:
		return EndpointCold
	case c.limit.limited:
		return EndpointLimited
	default:
		return NoRoom
	}
}

// turnAwayFull turns a delivery away for lack of capacity.
func (c *Conductor) turnAwayFull(id CallID, reason Reason) {
	if c.limit.limited {
		c.heldBack++
	}
	if d, ok := c.deliveries[id]; ok {
		c.kindCounts.runs(d.rank).TurnedAway++
	}
	c.dropDelivery(id)
	c.emit(TurnAway{ID: id, Outcome: Full, Reason: reason})
}

// dropDelivery removes a delivery that was turned away, and returns the token taken for it.
func (c *Conductor) dropDelivery(id CallID) {
	if d, ok := c.deliveries[id]; ok && d.chargedTeam != "" {
		c.apportioner.Return(d.chargedTeam)
	}
	delete(c.deliveries, id)
}

func (c *Conductor) deliveryEnded(e DeliveryEnded, now clock.Time) {
	d, ok := c.deliveries[e.ID]
	if !ok {
		return
	}
	delete(c.deliveries, e.ID)
	if e.Outcome == Declined {
		c.offers.countDeclined(now)
	}
	c.countRun(d, e, now)
	c.dropParent(e.ID, d)
	if c.limiter == nil {
		return
	}
	if e.Outcome == Answered {
		c.aliveAt = now
	}
	if c.survivedRun(d, e.Outcome, now) {
		c.quarantiner.Survived(d.fingerprints, now)
	}
	if took := now.Sub(d.started); e.Outcome == Answered {
		c.throttler.Answered()
		c.runTimes.of(d.nested).learn(took)
	} else {
		c.runTimes.of(d.nested).learnLowerBound(took)
	}
	c.verdicts = c.limiter.Done(limiter.CallID(e.ID), limiterOutcome(e.Outcome), now, c.verdicts[:0])
	c.applyVerdicts(now)
}

// maxCountedCalls bounds the nested calls that are kept of a run, fifty times those of the longest known one.
const maxCountedCalls = 1000

// countNestedCall counts a nested call for the run that makes it; its route's calls are known once the run has ended.
func (c *Conductor) countNestedCall(run identifier.Request, nested identifier.Route) {
	p, known := c.parents[run]
	if !known || p.route == unknownRoute {
		c.runs.unattributedCallMade(nested)
		return
	}
	if len(p.calls) < maxCountedCalls {
		p.calls = append(p.calls, nested)
		c.parents[run] = p
	}
}

// dropParent removes a delivery that has ended from the runs that make nested calls.
func (c *Conductor) dropParent(id CallID, d *delivery) {
	if c.parents[d.request].delivery == id {
		delete(c.parents, d.request)
	}
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
	if !ok {
		return
	}
	c.dropDelivery(e.ID)
	if c.limiter == nil {
		return
	}
	if d.running {
		// It was dispatched after its caller had left, so that nobody has sent it.
		c.dropParent(e.ID, d)
		c.verdicts = c.limiter.Done(limiter.CallID(e.ID), limiter.Cancelled, now, c.verdicts[:0])
		c.applyVerdicts(now)
		return
	}
	c.verdicts = c.limiter.Cancel(limiter.CallID(e.ID), now, c.verdicts[:0])
	for _, v := range c.verdicts {
		if v.ID != limiter.CallID(e.ID) {
			c.applyVerdict(v, now)
		}
	}
	c.verdicts = c.verdicts[:0]
}

func (c *Conductor) applyVerdict(v limiter.Verdict, now clock.Time) {
	c.verdicts = []limiter.Verdict{v}
	c.applyVerdicts(now)
}

func (c *Conductor) endpointAnnounced(e EndpointAnnounced, now clock.Time) {
	changed, err := c.registrar.Announce(e.Announcement, now)
	if err != nil {
		return
	}
	if !changed {
		c.learnHeartbeatCold(e.Announcement, now)
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
		c.renewOwnLimit(now)
		c.learnCold(local.ColdLeft, now)
	}
	c.publish(now)
}

// learnHeartbeatCold checks whether a heartbeat, otherwise unchanged, says that the endpoint has become cold again.
func (c *Conductor) learnHeartbeatCold(a registrar.Announcement, now clock.Time) {
	local := c.registrar.Local()
	if local.Usable() && local.Endpoint == a.Endpoint && local.Sequence == a.Sequence && c.learnCold(a.ColdLeft, now) {
		c.publish(now)
	}
}

// queuePerSlot bounds the queue. Calls wait for up to a third of their remaining time, some 200 ms; at 15 ms a call, a
// slot runs about 16 calls in that time. A shorter queue would turn away calls that could have run in time.
const queuePerSlot = 16

func usedSlots(slots int64) int {
	return max(1, int(math.Floor(usedSlotRatio*float64(slots))))
}

func (c *Conductor) startLimiter(slots int64, coldLeft clock.Duration, now clock.Time) {
	c.shedQueue(now)
	ramp := coldLeft
	if c.boundsCold() {
		// The limit of requests to a cold endpoint (see cold.go) replaces the limiter's ramp.
		ramp = 0
	}
	c.limiter = limiter.New(limiter.Options{
		Slots:     usedSlots(slots),
		ColdStart: ramp,
		Law:       limiter.FixedLaw,
		Order:     limiter.DueFirst,
		Queue:     queuePerSlot * usedSlots(slots),
	}, now)
	c.coldUntil, c.coldAssumed = now, false
	c.renewOwnLimit(now)
	c.learnCold(coldLeft, now)
	c.deliveries = map[CallID]*delivery{}
	c.parents = map[identifier.Request]parent{}
	c.runTimes = runTimes{}
	c.queueFloor = queueFloor{}
}

// shedQueue turns away all queued requests; running requests continue.
func (c *Conductor) shedQueue(now clock.Time) {
	if c.limiter == nil {
		return
	}
	c.limiter.Drain()
	c.verdicts = c.limiter.Tick(now, c.verdicts[:0])
	for _, v := range c.verdicts {
		c.dropDelivery(CallID(v.ID))
		c.emit(TurnAway{ID: CallID(v.ID), Outcome: Moved, Reason: EndpointGone})
	}
	c.verdicts = c.verdicts[:0]
}

func (c *Conductor) endpointRemoved(e EndpointRemoved, now clock.Time) {
	if c.registrar.Remove(e.Endpoint, now) {
		c.shedQueue(now)
		c.publish(now)
	}
}

// endpointUnreachable treats the endpoint as gone until it announces itself again.
func (c *Conductor) endpointUnreachable(e EndpointUnreachable, now clock.Time) {
	if !c.registrar.Suspend(e.Endpoint) {
		return
	}
	c.shedQueue(now)
	c.publish(now)
}

// Deliveries returns the ids of the deliveries that are queued for or running at the local endpoint.
func (c *Conductor) Deliveries() iter.Seq[CallID] {
	return maps.Keys(c.deliveries)
}

// QueueDelay returns how long a request would be queued here.
func (c *Conductor) QueueDelay(now clock.Time) clock.Duration {
	if c.limiter == nil {
		return 0
	}
	return c.limiter.QueueDelay(now)
}

// Headroom returns the free part of the local endpoint's capacity, as carried by answers.
func (c *Conductor) Headroom(now clock.Time) uint8 {
	if c.limiter == nil {
		return 0
	}
	return c.limiter.Headroom(now)
}
