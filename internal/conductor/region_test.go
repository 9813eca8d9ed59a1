package conductor

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

// Requests that are bound to regions must reach no endpoint elsewhere, not even when the allowed endpoints are full,
// silent, ejected or evacuated.
func TestRequestsStayInTheirRegions(t *testing.T) {
	tests := map[string]struct {
		route, team []identifier.Region
		want        map[identifier.Endpoint]bool
	}{
		"free":              {nil, nil, map[identifier.Endpoint]bool{"i-a": true, "i-b": true, "i-c": true}},
		"route":             {[]identifier.Region{"north"}, nil, map[identifier.Endpoint]bool{"i-a": true, "i-b": true}},
		"team":              {nil, []identifier.Region{"south"}, map[identifier.Endpoint]bool{"i-c": true}},
		"both":              {[]identifier.Region{"north", "south"}, []identifier.Region{"south"}, map[identifier.Endpoint]bool{"i-c": true}},
		"both, none common": {[]identifier.Region{"north"}, []identifier.Region{"south"}, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newConductor("desk")
			c.options.Regions = map[identifier.FailureDomain]identifier.Region{"west": "north", "east": "north", "cape": "south"}
			r := route("obs", "portal", matcher.Idempotent)
			r.Regions = test.route
			config := configuration(3, r)
			config.Teams[0].Regions = test.team
			configure(t, c, config, 0)
			learnMembers(c, inDomain(peer("a", "portal"), "west"), inDomain(peer("b", "portal"), "east"), inDomain(peer("c", "portal"), "cape"))
			used := map[identifier.Endpoint]bool{}
			id := CallID(0)
			ask := func() {
				id++
				effects := c.Apply(arrival(id, "/obs/x"), 0)
				for range 4 {
					s, ok := effects[0].(Send)
					if !ok {
						break
					}
					used[s.Endpoint] = true
					assert.Assert(t, test.want[s.Endpoint], "%s", s.Endpoint)
					effects = c.Apply(AttemptEnded{ID: id, Outcome: Unreached, Replayable: true}, 0)
				}
			}
			for range 30 {
				ask()
			}
			assert.Equal(t, len(used), len(test.want))
			leaving := peer("a", "portal")
			leaving.State, leaving.Sequence = exchanger.Leaving, 2
			learnMembers(c, inDomain(leaving, "west"))
			evacuate(c, 0, "east")
			for range 30 {
				ask()
			}
		})
	}
}

// A request that no region may serve is refused at once as not run, and does not wait for an endpoint.
func TestRequestWithoutPermittedRegionIsRefused(t *testing.T) {
	c := newConductor("desk")
	c.options.Regions = map[identifier.FailureDomain]identifier.Region{"west": "north"}
	r := route("obs", "portal", matcher.Idempotent)
	r.Regions = []identifier.Region{"south"}
	configure(t, c, configuration(3, r), 0)
	learnMembers(c, peer("a", "portal"))
	refused := onlyEffect[Refuse](t, c.Apply(arrival(1, "/obs/x"), 0))
	assert.Equal(t, refused.Status, 503)
	assert.Equal(t, refused.Reason, NoEndpoint)
}

func TestUnknownRegions(t *testing.T) {
	known := map[identifier.FailureDomain]identifier.Region{"west": "north"}
	r := route("obs", "portal", matcher.Idempotent)
	r.Regions = []identifier.Region{"north", "atlantis"}
	m, err := matcher.New(configuration(3, r))
	assert.NilError(t, err)
	assert.ErrorContains(t, m.CheckRegions(known), `regions of route obs is "atlantis"`)
	config := configuration(3, route("obs", "portal", matcher.Idempotent))
	config.Teams[0].Regions = []identifier.Region{"atlantis"}
	m, err = matcher.New(config)
	assert.NilError(t, err)
	assert.ErrorContains(t, m.CheckRegions(known), `regions of team parish is "atlantis"`)
	config.Teams[0].Regions = []identifier.Region{"north"}
	m, err = matcher.New(config)
	assert.NilError(t, err)
	assert.NilError(t, m.CheckRegions(known))
}
