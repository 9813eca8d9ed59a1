package conductor

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
	"github.com/jackdawtide/jackdawtide/internal/registrar"
)

// ownerState is what the goroutine of a delivery knows of it.
type ownerState uint8

const (
	queuedOwner ownerState = iota
	runningOwner
	// leavingOwner no longer waits for an effect and has not reported it yet.
	leavingOwner
)

// owners are the goroutines of a node's deliveries.
type owners struct {
	conductor *Conductor
	states    map[CallID]ownerState
	now       clock.Time
}

// apply passes an event to the conductor and the effects to the goroutines that wait for them.
func (o *owners) apply(e Event) {
	for _, effect := range o.conductor.Apply(e, o.now) {
		switch e := effect.(type) {
		case Run:
			if s, ok := o.states[e.ID]; ok && s == queuedOwner {
				o.states[e.ID] = runningOwner
			}
		case TurnAway:
			if o.states[e.ID] != leavingOwner {
				delete(o.states, e.ID)
			}
		}
	}
}

// in returns the deliveries in a state, in the order of their ids.
func (o *owners) in(s ownerState) (ids []CallID) {
	for id, state := range o.states {
		if state == s {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Guards against slots that stay in use for deliveries that nobody runs, in any order of arrival, dispatch, cancellation and end.
func TestSlotsInUseHaveOwners(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newConductor("portal")
		o := &owners{conductor: c, states: map[CallID]ownerState{}}
		sequence := int64(1)
		announceEndpoint(c, 3, sequence, false, 0)
		next := CallID(1)
		pick := func(s ownerState) CallID {
			ids := o.in(s)
			if len(ids) == 0 {
				rt.Skip("none in this state")
			}
			return rapid.SampledFrom(ids).Draw(rt, "id")
		}
		rt.Repeat(map[string]func(*rapid.T){
			"arrive": func(rt *rapid.T) {
				o.states[next] = queuedOwner
				wait := rapid.Int64Range(1, 50).Draw(rt, "wait")
				o.apply(DeliveryArrived{
					ID: next, Endpoint: "i-self", Deadline: o.now + 200, QueueTimeout: clock.Duration(wait), Due: o.now + 100,
				})
				next++
			},
			"leave":  func(*rapid.T) { o.states[pick(queuedOwner)] = leavingOwner },
			"report": func(*rapid.T) { id := pick(leavingOwner); delete(o.states, id); o.apply(DeliveryCancelled{ID: id}) },
			"end": func(rt *rapid.T) {
				id := pick(runningOwner)
				delete(o.states, id)
				o.apply(DeliveryEnded{ID: id, Outcome: rapid.SampledFrom([]Outcome{Answered, Broken, Late, Abandoned, Declined}).Draw(rt, "outcome")})
			},
			"tick": func(rt *rapid.T) {
				o.now += clock.Time(rapid.Int64Range(1, 40).Draw(rt, "passes"))
				o.apply(Ticked{})
			},
			"slots": func(rt *rapid.T) {
				sequence++
				o.apply(EndpointAnnounced{Announcement: registrar.Announcement{
					Endpoint: "i-self", Service: "portal", Address: "10.0.0.1:80", Slots: rapid.Int64Range(2, 5).Draw(rt, "slots"), Started: 1,
					Sequence: sequence,
				}})
			},
			"": func(rt *rapid.T) {
				// A dispatched delivery whose owner is leaving is freed with its report.
				assert.Assert(rt, int(c.Dump(o.now).Running) >= len(o.in(runningOwner)))
				if len(o.in(leavingOwner)) == 0 {
					assert.Equal(rt, int(c.Dump(o.now).Running), len(o.in(runningOwner)))
				}
			},
		})
	})
}

// Guards against slots that are lost for good when callers leave while their queued requests are dispatched.
func TestDeliveryDispatchedWhileItsCallerLeavesFreesItsSlot(t *testing.T) {
	c := newConductor("portal")
	configure(t, c, configuration(1, route("calc", "portal", matcher.NonIdempotent)), 0)
	announceEndpoint(c, 2, 1, false, 0)
	onlyEffect[Run](t, c.Apply(deliveryTo(1), 0))
	onlyEffect[Hold](t, c.Apply(deliveryTo(2), 0))
	onlyEffect[Hold](t, c.Apply(deliveryTo(3), 0))
	assert.Equal(t, onlyEffect[Run](t, c.Apply(DeliveryEnded{ID: 1, Outcome: Answered}, 10)).ID, CallID(2))
	assert.Equal(t, onlyEffect[Run](t, c.Apply(DeliveryCancelled{ID: 2}, 11)).ID, CallID(3))
	assert.Equal(t, len(c.Apply(DeliveryEnded{ID: 3, Outcome: Answered}, 20)), 0)
	assert.Assert(t, c.Idle())
	assert.Equal(t, int(c.Dump(20).Running), 0)
}
