package conductor

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

// Guards against an overload of which the logs do not tell which kind of request lost what, and by which decision.
func TestKindCountsTellWhatBecameOfRequests(t *testing.T) {
	report := exchanger.Report{Load: 900, Capacity: 1, Excess: 0.9}
	c := planned(t, report, exchanger.Report{})
	ends := map[CallID]Event{
		1: AttemptEnded{ID: 1, Outcome: Answered, Status: http.StatusOK},
		2: AttemptEnded{ID: 2, Outcome: Answered, Status: http.StatusInternalServerError},
		3: AttemptEnded{ID: 3, Outcome: Late},
		4: RequestClosed{ID: 4},
	}
	refused := int64(0)
	for id := CallID(1); id <= 200; id++ {
		r := arrival(id, "/fast/x")
		effects := c.Apply(r, 50)
		if _, ok := effects[len(effects)-1].(Refuse); ok {
			refused++
			continue
		}
		end, ok := ends[CallID(int64(id)-refused)]
		if !ok {
			continue
		}
		switch e := end.(type) {
		case AttemptEnded:
			e.ID = id
			c.Apply(e, 60)
		default:
			c.Apply(RequestClosed{ID: id}, 60)
		}
		c.Apply(RequestClosed{ID: id}, 60)
	}
	counts := c.TakeKindCounts().Routes["fast"]
	assert.Assert(t, refused > 50, "%d", refused)
	assert.DeepEqual(t, *counts, RouteCounts{
		Offered: 200, Admitted: 200 - refused, Answered: 1, Failed: 2, Left: 1,
		Refused: map[Decision]int64{"pressure/clock": refused},
	})
	assert.Equal(t, len(c.TakeKindCounts().Routes), 0)
}

// Guards against a log line that grows with the number of routes.
func TestKindCountsAreBounded(t *testing.T) {
	k := KindCounts{Routes: map[identifier.Route]*RouteCounts{}}
	for i := range 1000 {
		k.Routes[identifier.Route(fmt.Sprint("r", i))] = &RouteCounts{Offered: int64(i), Refused: map[Decision]int64{"overRate": 1}}
	}
	k = k.bounded()
	assert.Equal(t, len(k.Routes), maxCountedRoutes+1)
	assert.Equal(t, k.Routes["r999"].Offered, int64(999))
	assert.DeepEqual(t, *k.Routes[otherRoutes], RouteCounts{Offered: 483636, Refused: map[Decision]int64{"overRate": 984}})
}

// Guards against slot time of a full service that went to failed requests and shows nowhere.
func TestKindCountsTellWhatRunsWereOfNoUse(t *testing.T) {
	c := newConductor("x")
	inner := route("in", "clock", matcher.Idempotent)
	inner.Public = true
	configure(t, c, configuration(3, inner), 0)
	announceEndpoint(c, 10, 1, false, 0)
	deliver := func(id CallID, level uint8, deadline clock.Time) {
		c.Apply(DeliveryArrived{
			ID: id, Host: "h", Path: "/in/x", Endpoint: c.Self().Endpoint, Rank: identifier.MakeRank(0, level, 9), Nested: true,
			Deadline: deadline, QueueTimeout: 100,
		}, 0)
	}
	deliver(1, 4, 1000)
	deliver(2, 4, 1000)
	deliver(3, 5, 40)
	c.Apply(DeliveryEnded{ID: 1, Outcome: Answered}, 30)
	c.Apply(DeliveryEnded{ID: 2, Outcome: Broken}, 50)
	c.Apply(DeliveryEnded{ID: 3, Outcome: Answered}, 60)
	runs := c.TakeKindCounts().Runs
	assert.DeepEqual(t, *runs[4], RunCounts{Runs: 2, Failed: 1, SlotTime: 80, FailedSlotTime: 50})
	assert.DeepEqual(t, *runs[5], RunCounts{Runs: 1, Failed: 1, SlotTime: 60, FailedSlotTime: 60})
}
