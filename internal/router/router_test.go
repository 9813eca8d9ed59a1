package router

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const ice = identifier.Service("ice")

// oracle keeps the announced endpoints and counts calls, in plain maps.
type oracle struct {
	known map[identifier.Endpoint]Endpoint
	calls map[identifier.Endpoint]int
}

func (o oracle) available(e Endpoint, exclude []identifier.Endpoint) bool {
	return o.calls[e.ID] < e.ConnectionLimit && !slices.Contains(exclude, e.ID)
}

// checkPick checks a pick: a leaving, excluded or full endpoint is never picked; a suspect or stopping one only if
// there is no other.
func (o oracle) checkPick(t *rapid.T, picked Endpoint, ok bool, exclude []identifier.Endpoint) {
	healthy, suspect := 0, 0
	for _, e := range o.known {
		switch {
		case e.State == Leaving || !o.available(e, exclude):
		case e.State == Suspect || e.State == Stopping:
			suspect++
		default:
			healthy++
		}
	}
	assert.Equal(t, ok, healthy+suspect > 0)
	if !ok {
		return
	}
	assert.Equal(t, picked, o.known[picked.ID])
	assert.Assert(t, picked.State != Leaving && o.available(picked, exclude))
	assert.Assert(t, picked.State != Suspect && picked.State != Stopping || healthy == 0)
}

func TestRouterAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New(Options{Domain: "a", Rand: rand.New(rand.NewPCG(1, 2)), FailuresToEject: 2})
		o := oracle{known: map[identifier.Endpoint]Endpoint{}, calls: map[identifier.Endpoint]int{}}
		now := clock.Time(0)
		id := rapid.Custom(func(t *rapid.T) identifier.Endpoint {
			return identifier.Endpoint(fmt.Sprint("e", rapid.IntRange(0, 6).Draw(t, "id")))
		})
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				e := Endpoint{
					ID: id.Draw(t, "endpoint"), Service: ice, Slots: 4, ConnectionLimit: 3,
					Domain: rapid.SampledFrom([]identifier.FailureDomain{"a", "b"}).Draw(t, "domain"),
					State:  State(rapid.IntRange(0, 4).Draw(t, "state")),
				}
				r.Put(e, now)
				o.known[e.ID] = e
			},
			"remove": func(t *rapid.T) {
				e := id.Draw(t, "endpoint")
				r.Remove(e)
				delete(o.known, e)
				delete(o.calls, e)
			},
			"pick": func(t *rapid.T) {
				exclude := rapid.SliceOfN(id, 0, 3).Draw(t, "exclude")
				e, ok := r.Pick(ice, now, exclude)
				o.checkPick(t, e, ok, exclude)
				if ok {
					o.calls[e.ID]++
				}
			},
			"done": func(t *rapid.T) {
				e := id.Draw(t, "endpoint")
				if o.calls[e] == 0 {
					t.Skip("no call")
				}
				o.calls[e]--
				r.Done(e, Result{
					Outcome:  Outcome(rapid.IntRange(0, 3).Draw(t, "outcome")),
					Headroom: rapid.Uint8().Draw(t, "headroom"),
				}, now)
			},
			"wait": func(t *rapid.T) {
				now = now.Add(clock.Duration(rapid.IntRange(0, 3000).Draw(t, "time")))
			},
			"": func(t *rapid.T) {
				assert.Equal(t, r.Count(ice), len(o.known))
			},
		})
	})
}

func newRouter(near, far int) *Router {
	r := New(Options{Domain: "a", Rand: rand.New(rand.NewPCG(7, 7))})
	for i := range near + far {
		domain := identifier.FailureDomain("a")
		if i >= near {
			domain = "b"
		}
		r.Put(Endpoint{ID: identifier.Endpoint(fmt.Sprint(i)), Service: ice, Domain: domain, Slots: 100, State: Ready}, 0)
	}
	return r
}

