package soaker

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/platform/standin"
)

// operatedRecord is a record without breaches. Version 1 sends /shift0/ to desk and has the keys probing and old; version 2,
// acknowledged at 20 s, sends it to clock, adds /shift1/ with a timeout of 400 ms, and has no key old. The split is 30 to 70.
func operatedRecord() *Record {
	r := recordWithoutBreaches()
	r.AddKey(probingKey, probingTeam, 0, 0)
	r.AddKey("old", probingTeam, 0, 0)
	route := func(i int, service string) standin.Route {
		return standin.Route{Name: "r", Host: host, Prefix: shiftPrefix(i), Service: service, TimeoutMs: 400}
	}
	split := standin.Route{Host: host, Prefix: splitPrefix, Split: map[string]int{"desk": 30, "clock": 70}, TimeoutMs: 800}
	first, second0 := route(0, "desk"), route(0, "clock")
	base := map[string]standin.Route{"//": {Prefix: "//"}}
	add := func(number int64, at float64, keys map[string]bool, routes ...standin.Route) {
		v := version{number: number, sent: second(at), acked: second(at), keys: keys, routes: map[string]standin.Route{}}
		for prefix, route := range base {
			v.routes[prefix] = route
		}
		for _, route := range append(routes, split) {
			v.routes[route.Prefix] = route
		}
		r.addVersion(v)
	}
	add(1, 0, map[string]bool{"k": true, probingKey: true, "old": true}, first)
	add(2, 20, map[string]bool{"k": true, probingKey: true}, second0, route(1, "desk"))
	// The other requests of the record have no route of their own.
	for id, s := range r.sent {
		s.Key = ""
		r.sent[id] = s
	}
	for i := range r.runs {
		r.runs[i].Team = ""
	}
	return r
}

func addProbe(r *Record, id, path, key string, at float64, service string, status int) {
	s := Sent{
		ID: id, Node: "node-1", Path: path, Key: key, Team: probingTeam, Idempotent: true, At: second(at), Answered: second(at + 0.05),
		Answer: standin.Answer{Status: status, Correct: true, RetryAfter: "1"},
	}
	r.AddRequest(s)
	if service != "" {
		r.AddRun(standin.Run{Request: id, Instance: "i-" + service, Service: service, Team: probingTeam, At: second(at + 0.02)})
	}
}

// Guards against checks of configurations that can't fail, or that report what is allowed.
func TestConfigurationChecks(t *testing.T) {
	tests := map[string]struct {
		inject func(r *Record)
		want   string
	}{
		"no fault":                {func(*Record) {}, ""},
		"run by the old service":  {func(r *Record) { addProbe(r, "x", "/shift0/x", probingKey, 22.1, "desk", 200) }, "olderConfiguration"},
		"run by it soon after":    {func(r *Record) { addProbe(r, "x", "/shift0/x", probingKey, 21.9, "desk", 200) }, ""},
		"run on a dropped route":  {func(r *Record) { addProbe(r, "x", "/shift3/x", probingKey, 22.1, "desk", 200) }, "olderConfiguration"},
		"run with a dropped key":  {func(r *Record) { addProbe(r, "x", "/shift0/x", "old", 22.1, "clock", 200) }, "olderConfiguration"},
		"added route refused":     {func(r *Record) { addProbe(r, "x", "/shift1/x", probingKey, 22.1, "", 404) }, "olderConfiguration"},
		"added route, soon after": {func(r *Record) { addProbe(r, "x", "/shift1/x", probingKey, 21.9, "", 404) }, ""},
		"key refused":             {func(r *Record) { addProbe(r, "x", "/shift0/x", probingKey, 22.1, "", 401) }, "olderConfiguration"},
		"refused by a node that was killed shortly before": {func(r *Record) {
			r.AddNodeStart("node-1", second(20))
			addProbe(r, "x", "/shift1/x", probingKey, 22.1, "", 404)
		}, ""},
		"refused soon after an outage of the store": {func(r *Record) {
			r.disruptions[storeName] = []span{{from: second(18), to: second(19.5)}}
			addProbe(r, "x", "/shift1/x", probingKey, 22.1, "", 404)
		}, ""},
		"refused long after an outage of the store": {func(r *Record) {
			r.disruptions[storeName] = []span{{from: second(18), to: second(19)}}
			addProbe(r, "x", "/shift1/x", probingKey, 22.1, "", 404)
		}, "olderConfiguration"},
		"refused within the stretch": {func(r *Record) {
			r.storeInstabilities = []time.Time{second(20)}
			addProbe(r, "x", "/shift1/x", probingKey, 26.9, "", 404)
		}, ""},
		"refused beyond the stretch": {func(r *Record) {
			r.storeInstabilities = []time.Time{second(20)}
			addProbe(r, "x", "/shift1/x", probingKey, 27.1, "", 404)
		}, "olderConfiguration"},
		"back to an older version": {func(r *Record) {
			addProbe(r, "x", "/shift1/x", probingKey, 20.1, "desk", 200)
			addProbe(r, "y", "/shift1/x", probingKey, 20.5, "", 404)
		}, "configurationRegressed"},
		"back to one within the slack": {func(r *Record) {
			addProbe(r, "x", "/shift1/x", probingKey, 20.1, "desk", 200)
			addProbe(r, "y", "/shift1/x", probingKey, 20.3, "", 404)
		}, ""},
		"back to one in another process": {func(r *Record) {
			addProbe(r, "x", "/shift1/x", probingKey, 20.1, "desk", 200)
			r.AddNodeStart("node-1", second(20.4))
			addProbe(r, "y", "/shift1/x", probingKey, 20.5, "", 404)
		}, ""},
		"added routes not served": {func(r *Record) {
			for i := range 20 {
				addProbe(r, fmt.Sprint("x", i), "/shift1/x", probingKey, 25, "", 503)
			}
			s := Sent{ID: "first", Node: "node-1", Key: steadyKey, At: second(25), Answered: second(25)}
			s.Answer = standin.Answer{Status: 200, Correct: true}
			r.AddRequest(s)
		}, "addedRouteNotServed"},
		"share off its weight": {func(r *Record) {
			for i := range 200 {
				service := "desk"
				if i%2 == 0 {
					service = "clock"
				}
				addProbe(r, fmt.Sprint("x", i), "/split/x", probingKey, 25, service, 200)
			}
			for i := range 30 {
				addProbe(r, fmt.Sprint("y", i), "/split/x", probingKey, 25, "desk", 200)
			}
		}, "splitOff"},
		"share near its weight": {func(r *Record) {
			for i := range 200 {
				service := "clock"
				if i%10 < 4 {
					service = "desk"
				}
				addProbe(r, fmt.Sprint("x", i), "/split/x", probingKey, 25, service, 200)
			}
		}, ""},
		"answered late":        {func(r *Record) { addLongProbes(r, 8, 3, 0.95) }, "pastTimeout"},
		"answered in time":     {func(r *Record) { addLongProbes(r, 8, 8, 0.85) }, ""},
		"a few answered late":  {func(r *Record) { addLongProbes(r, 8, 2, 0.95) }, ""},
		"too few to be judged": {func(r *Record) { addLongProbes(r, 7, 7, 0.95) }, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := operatedRecord()
			test.inject(r)
			got := ""
			// The requests without keys are not judged by notRecovered.
			for _, b := range r.Judge(terms) {
				if b.Check != "notRecovered" {
					got = b.Check
				}
			}
			assert.Equal(t, got, test.want, "%v", r.Judge(terms))
			assert.Assert(t, got == "" || slices.Contains(CheckNames(), got))
		})
	}
}

