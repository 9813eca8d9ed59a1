package conductor

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

// Guards against requests that seem to cost less the more of them fail: their runs break off at the first failed call.
func TestCostOfRequestsIsThatOfWholeRuns(t *testing.T) {
	inner := route("in", "clock", matcher.Idempotent)
	inner.Public = true
	for name, end := range map[string]DeliveryEnded{
		"endpoint's failure": {Outcome: Answered, Status: http.StatusInternalServerError},
		"no answer":          {Outcome: Broken},
		"deadline":           {Outcome: Late},
		"caller left":        {Outcome: Abandoned},
	} {
		t.Run(name, func(t *testing.T) {
			c := newConductor("portal")
			configure(t, c, configuration(1, route("obs", "portal", matcher.Idempotent), inner), 0)
			learnMembers(c, peer("b", "clock"))
			announceEndpoint(c, 10, 1, false, 0)
			id := CallID(0)
			run := func(calls int, end DeliveryEnded, now clock.Time) {
				id++
				end.ID = id
				c.Apply(DeliveryArrived{
					ID: id, Request: identifier.Request("r"), Host: "h", Path: "/obs/x", Endpoint: "i-self", Deadline: now + 9000, Due: now + 900,
				}, now)
				for range calls {
					id++
					nested := arrival(id, "/in/x")
					nested.Key, nested.Parent = "", "r"
					c.Apply(nested, now)
					c.Apply(RequestClosed{ID: id}, now)
				}
				c.Apply(end, now+10)
			}
			for now := clock.Time(0); now < 2000; now += 20 {
				run(4, DeliveryEnded{Outcome: Answered, Status: http.StatusOK}, now)
			}
			for now := clock.Time(2000); now < 12000; now += 20 {
				run(1, end, now)
			}
			assert.Equal(t, c.Report(12000).Calls["obs"]["in"], 4.0)
		})
	}
}