// countCalls makes calls that each end at once with the given result, and counts them by endpoint.
func countCalls(r *Router, calls int, every clock.Duration, result func(Endpoint) Result) map[identifier.Endpoint]int {
	counts := map[identifier.Endpoint]int{}
	for i := range calls {
		now := clock.Time(i) * clock.Time(every)
		e, _ := r.Pick(ice, now, nil)
		counts[e.ID]++
		r.Done(e.ID, result(e), now)
	}
	return counts
}

// The local failure domain is preferred. But when its backend servers are full, calls that stay there wait or are
// refused although other domains have headroom: callers see refusals on a half-empty fleet.
func TestSpilloverByHeadroom(t *testing.T) {
	for name, c := range map[string]struct {
		near, far uint8
		least     int
		most      int
	}{
		"local has headroom": {near: 60, far: 255, least: 0, most: 0},
		"local is full":      {near: 0, far: 120, least: 900, most: 1000},
		"all are full":       {near: 0, far: 0, least: 0, most: 30},
		"remote is fullest":  {near: 5, far: 0, least: 0, most: 30},
	} {
		t.Run(name, func(t *testing.T) {
			counts := countCalls(newRouter(3, 3), 1000, 1, func(e Endpoint) Result {
				if e.Domain == "a" {
					return Result{Headroom: c.near}
				}
				return Result{Headroom: c.far}
			})
			far := counts["3"] + counts["4"] + counts["5"]
			assert.Assert(t, far >= c.least && far <= c.most, "%d of 1000 calls left the local failure domain", far)
		})
	}
}

// A backend server that fails at once looks idle and attracts calls that then fail. If the cause is shared, all servers
// fail, and ejecting one after the other would overload the last one. Callers see errors in the first case, and an
// outage of the service in the second.
func TestEjectionLeavesEnoughEndpoints(t *testing.T) {
	for name, c := range map[string]struct {
		failing map[identifier.Endpoint]bool
		most    int
	}{
		"one fails":         {failing: map[identifier.Endpoint]bool{"0": true}, most: 40},
		"all but two fail":  {failing: map[identifier.Endpoint]bool{"0": true, "1": true, "2": true, "3": true}, most: 10_000},
		"all of them fail":  {failing: map[identifier.Endpoint]bool{"0": true, "1": true, "2": true, "3": true, "4": true, "5": true}, most: 10_000},
		"none of them does": {most: 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRouter(6, 0)
			failed := 0
			countCalls(r, 10_000, 1, func(e Endpoint) Result {
				assert.Assert(t, len(r.services[ice].ejected.members) <= 2)
				if c.failing[e.ID] {
					failed++
					return Result{Outcome: Failed}
				}
				return Result{Headroom: 50}
			})
			assert.Assert(t, failed <= c.most, "%d calls failed", failed)
		})
	}
}

// A backend server that is readmitted after an ejection, or starts cold, is slow at first. With its full share of calls
// at once they would time out, and it would be ejected again: callers see errors in waves.
func TestColdEndpointWarmsUp(t *testing.T) {
	r := newRouter(4, 0)
	cold := Endpoint{ID: "cold", Service: ice, Domain: "a", Slots: 100, State: Cold}
	r.Put(cold, 0)
	held := map[identifier.Endpoint]int{}
	for range 200 {
		e, _ := r.Pick(ice, 0, nil)
		held[e.ID]++
	}
	assert.Assert(t, held["cold"] < 20, "%d of 200 calls are at the cold endpoint", held["cold"])
	for range 200 {
		e, _ := r.Pick(ice, 10_000, nil)
		held[e.ID]++
	}
	assert.Assert(t, held["cold"] > 50, "%d of 400 calls are at the endpoint that was cold", held["cold"])
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{5, 50, 500} {
		b.Run(fmt.Sprint("endpoints=", n), func(b *testing.B) {
			r := newRouter(n/2, n-n/2)
			exclude := []identifier.Endpoint{"1"}
			b.ReportAllocs()
			for i := range b.N {
				e, _ := r.Pick(ice, clock.Time(i), exclude)
				r.Done(e.ID, Result{Headroom: uint8(i)}, clock.Time(i))
			}
		})
	}
}

