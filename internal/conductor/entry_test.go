package conductor

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

func readyConductor(t *testing.T, kind matcher.Kind, members ...exchanger.Member) *Conductor {
	t.Helper()
	c := newConductor("desk")
	configure(t, c, configuration(3, route("obs", "portal", kind)), 0)
	learnMembers(c, members...)
	return c
}

func TestRequestIsSent(t *testing.T) {
	c := readyConductor(t, matcher.Idempotent, peer("a", "portal"))
	s := onlyEffect[Send](t, c.Apply(arrival(1, "/obs/x"), 100))
	assert.Equal(t, s.Endpoint, identifier.Endpoint("i-a"))
	assert.Equal(t, s.Team, identifier.Team("parish"))
	assert.Equal(t, s.Deadline, clock.Time(5100))
	assert.Equal(t, s.Due, clock.Time(1300))
	assert.Assert(t, !s.Nested && !s.Local && !s.Retry)
	onlyEffect[Reply](t, c.Apply(AttemptEnded{ID: 1, Outcome: Answered, Status: 200}, 200))
	c.Apply(RequestClosed{ID: 1}, 200)
	assert.Assert(t, c.Idle())
}

func TestRefusedAtOnce(t *testing.T) {
	tests := map[string]struct {
		change func(*RequestArrived)
		status int
		reason Reason
	}{
		"no route":    {func(r *RequestArrived) { r.Path = "/x/" }, 404, NoRoute},
		"no key":      {func(r *RequestArrived) { r.Key = "" }, 401, UnknownKey},
		"unknown key": {func(r *RequestArrived) { r.Key = "x" }, 401, UnknownKey},
		"unknown key, not proved": {func(r *RequestArrived) {
			r.Key = "x"
			r.Boot = boot + 5000
		}, 503, StaleKeys},
		"known key, not proved": {func(r *RequestArrived) { r.Boot = boot + 5000 }, 503, StaleKeys},
		"no time left":          {func(r *RequestArrived) { r.Left = 5 }, 503, Deadline},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := readyConductor(t, matcher.Idempotent, peer("a", "portal"))
			r := arrival(1, "/obs/x")
			test.change(&r)
			e := onlyEffect[Refuse](t, c.Apply(r, 0))
			assert.Equal(t, e.Status, test.status)
			assert.Equal(t, e.Reason, test.reason)
			assert.Assert(t, c.Idle())
		})
	}
}

// The store has been unreachable for as long as a withdrawn key may be accepted. A node that continued to serve would
// accept a key that operators have withdrawn.
func TestKeysNeedARecentProof(t *testing.T) {
	c := readyConductor(t, matcher.Idempotent, peer("a", "portal"))
	at := func(b clock.Time) Effect {
		r := arrival(CallID(b), "/obs/x")
		r.Boot = b
		return c.Apply(r, 0)[0]
	}
	_, sent := at(boot + 5000 - clock.Time(clockMargin)).(Send)
	assert.Assert(t, sent)
	_, refused := at(boot + 5001 - clock.Time(clockMargin)).(Refuse)
	assert.Assert(t, refused)
	c.Apply(ConfigurationProved{Version: 3, AsOf: boot + 4000}, 0)
	_, sent = at(boot + 8000).(Send)
	assert.Assert(t, sent)
	// A proof of another version, or an older proof, proves nothing.
	c.Apply(ConfigurationProved{Version: 2, AsOf: boot + 9000}, 0)
	c.Apply(ConfigurationProved{Version: 3, AsOf: boot + 1000}, 0)
	_, refused = at(boot + 9000).(Refuse)
	assert.Assert(t, refused)
}

// An old record arrives after a newer one, in a late answer or from another node. Applying it would accept withdrawn
// keys and restore removed routes.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	c := readyConductor(t, matcher.Idempotent, peer("a", "portal"))
	configure(t, c, configuration(2, route("old", "portal", matcher.Idempotent)), 0)
	assert.Equal(t, c.Version(), identifier.Version(3))
	onlyEffect[Send](t, c.Apply(arrival(1, "/obs/x"), 0))
}

