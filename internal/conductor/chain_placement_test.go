package conductor

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
	"github.com/jackdawtide/jackdawtide/internal/router"
)

// A failure domain has lost its last endpoint of a service, and each run of the calling service calls it four times. A
// run in that failure domain would send four consecutive calls to another failure domain and pay the latency four
// times; sending the run itself there crosses once.
func TestRunIsPlacedInDomainServingItsCalls(t *testing.T) {
	for name, c := range map[string]struct {
		calls    float64
		clocks   []identifier.FailureDomain
		headroom uint8
		want     router.Crossing
	}{
		"several calls, none served here":      {calls: 4, clocks: []identifier.FailureDomain{"east"}, headroom: 200, want: router.ForItsCalls},
		"one call":                             {calls: 1, clocks: []identifier.FailureDomain{"east"}, headroom: 200, want: router.Inside},
		"served here as well":                  {calls: 4, clocks: []identifier.FailureDomain{"east", "west"}, headroom: 200, want: router.Inside},
		"served where the run has no endpoint": {calls: 4, clocks: []identifier.FailureDomain{"north"}, headroom: 200, want: router.Inside},
		"no room where its calls are served":   {calls: 4, clocks: []identifier.FailureDomain{"east"}, headroom: 0, want: router.Inside},
	} {
		t.Run(name, func(t *testing.T) {
			inner := route("in", "clock", matcher.Idempotent)
			inner.Public = true
			k := newConductor("x")
			configure(t, k, configuration(1, route("obs", "portal", matcher.Idempotent), inner), 0)
			near, far := peer("near", "portal"), peer("far", "portal")
			far.Domain = "east"
			members := []exchanger.Member{near, far}
			for i, domain := range c.clocks {
				deep := peer(identifier.Node(fmt.Sprint("deep", i)), "clock")
				deep.Domain = domain
				members = append(members, deep)
			}
			learnMembers(k, members...)
			crossed := map[router.Crossing]int{}
			for id := CallID(1); id <= 200; id++ {
				now := clock.Time(id * 3)
				k.Apply(ReportsReceived{Reports: []exchanger.Report{{
					Member: near, Number: int64(id), Load: 10,
					Calls: map[identifier.Route]map[identifier.Route]float64{"obs": {"in": c.calls}},
				}}}, now)
				s := onlyEffect[Send](t, k.Apply(arrival(id, "/obs/x"), now))
				headroom := uint8(200)
				if s.Node == "far" {
					headroom = c.headroom
				}
				k.Apply(AttemptEnded{ID: id, Outcome: Answered, Status: 200, Headroom: headroom}, now)
				k.Apply(RequestClosed{ID: id}, now)
				if id > 20 {
					crossed[s.Crossing]++
				}
			}
			assert.Assert(t, crossed[c.want] >= 150, "%v", crossed)
		})
	}
}