// An endpoint joins a lightly loaded service. If an endpoint without a measurement counted as half used, one that is
// measured and nearly idle would always be the better choice. The new endpoint would never get a call, and callers in
// its failure domain would wait in the queue of the old one as soon as load rises.
func TestJoiningEndpointGetsCalls(t *testing.T) {
	r := New(Options{Domain: "west", Rand: rand.New(rand.NewPCG(1, 2))})
	put := func(id identifier.Endpoint) {
		r.Put(Endpoint{ID: id, Node: identifier.Node(id), Service: "portal", Domain: "west", Slots: 100, State: Ready}, 0)
	}
	put("old")
	counts := map[identifier.Endpoint]int{}
	for now := clock.Time(0); now < 4000; now += 10 {
		if now == 2000 {
			put("new")
		}
		e, ok := r.Pick("portal", now, nil)
		assert.Assert(t, ok)
		r.Done(e.ID, Result{Outcome: Succeeded, Latency: 5, Headroom: 240}, now)
		counts[e.ID]++
	}
	assert.Assert(t, counts["new"] >= 60, "%v", counts)
}

// The only endpoint of a failure domain is slower than those elsewhere. If one call in ten or more would be late there
// although others have headroom, callers in this domain would wait for what others get in time. If nearly all calls are
// in time, or have time to spare, crossing domains gains nothing that is worth the traffic.
func TestCallsDueSoonLeaveSlowDomain(t *testing.T) {
	const runs = 400
	for name, c := range map[string]struct {
		within      clock.Duration
		slow        RunTimes
		nested      bool
		farHeadroom uint8
		least, most int
	}{
		"due soon":                        {within: 150, slow: RunTimes{Root: 100}, farHeadroom: 200, least: 390, most: 400},
		"mostly in time":                  {within: 150, slow: RunTimes{Root: 50}, farHeadroom: 200, least: 0, most: 0},
		"time to spare":                   {within: 1500, slow: RunTimes{Root: 100}, farHeadroom: 200, least: 0, most: 0},
		"no due time":                     {within: 0, slow: RunTimes{Root: 100}, farHeadroom: 200, least: 0, most: 0},
		"due soon, no headroom elsewhere": {within: 150, slow: RunTimes{Root: 100}, farHeadroom: 10, least: 0, most: 40},
		"only nested calls are slow":      {within: 150, slow: RunTimes{Root: 50, Nested: 170}, farHeadroom: 200, least: 0, most: 0},
		"a slow nested call":              {within: 150, slow: RunTimes{Root: 50, Nested: 170}, nested: true, farHeadroom: 200, least: 390, most: 400},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRouter(1, 2)
			r.SetRunTimes("0", c.slow)
			r.SetRunTimes("1", RunTimes{Root: 20, Nested: 20})
			r.SetRunTimes("2", RunTimes{Root: 20, Nested: 20})
			far := 0
			for i := range runs {
				now := clock.Time(i)
				e, ok := r.PickWithin(ice, now, nil, Need{Within: c.within, Nested: c.nested})
				assert.Assert(t, ok)
				headroom := uint8(200)
				if e.Domain == "b" {
					far++
					headroom = c.farHeadroom
				}
				r.Done(e.ID, Result{Headroom: headroom}, now)
			}
			assert.Assert(t, far >= c.least && far <= c.most, "%d of %d calls left the local failure domain", far, runs)
		})
	}
}