// A new version may have withdrawn a key, which is then refused at once. The other keys are accepted with the proof of
// the previous version for as long as that proof is valid: a later withdrawal is in neither version.
func TestNewVersionIsServedOnTheOldProof(t *testing.T) {
	c := readyConductor(t, matcher.Idempotent, peer("a", "portal"))
	next := configuration(4, route("obs", "portal", matcher.Idempotent))
	next.Teams[0].Keys = []string{"k", "added"}
	m, err := matcher.New(next)
	assert.NilError(t, err)
	c.Apply(ConfigurationRead{Matcher: m, At: boot + 1000}, 0)
	at := func(id CallID, key string, b clock.Time) Effect {
		r := arrival(id, "/obs/x")
		r.Boot, r.Key = b, key
		return c.Apply(r, 0)[0]
	}
	_, sent := at(1, "k", boot+1000).(Send)
	assert.Assert(t, sent)
	_, sent = at(2, "added", boot+1000).(Send)
	assert.Assert(t, sent)
	assert.Equal(t, at(3, "k", boot+5001-clock.Time(clockMargin)).(Refuse).Reason, StaleKeys)
	gone := configuration(5, route("obs", "portal", matcher.Idempotent))
	gone.Teams[0].Keys = []string{"added"}
	m, err = matcher.New(gone)
	assert.NilError(t, err)
	c.Apply(ConfigurationRead{Matcher: m, At: boot + 1100}, 0)
	assert.Equal(t, at(4, "k", boot+1100).(Refuse).Reason, UnknownKey)
}

func TestAttemptOutcomes(t *testing.T) {
	tests := map[string]struct {
		kind       matcher.Kind
		outcome    Outcome
		unplayable bool
		again      bool
		status     int
	}{
		"moved":                         {matcher.NonIdempotent, Moved, false, true, 0},
		"full":                          {matcher.NonIdempotent, Full, false, true, 0},
		"unreached":                     {matcher.NonIdempotent, Unreached, false, true, 0},
		"declined":                      {matcher.NonIdempotent, Declined, false, true, 0},
		"broken non-idempotent request": {matcher.NonIdempotent, Broken, false, false, 502},
		"broken idempotent request":     {matcher.Idempotent, Broken, false, true, 0},
		"broken upload":                 {matcher.Upload, Broken, false, false, 502},
		"late non-idempotent request":   {matcher.NonIdempotent, Late, false, false, 504},
		"late idempotent request":       {matcher.Idempotent, Late, false, false, 504},
		"moved, body not replayable":    {matcher.NonIdempotent, Moved, true, false, 503},
		"broken idempotent request, body not replayable": {matcher.Idempotent, Broken, true, false, 502},
		"declined upload, body not replayable":           {matcher.Upload, Declined, true, false, 503},
		"full upload, body not replayable":               {matcher.Upload, Full, true, false, 503},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := readyConductor(t, test.kind, peer("a", "portal"), peer("b", "portal"))
			first := onlyEffect[Send](t, c.Apply(arrival(1, "/obs/x"), 0))
			effects := c.Apply(AttemptEnded{ID: 1, Outcome: test.outcome, Replayable: !test.unplayable}, 10)
			if !test.again {
				assert.Equal(t, onlyEffect[Refuse](t, effects).Status, test.status)
				return
			}
			second := onlyEffect[Send](t, effects)
			assert.Assert(t, second.Endpoint != first.Endpoint)
		})
	}
}

// A request may have run at the first endpoint; whatever happens later, the caller must not be told that it has not.
func TestPossibleRunIsRemembered(t *testing.T) {
	c := readyConductor(t, matcher.Idempotent, peer("a", "portal"), peer("b", "portal"))
	onlyEffect[Send](t, c.Apply(arrival(1, "/obs/x"), 0))
	onlyEffect[Send](t, c.Apply(AttemptEnded{ID: 1, Outcome: Broken, Replayable: true}, 10))
	e := onlyEffect[Refuse](t, c.Apply(AttemptEnded{ID: 1, Outcome: Full, Replayable: true}, 20))
	assert.Equal(t, e.Status, 502)
}

// All endpoints of a service decline requests. Each retry adds load to endpoints that are already overloaded, so a
// node's retries must stay a small part of its requests.
func TestRetriesAreBounded(t *testing.T) {
	c := readyConductor(t, matcher.Idempotent, peer("a", "portal"), peer("b", "portal"), peer("d", "portal"))
	retries := 0
	for id := CallID(1); id <= 1000; id++ {
		effects := c.Apply(arrival(id, "/obs/x"), clock.Time(id))
		for len(effects) == 1 {
			s, ok := effects[0].(Send)
			if !ok {
				break
			}
			if s.Retry {
				retries++
			}
			effects = c.Apply(AttemptEnded{ID: id, Outcome: Declined, Replayable: true}, clock.Time(id))
		}
	}
	assert.Assert(t, retries > 0 && retries <= 30, "%d retries of 1000 requests, expected 1 to 30", retries)
}

