package conductor

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
)

func deliveryTo(id CallID) DeliveryArrived {
	return DeliveryArrived{ID: id, Endpoint: "i-self", Deadline: 5000, QueueTimeout: 300, Due: 1200}
}

func TestDeliveries(t *testing.T) {
	c := newConductor("portal")
	assert.Equal(t, onlyEffect[TurnAway](t, c.Apply(deliveryTo(1), 0)).Outcome, Moved)
	published := onlyEffect[Publish](t, announceEndpoint(c, 3, 1, false, 0))
	assert.Equal(t, published.Member.State, exchanger.Ready)
	onlyEffect[Run](t, c.Apply(deliveryTo(2), 0))
	onlyEffect[Run](t, c.Apply(deliveryTo(3), 0))
	onlyEffect[Hold](t, c.Apply(deliveryTo(4), 0))
	assert.Equal(t, onlyEffect[Run](t, c.Apply(DeliveryEnded{ID: 2, Outcome: Answered}, 10)).ID, CallID(4))
	onlyEffect[Hold](t, c.Apply(deliveryTo(5), 20))
	assert.Equal(t, len(c.Apply(Ticked{}, 319)), 0)
	assert.Equal(t, onlyEffect[TurnAway](t, c.Apply(Ticked{}, 320)).Outcome, Full)
}

// Another incarnation of the endpoint has the same address. A request for the previous one must not run on it.
func TestDeliveryForOtherEndpointIsTurnedAway(t *testing.T) {
	c := newConductor("portal")
	announceEndpoint(c, 3, 1, false, 0)
	d := deliveryTo(1)
	d.Endpoint = "i-before"
	assert.Equal(t, onlyEffect[TurnAway](t, c.Apply(d, 0)).Outcome, Moved)
}

// The endpoint announces that it leaves while requests are queued for it. They have not reached it and can run on other
// endpoints; running requests finish.
func TestLeavingEndpointTurnsQueueAway(t *testing.T) {
	c := newConductor("portal")
	announceEndpoint(c, 2, 1, false, 0)
	onlyEffect[Run](t, c.Apply(deliveryTo(1), 0))
	onlyEffect[Hold](t, c.Apply(deliveryTo(2), 0))
	effects := announceEndpoint(c, 2, 2, true, 10)
	assert.Equal(t, len(effects), 2)
	assert.Equal(t, effects[0].(TurnAway), TurnAway{ID: 2, Outcome: Moved, Reason: EndpointGone})
	assert.Equal(t, effects[1].(Publish).Member.State, exchanger.Leaving)
	assert.Equal(t, onlyEffect[TurnAway](t, c.Apply(deliveryTo(3), 20)).Outcome, Moved)
	assert.Equal(t, len(c.Apply(DeliveryEnded{ID: 1, Outcome: Answered}, 30)), 0)
	assert.Assert(t, c.Idle())
}

func TestCancelledWhileQueued(t *testing.T) {
	c := newConductor("portal")
	announceEndpoint(c, 2, 1, false, 0)
	onlyEffect[Run](t, c.Apply(deliveryTo(1), 0))
	onlyEffect[Hold](t, c.Apply(deliveryTo(2), 0))
	assert.Equal(t, len(c.Apply(DeliveryCancelled{ID: 2}, 5)), 0)
	assert.Equal(t, len(c.Apply(DeliveryEnded{ID: 1, Outcome: Answered}, 10)), 0)
	assert.Assert(t, c.Idle())
}

// The endpoint accepts no connection because it has crashed. Other nodes must learn of it, and its next announcement
// makes it usable again.
func TestUnreachableEndpoint(t *testing.T) {
	c := newConductor("portal")
	announceEndpoint(c, 3, 1, false, 0)
	p := onlyEffect[Publish](t, c.Apply(EndpointUnreachable{Endpoint: "i-self"}, 10))
	assert.Equal(t, p.Member.State, exchanger.Absent)
	assert.Equal(t, onlyEffect[TurnAway](t, c.Apply(deliveryTo(1), 20)).Outcome, Moved)
	p = onlyEffect[Publish](t, announceEndpoint(c, 3, 2, false, 1500))
	assert.Equal(t, p.Member.State, exchanger.Ready)
	onlyEffect[Run](t, c.Apply(deliveryTo(2), 1500))
}

