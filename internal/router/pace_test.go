package router

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/gauger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// pickSequence returns a checksum of the picks in a random history of calls, outcomes and changes of endpoints.
func pickSequence(seed uint64) uint64 {
	random := rand.New(rand.NewPCG(seed, 7))
	r := New(Options{Domain: "a", Rand: rand.New(rand.NewPCG(seed, 8))})
	domains := []identifier.FailureDomain{"a", "b", "c"}
	put := func(i int, state State, now clock.Time) {
		r.Put(Endpoint{
			ID: identifier.Endpoint(fmt.Sprint(i)), Service: ice, Domain: domains[i%3], Slots: 8, ConnectionLimit: 20, State: state,
		}, now)
	}
	for i := range 20 {
		put(i, Ready, 0)
	}
	sum := fnv.New64a()
	var open []identifier.Endpoint
	for step := range 20_000 {
		now := clock.Time(step * 3)
		switch n := random.IntN(100); {
		case n < 48:
			need := Need{Within: clock.Duration(random.IntN(3) * 150), Nested: random.IntN(2) == 0}
			if random.IntN(10) == 0 {
				need.Domains = domains[1:2]
			}
			choice, ok := r.PickWithin(ice, now, open[max(0, len(open)-2):], need)
			if ok {
				open = append(open, choice.ID)
			}
			_, _ = fmt.Fprint(sum, choice.ID, choice.Crossing, ok)
		case n < 96 && len(open) > 0:
			at := random.IntN(len(open))
			id := open[at]
			open[at] = open[len(open)-1]
			open = open[:len(open)-1]
			r.Done(id, Result{
				Outcome: []Outcome{Succeeded, Succeeded, Succeeded, Succeeded, Refused, Failed, Cancelled}[random.IntN(7)],
				Latency: clock.Duration(20 + random.IntN(200)), Headroom: uint8(random.IntN(256)), Wait: clock.Duration(random.IntN(90)),
			}, now)
		case n < 98:
			r.SetRunTimes(identifier.Endpoint(fmt.Sprint(random.IntN(20))), RunTimes{
				Root: clock.Duration(random.IntN(150)), Nested: clock.Duration(random.IntN(150)),
			})
		default:
			put(random.IntN(20), []State{Ready, Ready, Ready, Suspect, Stopping, Cold}[random.IntN(6)], now)
		}
	}
	return sum.Sum64()
}

// Endpoints of services that tell no pace must be picked as by the release before: the checksums were computed with it.
func TestPicksWithoutPaceAreUnchanged(t *testing.T) {
	for seed, want := range []uint64{0xdedcf0c8713a848e, 0xbd1d1d8430d12e69, 0xfa793db38877ad8f} {
		assert.Equal(t, pickSequence(uint64(seed)), want, "seed %d", seed)
	}
}

func seededRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 2)) }

// Each term of the expected completion time decides between two endpoints that are equal otherwise.
func TestBetterByCompletion(t *testing.T) {
	usual := Result{Headroom: 128, Latency: 100, Pace: 100}
	for name, c := range map[string]struct {
		worse, better       Result
		worseRun, betterRun clock.Duration
		age                 clock.Duration
		least, most         int
	}{
		"a slow pace":                   {worse: Result{Headroom: 128, Latency: 100, Pace: 250}, better: usual, worseRun: 100, betterRun: 100},
		"a slow pace of a fast VM":      {worse: usual, better: Result{Headroom: 128, Latency: 100, Pace: 250}, worseRun: 100, betterRun: 30},
		"a longer run":                  {worse: usual, better: usual, worseRun: 130, betterRun: 100},
		"a queue":                       {worse: Result{Headroom: 0, Wait: 200, Pace: 100}, better: Result{Headroom: 0, Pace: 100}, worseRun: 80, betterRun: 100},
		"a slow pace of 900 ms ago":     {worse: Result{Headroom: 128, Latency: 100, Pace: 250}, better: usual, worseRun: 100, betterRun: 100, age: 900},
		"a slow pace of a second ago":   {worse: Result{Headroom: 128, Latency: 100, Pace: 250}, better: usual, worseRun: 100, betterRun: 100, age: 1000, least: 1, most: 199},
		"no run time is an average one": {worse: Result{Headroom: 128, Latency: 100, Pace: 250}, better: usual, betterRun: 100},
	} {
		t.Run(name, func(t *testing.T) {
			worse := 0
			for seed := range uint64(200) {
				r := New(Options{Domain: "a", Rand: seededRand(seed)})
				for id, run := range map[identifier.Endpoint]clock.Duration{"worse": c.worseRun, "better": c.betterRun} {
					r.Put(Endpoint{ID: id, Service: ice, Domain: "a", Slots: 100, State: Ready}, 0)
					r.SetRunTimes(id, RunTimes{Root: run})
				}
				r.Done("worse", c.worse, 0)
				r.Done("better", c.better, 0)
				if choice, _ := r.PickWithin(ice, clock.Time(c.age), nil, Need{Within: 1500}); choice.ID == "worse" {
					worse++
				}
			}
			assert.Assert(t, worse >= c.least && worse <= c.most, "the worse one was picked %d times of 200", worse)
		})
	}
}