// Two endpoints are full, and one of them is slow: its queue is long while the other's is empty. Drawn with equal
// probability, the slow one gets half of the calls and refuses them after a wait; a request that needs several such
// calls fails after its work.
func TestFullEndpointsAreComparedByQueueWait(t *testing.T) {
	for name, c := range map[string]struct {
		near, far int
		slow      identifier.Endpoint
	}{
		"in one domain":       {near: 2, slow: "0"},
		"the local one slow":  {near: 1, far: 1, slow: "0"},
		"the remote one slow": {near: 1, far: 1, slow: "1"},
	} {
		t.Run(name, func(t *testing.T) {
			counts := countCalls(newRouter(c.near, c.far), 1000, 1, func(e Endpoint) Result {
				if e.ID == c.slow {
					return Result{Headroom: 0, Wait: 120}
				}
				return Result{Headroom: 0, Wait: 5}
			})
			assert.Assert(t, counts[c.slow] < 100, "%d of 1000 calls went to the slow one", counts[c.slow])
		})
	}
}

// One of two endpoints has become so slow that its runs outlast every caller's deadline, and the other is full and
// refuses calls. A call to the slow one is lost after its whole time; a refusal by the full one is known at once and
// can be retried.
func TestTooSlowEndpointGetsFewCalls(t *testing.T) {
	r := newRouter(1, 1)
	r.SetRunTimes("0", RunTimes{Root: 480})
	r.SetRunTimes("1", RunTimes{Root: 50})
	counts := map[identifier.Endpoint]int{}
	for i := range 1000 {
		now := clock.Time(i)
		e, ok := r.PickWithin(ice, now, nil, Need{Within: 300})
		assert.Assert(t, ok)
		counts[e.ID]++
		if e.ID == "0" {
			r.Done(e.ID, Result{Headroom: 0, Wait: 20}, now)
			continue
		}
		r.Done(e.ID, Result{Outcome: Refused, Headroom: 0, Wait: 110}, now)
	}
	assert.Assert(t, counts["0"] < 100, "%d of 1000 calls went to the slow one", counts["0"])
}

// Guards against a pick of an endpoint that was not given, takes no calls or belongs to another service, and against one
// with less headroom than the other.
func TestPickAmongGivenEndpoints(t *testing.T) {
	tests := map[string]struct {
		among []identifier.Endpoint
		want  identifier.Endpoint
	}{
		"none":                {nil, ""},
		"unknown":             {[]identifier.Endpoint{"x"}, ""},
		"one":                 {[]identifier.Endpoint{"b"}, "b"},
		"leaving":             {[]identifier.Endpoint{"leaving"}, ""},
		"leaving and another": {[]identifier.Endpoint{"leaving", "b"}, "b"},
		"suspect":             {[]identifier.Endpoint{"suspect"}, "suspect"},
		"suspect and another": {[]identifier.Endpoint{"suspect", "b"}, "b"},
		"of another service":  {[]identifier.Endpoint{"other"}, ""},
		"full and another":    {[]identifier.Endpoint{"busy", "b"}, "b"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := New(Options{Domain: "near", Rand: rand.New(rand.NewPCG(1, 2))})
			for _, id := range []identifier.Endpoint{"a", "b", "busy", "c"} {
				r.Put(Endpoint{ID: id, Service: ice, Domain: "near", Slots: 10, State: Ready}, 0)
			}
			r.Put(Endpoint{ID: "leaving", Service: ice, Domain: "near", Slots: 10, State: Leaving}, 0)
			r.Put(Endpoint{ID: "suspect", Service: ice, Domain: "near", Slots: 10, State: Suspect}, 0)
			r.Put(Endpoint{ID: "other", Service: "portal", Domain: "near", Slots: 10, State: Ready}, 0)
			r.Done("busy", Result{Outcome: Succeeded, Headroom: 0, Wait: 500}, 0)
			r.Done("b", Result{Outcome: Succeeded, Headroom: 90}, 0)
			for range 20 {
				e, ok := r.PickAmong(ice, 10, test.among, Need{})
				assert.Equal(t, ok, test.want != "")
				assert.Equal(t, e.ID, test.want)
				if ok {
					r.Done(e.ID, Result{Outcome: Cancelled}, 10)
				}
			}
		})
	}
}