// maxPropagationTime is the longest time in which a changed record reaches all nodes of a healthy fleet.
const maxPropagationTime = 600 * clock.Millisecond

// In a planned stop, callers are sent elsewhere at once. The local endpoint keeps running and making nested calls, and
// is used while its requests can still finish; the other nodes must know of the stop before this node stops accepting
// deliveries.
func TestStopping(t *testing.T) {
	c := newConductor("portal")
	configure(t, c, configuration(3, route("obs", "portal", 1)), 0)
	announceEndpoint(c, 3, 1, false, 0)
	assert.Assert(t, c.Ready())
	assert.Equal(t, len(c.Apply(StopRequested{}, 10)), 0)
	assert.Assert(t, !c.Ready())
	assert.Equal(t, len(c.Apply(Ticked{}, 1200)), 0)
	onlyEffect[Run](t, c.Apply(DeliveryArrived{ID: 9, Endpoint: "i-self", Deadline: 3000, QueueTimeout: 100, Due: 3000}, 1205))
	p := onlyEffect[Publish](t, c.Apply(Ticked{}, 1210))
	assert.Equal(t, p.Member.State, exchanger.Stopping)
	assert.Equal(t, len(c.Apply(Ticked{}, 1235)), 0)
	assert.Assert(t, stoppingReadyTime+maxPropagationTime < stoppingAcceptTime)
	learnMembers(c, peer("a", "portal"))
	assert.Equal(t, onlyEffect[Send](t, c.Apply(arrival(1, "/obs/x"), 1240)).Node, peer("a", "portal").Node)
}

// Whatever the order of events, no delivery is lost or answered twice: the numbers of open requests and deliveries
// return to zero.
func TestNoDeliveryStaysOpen(t *testing.T) {
	c := newConductor("portal")
	announceEndpoint(c, 4, 1, false, 0)
	for id := CallID(1); id <= 400; id++ {
		now := clock.Time(id * 3)
		c.Apply(deliveryTo(id), now)
		switch id % 4 {
		case 0:
			c.Apply(DeliveryCancelled{ID: id}, now)
		case 1:
			c.Apply(DeliveryEnded{ID: id - 1, Outcome: Broken}, now)
		default:
			c.Apply(DeliveryEnded{ID: id, Outcome: Answered}, now)
		}
		c.Apply(Ticked{}, now)
	}
	for id := CallID(1); id <= 400; id++ {
		c.Apply(DeliveryEnded{ID: id, Outcome: Answered}, 5000)
	}
	c.Apply(Ticked{}, 5000)
	assert.Assert(t, c.Idle())
}

// The deepest service has lost all but one endpoint. Its calls wait so long that most callers give up while they run,
// which frees slots, so that calls start as fast as they arrive. Users see only timeouts; the node must report its
// endpoint as overloaded, otherwise no node sheds any load.
func TestAbandonedRunsDoNotCountAsCapacity(t *testing.T) {
	c := newConductor("portal")
	announceEndpoint(c, 11, 1, false, 0)
	id := CallID(0)
	running := []CallID{}
	for now := clock.Time(0); now < 4000; now++ {
		id++
		for _, e := range c.Apply(deliveryTo(id), now) {
			if r, ok := e.(Run); ok {
				running = append(running, r.ID)
			}
		}
		// Slots become free at half the arrival rate; three times out of four because the caller disconnected.
		if now%2 == 0 && len(running) > 9 {
			outcome := Abandoned
			if now%8 == 0 {
				outcome = Answered
			}
			for _, e := range c.Apply(DeliveryEnded{ID: running[0], Outcome: outcome}, now) {
				if r, ok := e.(Run); ok {
					running = append(running, r.ID)
				}
			}
			running = running[1:]
		}
		if now%25 == 0 {
			for _, e := range c.Apply(Ticked{}, now) {
				if r, ok := e.(Run); ok {
					running = append(running, r.ID)
				}
			}
		}
	}
	assert.Assert(t, c.throttler.Excess() > 0.75, "got excess %v, expected more than 0.75", c.throttler.Excess())
}
