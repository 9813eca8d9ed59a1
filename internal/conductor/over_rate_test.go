package conductor

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

// Guards against services that seem overloaded because one team sends several times its rate, of which nothing beyond the rate
// is admitted anyway.
func TestArrivalsOverTheRateAreNoDemand(t *testing.T) {
	for name, refused := range map[string]float64{"no overload": 0, "half is refused for overload": 0.5} {
		t.Run(name, func(t *testing.T) {
			c := newConductor("portal")
			config := configuration(3, route("obs", "portal", matcher.Idempotent))
			config.Teams = []matcher.Team{{Name: "hot", Keys: []string{"h"}, Rate: 100, Burst: 1}, {Name: "other", Keys: []string{"k"}, Rate: 1000, Burst: 1000}}
			configure(t, c, config, 0)
			announceEndpoint(c, 1000, 1, false, 0)
			id, admitted := CallID(0), 0.0
			send := func(key string, now clock.Time) {
				id++
				r := arrival(id, "/obs/x")
				r.Key = key
				c.refreshPlan(now)
				c.plan.refuse(requestKind{from: origin{route: "obs", service: "portal"}}, refused, false, "pressure/portal")
				for _, e := range append([]Effect(nil), c.Apply(r, now)...) {
					switch s, ok := e.(Send); {
					case !ok:
					case s.RateUnchecked:
						// The node beside the endpoint has no token left either.
						c.Apply(AttemptEnded{ID: id, Outcome: Over}, now)
					case s.Team == "hot" && now >= 2000:
						admitted++
					}
				}
				c.Apply(RequestClosed{ID: id}, now)
			}
			// 200 a second of one team, 1,000 of another whose rate is 100.
			for now := clock.Time(0); now < 4000; now++ {
				send("h", now)
				if now%5 == 0 {
					send("k", now)
				}
			}
			c.recentArrivals.decay(4000)
			c.teamArrivals.decay(4000)
			// What is admitted within the rate is the part that is not refused for overload.
			hot := admitted / 2 / (1 - refused)
			got := c.recentArrivals.rates()["obs"][0]
			assert.Assert(t, math.Abs(got-200-hot) < 0.2*hot, "%v, %v", got, hot)
			got = c.teamArrivals.rates()["hot"]["obs"]
			assert.Assert(t, math.Abs(got-hot) < 0.2*hot, "%v", got)
		})
	}
}

// Guards against a node that ends because another one says of a request without a team that its team is over its rate.
func TestOverAnswerToRequestWithoutTeam(t *testing.T) {
	c := newConductor("x")
	public := route("obs", "portal", matcher.Idempotent)
	public.Public = true
	configure(t, c, configuration(3, public), 0)
	learnMembers(c, peer("p", "portal"))
	r := arrival(1, "/obs/x")
	c.Apply(r, 0)
	effects := c.Apply(AttemptEnded{ID: 1, Outcome: Over}, 10)
	assert.Equal(t, onlyEffect[Refuse](t, effects).Reason, OverRate)
}
