package conductor

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/gauger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
	"github.com/jackdawtide/jackdawtide/internal/registrar"
)

// pacedRuns runs calls at the local endpoint one after the other and returns the reported run time.
func pacedRuns(c *Conductor, took clock.Duration, outcome Outcome, paces ...gauger.Pace) clock.Duration {
	now := clock.Time(1000)
	for i, pace := range paces {
		id := CallID(i + 1)
		c.Apply(DeliveryArrived{ID: id, Endpoint: "i-self", Deadline: now + 5000, QueueTimeout: 100, Due: now + 5000}, now)
		now = now.Add(took)
		c.Apply(DeliveryEnded{ID: id, Outcome: outcome, Pace: pace}, now)
	}
	return c.Report(now).RootTime
}

// Other nodes multiply the reported run time by the pace. Measured while the VM is slow and not converted, it would count
// twice, and the endpoint would stay avoided after it has recovered.
func TestReportedRunTimeIsThatOfUsualPace(t *testing.T) {
	for name, c := range map[string]struct {
		outcome Outcome
		paces   []gauger.Pace
		want    clock.Duration
	}{
		"no pace":                      {paces: []gauger.Pace{0, 0}, want: 300},
		"usual":                        {paces: []gauger.Pace{100, 100}, want: 300},
		"slow":                         {paces: []gauger.Pace{250, 250}, want: 120},
		"fast":                         {paces: []gauger.Pace{60}, want: 500},
		"absurdly slow":                {paces: []gauger.Pace{999_999}, want: 30},
		"abandoned, without an answer": {outcome: Late, paces: []gauger.Pace{250}, want: 120},
	} {
		t.Run(name, func(t *testing.T) {
			k := newConductor("portal")
			announceEndpoint(k, 10, 1, false, 0)
			assert.Equal(t, pacedRuns(k, 300, c.outcome, c.paces...), c.want)
		})
	}
}

// A restarted endpoint runs in another process, maybe on another VM: what the one before told must not be passed on.
func TestOwnPaceIsForgotten(t *testing.T) {
	c := newConductor("portal")
	announceEndpoint(c, 10, 1, false, 0)
	c.Apply(EndpointChecked{Endpoint: "i-self", Known: true, Pace: 180}, 1000)
	assert.Equal(t, c.RecentPace(1050), gauger.Pace(180))
	assert.Equal(t, c.RecentPace(1051), gauger.Pace(0))
	assert.Equal(t, c.Dump(1400).PaceAge, clock.Duration(400))
	c.Apply(EndpointChecked{Endpoint: "i-other", Known: true, Pace: 300}, 1000)
	assert.Equal(t, c.Dump(1400).Pace, gauger.Pace(180))
	c.Apply(EndpointRemoved{Endpoint: "i-self"}, 2000)
	c.Apply(EndpointAnnounced{Announcement: registrar.Announcement{
		Endpoint: "i-self", Service: "portal", Address: "10.0.0.1:80", Slots: 10, Started: 2, Sequence: 1,
	}}, 2100)
	assert.Equal(t, c.Dump(2100).Pace, gauger.Pace(0))
	assert.Equal(t, c.Dump(2100).PaceAge, clock.Duration(0))
}

// A pace that arrives with another node's answer and does not reach the router would leave calls at the slow endpoint.
func TestCallsAvoidSlowEndpoint(t *testing.T) {
	c := newConductor("desk")
	r := route("obs", "portal", matcher.Idempotent)
	r.Public = true
	configure(t, c, configuration(1, r), 0)
	learnMembers(c, peer("a", "portal"), peer("b", "portal"))
	counts := map[identifier.Endpoint]int{}
	for i := range 200 {
		now := clock.Time(1000 + 10*i)
		id := CallID(i + 1)
		sent := onlyEffect[Send](t, c.Apply(arrival(id, "/obs/x"), now))
		pace := gauger.Pace(100)
		if sent.Endpoint == "i-a" {
			pace = 250
		}
		c.Apply(AttemptEnded{ID: id, Outcome: Answered, Status: 200, Headroom: 200, Pace: pace}, now.Add(5))
		counts[sent.Endpoint]++
		if sent.Endpoint == "i-a" {
			assert.Equal(t, c.Dump(now.Add(5)).Fields()["slowOthers"], 1)
		}
	}
	assert.Assert(t, counts["i-a"] > 0 && counts["i-a"] < 20, "%v", counts)
}

// The receivers let a pace fade to 100. An endpoint that always reports 30 would count as 3.3 times as slow as it is by
// then, and get no call that shows otherwise.
func TestLowPaceIsCalibrated(t *testing.T) {
	for name, c := range map[string]struct {
		pace     gauger.Pace
		runs     int
		wantPace gauger.Pace
		wantTime clock.Duration
	}{
		"true":            {pace: 100, runs: 20, wantPace: 100, wantTime: 300},
		"too low":         {pace: 30, runs: 20, wantPace: 100, wantTime: 300},
		"too low at once": {pace: 30, runs: 1, wantPace: 100, wantTime: 300},
		"absurdly low":    {pace: 1, runs: 20, wantPace: 100, wantTime: 300},
		"slow for good":   {pace: 250, runs: 20, wantPace: 250, wantTime: 120},
	} {
		t.Run(name, func(t *testing.T) {
			k := newConductor("portal")
			announceEndpoint(k, 10, 1, false, 0)
			now := clock.Time(1000)
			for i := range c.runs {
				id := CallID(i + 1)
				k.Apply(DeliveryArrived{ID: id, Endpoint: "i-self", Deadline: now + 5000, QueueTimeout: 100, Due: now + 5000}, now)
				now += 300
				k.Apply(PaceReported{ID: id, Pace: c.pace}, now)
				k.Apply(DeliveryEnded{ID: id, Outcome: Answered, Pace: c.pace}, now)
			}
			assert.Equal(t, k.Report(now).RootTime, c.wantTime)
			assert.Equal(t, k.RecentPace(now), c.wantPace)
			assert.Equal(t, k.Dump(now).Pace, c.pace)
		})
	}
}
