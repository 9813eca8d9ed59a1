package conductor

import (
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

// Guards against endpoints that look busier for ever, and ejected ones that are not probed again, since a request ended before its
// attempt was made.
func TestAttemptsInFlightEndWithTheirRequests(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newConductor("desk")
		configure(t, c, configuration(1, route("calc", "portal", matcher.Idempotent), route("own", "desk", matcher.NonIdempotent)), 0)
		announceEndpoint(c, 3, 1, false, 0)
		now, next := clock.Time(0), CallID(1)
		// attempting holds the requests that are open, and whether an attempt of theirs is in flight.
		attempting := map[CallID]bool{}
		apply := func(e Event) {
			for _, effect := range c.Apply(e, now) {
				switch e := effect.(type) {
				case Send:
					attempting[e.ID] = true
				case Hold:
					attempting[e.ID] = false
				case Refuse:
					delete(attempting, e.ID)
				case Reply:
					attempting[e.ID] = false
				}
			}
		}
		pick := func(all bool) CallID {
			ids := slices.Sorted(maps.Keys(attempting))
			ids = slices.DeleteFunc(ids, func(id CallID) bool { return !all && !attempting[id] })
			if len(ids) == 0 {
				rt.Skip("none")
			}
			return rapid.SampledFrom(ids).Draw(rt, "id")
		}
		outcomes := []Outcome{Answered, Full, Moved, Declined, Broken, Late, Unreached, Abandoned, Over}
		rt.Repeat(map[string]func(*rapid.T){
			"arrive": func(rt *rapid.T) {
				attempting[next] = false
				apply(arrival(next, rapid.SampledFrom([]string{"/calc/x", "/own/x"}).Draw(rt, "path")))
				next++
			},
			"close": func(*rapid.T) {
				id := pick(true)
				apply(RequestClosed{ID: id})
				delete(attempting, id)
			},
			"end": func(rt *rapid.T) {
				id := pick(false)
				attempting[id] = false
				apply(AttemptEnded{ID: id, Outcome: rapid.SampledFrom(outcomes).Draw(rt, "outcome"), Replayable: true})
			},
			"tick": func(rt *rapid.T) {
				now += clock.Time(rapid.Int64Range(1, 300).Draw(rt, "passes"))
				apply(Ticked{})
			},
			"learn": func(rt *rapid.T) {
				learnMembers(c, peer(rapid.SampledFrom([]identifier.Node{"a", "b"}).Draw(rt, "node"), "portal"))
			},
			"": func(rt *rapid.T) {
				inFlight, remote := 0, 0
				for id, is := range attempting {
					if is {
						inFlight++
						if c.calls[id].attemptNode != "" {
							remote++
						}
					}
				}
				assert.Equal(rt, c.router.InFlight(), inFlight)
				assert.Equal(rt, c.detector.Open(), remote)
			},
		})
	})
}