// A slow endpoint beside a fast one with time to spare gets what the fast one can't take at once, not nothing.
func TestSlowEndpointGetsRemainder(t *testing.T) {
	r := New(Options{Domain: "a", Rand: seededRand(1)})
	slow := 0
	for _, id := range []identifier.Endpoint{"slow", "fast"} {
		r.Put(Endpoint{ID: id, Service: ice, Domain: "a", Slots: 10, State: Ready}, 0)
		r.SetRunTimes(id, RunTimes{Root: 100})
	}
	r.Done("slow", Result{Headroom: 255, Latency: 250, Pace: 250}, 0)
	r.Done("fast", Result{Headroom: 255, Latency: 100, Pace: 100}, 0)
	for range 20 {
		if choice, _ := r.PickWithin(ice, 10, nil, Need{Within: 1500}); choice.ID == "slow" {
			slow++
		}
	}
	assert.Assert(t, slow >= 4 && slow <= 10, "%d of 20", slow)
}

// A pace is a hint for a while: a service whose endpoints stop to tell it is placed as before after paceMemory, and the
// count of slow endpoints follows the age.
func TestPaceIsForgotten(t *testing.T) {
	r := newRouter(3, 0)
	r.SetPace("0", 250, 100)
	r.SetPace("1", 250, 100)
	r.SetPace("none", 250, 100)
	assert.Equal(t, r.SlowEndpoints("0", 100), 1)
	assert.Equal(t, r.SlowEndpoints("0", 1100), 0)
	s := r.services[ice]
	assert.Assert(t, s.comparesCompletion(100) && s.comparesCompletion(100+clock.Time(paceMemory)))
	assert.Assert(t, !s.comparesCompletion(101+clock.Time(paceMemory)))
	r.Remove("1")
	r.Put(Endpoint{ID: "1", Service: ice, Domain: "a", Slots: 10, State: Ready}, 200)
	assert.Equal(t, r.members["1"].pace, gauger.Tracker{})
}

func BenchmarkPickByCompletion(b *testing.B) {
	for _, n := range []int{30, 300, 1000} {
		for name, c := range map[string]struct {
			within   clock.Duration
			headroom uint8
		}{"two draws": {5000, 200}, "all draws": {10, 200}, "all full": {10, 0}} {
			b.Run(fmt.Sprint("endpoints=", n, "/", name), func(b *testing.B) {
				r := newRouter(n/2, n-n/2)
				for id := range r.members {
					r.SetRunTimes(id, RunTimes{Root: 100})
					r.SetPace(id, 180, 0)
				}
				b.ReportAllocs()
				for i := range b.N {
					now := clock.Time(i / 1000)
					e, _ := r.PickWithin(ice, now, nil, Need{Within: c.within})
					r.Done(e.ID, Result{Headroom: c.headroom, Latency: 100, Pace: 180}, now)
				}
			})
		}
	}
}

// Guards against an endpoint that counts as one that runs at once, because its node was restarted and has not reported run
// times yet: it got 132 of 200 picks.
func TestEndpointWithoutRunTimesCountsAsAverage(t *testing.T) {
	r := New(Options{Domain: "a", Rand: seededRand(1)})
	picks := map[identifier.Endpoint]int{}
	for _, id := range []identifier.Endpoint{"restarted", "2", "3", "4"} {
		r.Put(Endpoint{ID: id, Service: ice, Domain: "a", Slots: 10, State: Ready}, 0)
		r.SetPace(id, 100, 0)
		if id != "restarted" {
			r.SetRunTimes(id, RunTimes{Root: 100})
		}
	}
	for range 200 {
		choice, ok := r.PickWithin(ice, 10, nil, Need{Within: 1500})
		assert.Assert(t, ok)
		picks[choice.ID]++
	}
	assert.Assert(t, picks["restarted"] <= 60, "%v", picks)
}