// addLongProbes adds requests that last longer than their timeout of 400 ms, some of them for the given time.
func addLongProbes(r *Record, all, late int, lasting float64) {
	for i := range all {
		s := Sent{
			ID: fmt.Sprint("long", i), Node: "node-1", Path: "/shift0/slow", Key: probingKey, Team: probingTeam,
			At: second(30), Answered: second(30.5), Answer: standin.Answer{Status: 504},
		}
		if i < late {
			s.Answered = second(30 + lasting)
		}
		r.AddRequest(s)
	}
}

// Guards against a check of requests that end endpoints which can't fail.
func TestEndsCheck(t *testing.T) {
	tests := map[string]struct {
		offers []float64
		ends   []float64
		want   int
	}{
		"three ends":                  {offers: []float64{1, 2, 3}, ends: []float64{1.01, 2.01, 3.01}},
		"an offer after three ends":   {offers: []float64{1, 2, 3, 4}, ends: []float64{1.01, 2.01, 3.01}, want: 1},
		"offers after two ends":       {offers: []float64{1, 2, 3, 4, 5}, ends: []float64{1.01, 2.01}},
		"ends of two requests apart":  {offers: []float64{1, 2, 3, 4}, ends: nil},
		"four ends, the last offered": {offers: []float64{1, 2, 3, 4}, ends: []float64{1.01, 2.01, 3.01, 4.01}, want: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := NewRecord()
			for i, at := range test.offers {
				// Half of the tries are nested calls, which have no key.
				id := fmt.Sprint("try-", i)
				r.AddRequest(Sent{ID: id, Path: []string{"/look/fatal/7", "/inner/fatal/7"}[i%2], At: second(at)})
				r.AddArrival(standin.Arrival{Request: id, Instance: fmt.Sprint("i-", i), At: second(at)})
			}
			for i, at := range test.ends {
				r.AddEnd(fmt.Sprint("try-", i), second(at))
			}
			assert.Equal(t, len(r.offeredAfterEnds(terms)), test.want)
		})
	}
}

// Guards against a check of needless quarantines which can't fail.
func TestHealthyQuarantineCheck(t *testing.T) {
	r := NewRecord()
	refused := standin.Answer{Status: 503, Reason: quarantinedReason}
	r.AddRequest(Sent{ID: "fatal", Path: "/look/fatal/7", Answer: refused})
	assert.Equal(t, len(r.healthyQuarantined(terms)), 0)
	r.AddRequest(Sent{ID: "healthy", Path: "/look/x", Answer: refused})
	assert.Equal(t, len(r.healthyQuarantined(terms)), 1)
}