// The parts of a split get requests by their weights, regardless of their capacity: operators evaluate new versions
// with it.
func TestSplitKeepsItsWeights(t *testing.T) {
	r := route("obs", "portal", matcher.Idempotent)
	r.Parts = []matcher.Part{{Service: "portal", Weight: 90}, {Service: "clock", Weight: 10}}
	c := newConductor("desk")
	configure(t, c, configuration(3, r), 0)
	learnMembers(c, peer("a", "portal"), peer("b", "clock"))
	counts := map[identifier.Service]int{}
	for id := CallID(1); id <= 1000; id++ {
		counts[onlyEffect[Send](t, c.Apply(arrival(id, "/obs/x"), 0)).Service]++
		c.Apply(AttemptEnded{ID: id, Outcome: Full}, 0)
	}
	assert.DeepEqual(t, counts, map[identifier.Service]int{"portal": 900, "clock": 100})
}

// The service at the end of the chain is overloaded. Root requests that lead to it are refused before any work, the
// less important ones first; uploads to another service and the nested calls of admitted requests are not refused.
func TestRootRequestsAreShedForOverloadedDependency(t *testing.T) {
	browse, order, other := route("obs", "portal", matcher.Idempotent), route("ord", "desk", matcher.NonIdempotent), route("up", "desk2", matcher.Upload)
	browse.Rank, order.Rank, other.Rank = 2, 0, 2
	inner := route("in", "clock", matcher.Idempotent)
	inner.Public = true
	config := configuration(3, browse, order, other, inner)
	config.Services = append(config.Services, matcher.Service{Name: "desk2"})
	c := newConductor("x")
	configure(t, c, config, 0)
	report := func(m exchanger.Member, excess float64, calls map[identifier.Route]map[identifier.Route]float64) exchanger.Report {
		return exchanger.Report{Member: m, Number: 1, Excess: excess, Load: 100, Calls: calls}
	}
	c.Apply(ReportsReceived{Reports: []exchanger.Report{
		report(peer("a", "portal"), 0, map[identifier.Route]map[identifier.Route]float64{"obs": {"in": 4}}),
		report(peer("b", "desk"), 0, map[identifier.Route]map[identifier.Route]float64{"ord": {"in": 4}}),
		report(peer("d", "desk2"), 0, nil),
		report(peer("e", "clock"), 0.25, map[identifier.Route]map[identifier.Route]float64{"in": {}}),
	}}, 0)
	refused := map[string]int{}
	id := CallID(0)
	for now := clock.Time(0); now < 2000; now++ {
		for _, path := range []string{"/obs/x", "/ord/x", "/up/x", "/in/x"} {
			id++
			r := arrival(id, path)
			if path == "/in/x" {
				r.Key = ""
			}
			for _, e := range c.Apply(r, now) {
				if f, ok := e.(Refuse); ok && f.Reason == Pressure {
					refused[path]++
					assert.Assert(t, f.RetryAfter > 0)
				}
			}
			c.Apply(RequestClosed{ID: id}, now)
		}
	}
	assert.Assert(t, refused["/obs/x"] > 850 && refused["/obs/x"] < 1100, "%v", refused)
	assert.Equal(t, refused["/ord/x"], 0)
	assert.Equal(t, refused["/up/x"], 0)
	assert.Equal(t, refused["/in/x"], 0)
}

// This node's bucket for a team is empty by chance although the team keeps its rate. The node beside the endpoint has a
// spare token for it; the team is refused as over its rate only if that node has none either.
func TestTokenIsTakenAtEndpointNode(t *testing.T) {
	config := configuration(3, route("obs", "portal", matcher.Idempotent))
	config.Teams[0].Rate, config.Teams[0].Burst = 10, 10
	entry := newConductor("desk")
	configure(t, entry, config, 0)
	learnMembers(entry, peer("a", "portal"), peer("b", "portal"))
	onlyEffect[Send](t, entry.Apply(arrival(1, "/obs/x"), 0))
	asked := onlyEffect[Send](t, entry.Apply(arrival(2, "/obs/x"), 0))
	assert.Assert(t, asked.RateUnchecked)

	beside := newConductor("portal")
	configure(t, beside, config, 0)
	announceEndpoint(beside, 5, 1, false, 0)
	d := deliveryTo(1)
	d.RateUnchecked = "parish"
	onlyEffect[Run](t, beside.Apply(d, 0))
	d.ID = 2
	assert.Equal(t, onlyEffect[TurnAway](t, beside.Apply(d, 0)).Outcome, Over)

	again := onlyEffect[Send](t, entry.Apply(AttemptEnded{ID: 2, Outcome: Over, Replayable: true}, 0))
	assert.Assert(t, again.RateUnchecked && again.Endpoint != asked.Endpoint)
	refused := entry.Apply(AttemptEnded{ID: 2, Outcome: Over, Replayable: true}, 0)
	assert.Equal(t, onlyEffect[Refuse](t, refused).Status, 429)
}

