package limiter

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	announced   = 100
	baseLatency = 50.0
)

// A latencyModel returns how long a call takes that starts as one of n running calls.
type latencyModel func(n int, now clock.Time) float64

// healthyServer runs calls in each of its announced slots at full speed.
func healthyServer(int, clock.Time) float64 { return baseLatency }

// overstatedSlots announces 100 slots, but more than 40 calls at once slow each other down.
func overstatedSlots(n int, _ clock.Time) float64 {
	over := max(0, float64(n)-40) / 40
	return baseLatency * (1 + over + over*over/2)
}

// slowDependency makes its calls wait for a deeper service, which is 5 times slower from second 10 on.
func slowDependency(_ int, now clock.Time) float64 {
	if now >= 10_000 {
		return 5 * baseLatency
	}
	return baseLatency
}

// loadGenerator offers calls so that the wanted number is open at once, and counts the answers from second 10 to 30.
type loadGenerator struct {
	limiter *Limiter
	serve   latencyModel
	random  *rand.Rand
	ends    map[clock.Time][]CallID
	next    CallID
	answers float64
}

func (l *loadGenerator) step(now clock.Time, want int, out []Verdict) []Verdict {
	out = l.limiter.Tick(now, out[:0])
	for _, id := range l.ends[now] {
		out = l.limiter.Done(id, Succeeded, now, out)
		if now >= 10_000 {
			l.answers++
		}
	}
	delete(l.ends, now)
	for l.limiter.InFlight()+l.limiter.Queued() < want {
		l.next++
		out = l.limiter.Offer(Call{ID: l.next, Rank: identifier.MaxRank, Deadline: clock.Never}, now, out)
	}
	for _, v := range out {
		if v.Action == Dispatch {
			work := (l.random.ExpFloat64() + l.random.ExpFloat64() + l.random.ExpFloat64() + l.random.ExpFloat64()) / 4
			end := now.Add(max(1, clock.Duration(work*l.serve(l.limiter.InFlight(), now))))
			l.ends[end] = append(l.ends[end], v.ID)
		}
	}
	return out
}

// saturatedThroughput returns the answers a second from second 10 to 30 with more open calls than there are slots.
func saturatedThroughput(law Law, s latencyModel, hint float64) float64 {
	l := &loadGenerator{
		limiter: New(Options{Slots: announced, Law: law}, 0), serve: s,
		random: rand.New(rand.NewPCG(1, 1)), ends: map[clock.Time][]CallID{},
	}
	var out []Verdict
	for now := clock.Time(0); now < 30_000; now++ {
		want := announced * 3 / 2
		if now < 3000 {
			want = announced / 4
		}
		l.limiter.ReportLoad(hint, now)
		out = l.step(now, want, out)
	}
	return l.answers / 20
}

// A backend server announces more slots than its VM can use, or the service that it depends on slows down. Both raise
// latency; only the first calls for a lower limit. If the first case is missed, calls time out; if the second is
// mistaken for the first, a healthy service refuses calls.
func TestLimitFollowsTheKneeOnly(t *testing.T) {
	for name, c := range map[string]struct {
		law         Law
		serve       latencyModel
		hint        float64
		least, most float64
	}{
		"knee, healthy":                             {law: KneeLaw, serve: healthyServer, least: 1950, most: 2050},
		"knee, healthy, false load":                 {law: KneeLaw, serve: healthyServer, hint: 2, least: 1900, most: 2050},
		"knee, overstated":                          {law: KneeLaw, serve: overstatedSlots, least: 750, most: 850},
		"knee, overstated, false load":              {law: KneeLaw, serve: overstatedSlots, hint: 0.1, least: 750, most: 850},
		"knee, slow dependency":                     {law: KneeLaw, serve: slowDependency, least: 380, most: 420},
		"knee, slow dependency, false load":         {law: KneeLaw, serve: slowDependency, hint: 2, least: 370, most: 420},
		"fixed, overstated, for comparison":         {law: FixedLaw, serve: overstatedSlots, least: 500, most: 600},
		"gradient, slow dependency, for comparison": {law: GradientLaw, serve: slowDependency, least: 50, most: 200},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got := saturatedThroughput(c.law, c.serve, c.hint)
			t.Logf("%.0f answers a second", got)
			assert.Assert(t, got >= c.least && got <= c.most, "%.0f answers a second", got)
		})
	}
}