// A request admitted with another node's token is turned away there after all. The token must be returned, or a busy
// endpoint would reduce the teams' rates.
func TestTokenIsReturnedOnCancellation(t *testing.T) {
	config := configuration(3, route("obs", "portal", matcher.Idempotent))
	config.Teams[0].Rate, config.Teams[0].Burst = 10, 10
	c := newConductor("portal")
	configure(t, c, config, 0)
	announceEndpoint(c, 2, 1, false, 0)
	onlyEffect[Run](t, c.Apply(deliveryTo(1), 0))
	for id := CallID(2); id < 5; id++ {
		d := deliveryTo(id)
		d.RateUnchecked = "parish"
		onlyEffect[Hold](t, c.Apply(d, 0))
		c.Apply(DeliveryCancelled{ID: id}, 0)
	}
}

// Some VMs were removed for good, and all nodes have been restarted since. The store still has the records of the
// removed nodes, but no reports arrive from them. If they were tried first for half of the requests, each attempt would
// cost a quarter of a second, and in a chain of nested calls the caller's whole time.
func TestNodesWithoutReportsAreLastChoice(t *testing.T) {
	c := readyConductor(t, matcher.Idempotent, peer("alive", "portal"), peer("dead", "portal"), peer("gone", "portal"))
	for now := clock.Time(0); now < 4000; now += 100 {
		report := exchanger.Report{Member: peer("alive", "portal"), Number: int64(now)}
		c.Apply(ReportsReceived{Reports: []exchanger.Report{report}}, now)
		c.Apply(Ticked{}, now)
	}
	for id := CallID(1); id <= 50; id++ {
		s := onlyEffect[Send](t, c.Apply(arrival(id, "/obs/x"), 4000))
		assert.Equal(t, s.Node, identifier.Node("alive"))
		c.Apply(AttemptEnded{ID: id, Outcome: Answered, Status: 200, Headroom: 10}, 4000)
		c.Apply(RequestClosed{ID: id}, 4000)
	}
}

// A request that found only dead nodes has not been counted as an arrival anywhere; one that a full node turned away
// has.
func TestArrivalsAreCountedOnce(t *testing.T) {
	tests := map[string]struct {
		outcome Outcome
		again   bool
	}{
		"unreached": {Unreached, false},
		"moved":     {Moved, false},
		"over":      {Over, false},
		"full":      {Full, true},
		"declined":  {Declined, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := readyConductor(t, matcher.Idempotent, peer("a", "portal"), peer("b", "portal"))
			assert.Assert(t, !onlyEffect[Send](t, c.Apply(arrival(1, "/obs/x"), 0)).ArrivalCounted)
			next := onlyEffect[Send](t, c.Apply(AttemptEnded{ID: 1, Outcome: test.outcome, Replayable: true}, 10))
			assert.Equal(t, next.ArrivalCounted, test.again)
		})
	}
}

// Guards against refusals by an older configuration: a newer one that has the route or the key may have been accepted so long ago
// that callers may rely on it.
func TestRefusalsRestOnAProofThatIsYoungEnough(t *testing.T) {
	const within = 2000 * clock.Millisecond
	tests := map[string]struct {
		path, key string
		age       clock.Duration
		status    int
		reason    Reason
	}{
		"no route, young proof":    {"/new/x", "k", within - clockMargin, 404, NoRoute},
		"no route, old proof":      {"/new/x", "k", within - clockMargin + 1, 503, StaleConfiguration},
		"unknown key, young proof": {"/obs/x", "z", within - clockMargin, 401, UnknownKey},
		"unknown key, old proof":   {"/obs/x", "z", within - clockMargin + 1, 503, StaleConfiguration},
		"no key, young proof":      {"/obs/x", "", 0, 401, UnknownKey},
		"no key, old proof":        {"/obs/x", "", within, 503, StaleConfiguration},
		"no proof for long":        {"/obs/x", "z", 10 * within, 503, StaleKeys},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := readyConductor(t, matcher.Idempotent, peer("a", "portal"))
			r := arrival(1, test.path)
			r.Key, r.Boot = test.key, boot.Add(test.age)
			refused := onlyEffect[Refuse](t, c.Apply(r, 0))
			assert.Equal(t, refused.Status, test.status)
			assert.Equal(t, refused.Reason, test.reason)
			assert.Equal(t, refused.RetryAfter > 0, test.status == 503)
			assert.Equal(t, refused.Basis.ProofAge, test.age)
		})
	}
}
