package admitter_test

import (
	"math"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/admitter"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/limiter"
)

// during returns a function of time that has the value in from second a to b, and out at any other time.
func during(a, b clock.Time, in, out float64) func(clock.Time) float64 {
	return func(t clock.Time) float64 {
		if t >= a*1000 && t < b*1000 {
			return in
		}
		return out
	}
}

// surge has a service with a capacity of 2000 calls a second. It receives 1800, and 6000 from second 5 to 10.
func surge() scenario {
	return scenario{
		seconds: 16, frontSlots: 100, frontWork: 50, callerTimeout: 500,
		load: during(5, 10, 6000, 1800), deepSlowdown: during(0, 0, 1, 1),
	}
}

// small has a service with a capacity of 200 calls a second. It receives 160, and 600 from second 5 to 10.
func small() scenario {
	s := surge()
	s.frontSlots, s.frontWork, s.load = 20, 100, during(5, 10, 600, 160)
	return s
}

// deepSlow has a deep service with a capacity of 1000 calls a second that 4 in 10 calls need. It takes 5 times as long
// from second 5 to 25; callers retry three times without backoff. The front service is not overloaded.
func deepSlow() scenario {
	s := surge()
	s.seconds, s.retries, s.nestingPart = 31, 3, 0.4
	s.frontSlots, s.deepSlots, s.deepWork = 200, 40, 40
	s.load, s.deepSlowdown = during(0, 0, 0, 2000), during(5, 25, 5, 1)
	return s
}

// tiny has requests that all need a deep service of two endpoints with six slots each, through two front endpoints and
// three entry nodes, so that random variation is largest. It has a capacity of 480 calls a second and receives 336, and
// 1008 from second 5 to 10.
func tiny() scenario {
	s := surge()
	s.entries, s.fronts, s.deeps, s.nestingPart, s.callerTimeout = 3, 2, 2, 1, 1000
	s.frontSlots, s.frontWork, s.deepSlots, s.deepWork = 120, 5, 12, 25
	s.load = during(5, 10, 1008, 336)
	return s
}

func with(s scenario, change func(*scenario)) scenario {
	change(&s)
	return s
}

type metrics struct {
	goodput, recovery, urgent, median, p99, wasted, attempts float64
}

// measure runs the scenario with several seeds and averages the results. goodput is relative to ideal and measured from
// second 6 to the end of the overload; recovery is the time until 95% of the goodput before the overload is reached.
func measure(s scenario, end, ideal float64, seeds int) metrics {
	sum := metrics{}
	n := float64(seeds)
	for seed := range seeds {
		r := run(s, uint64(seed))
		slices.Sort(r.delays)
		sum.goodput += between(r.good, 6, end) / ideal / n
		sum.recovery += recovery(r.good, end, between(r.good, 2, 5)) / n
		sum.urgent += r.urgentGood / r.urgentSent / n
		sum.median += r.delays[len(r.delays)/2] / n
		sum.p99 += r.delays[len(r.delays)*99/100] / n
		sum.attempts += r.attempts / total(r.sent) / n
		sum.wasted += r.wasted / float64(s.seconds) / n
	}
	return sum
}

// Demand triples, or a deep service slows down while callers retry without backoff, or both. Without admission control
// the capacity is spent on calls that time out, even urgent calls get no answer, and retries keep the service overloaded
// after the cause is gone (a metastable failure).
func TestGoodputAndRecovery(t *testing.T) {
	hard := func(s *scenario) { s.retries = 3 }
	for name, c := range map[string]struct {
		scenario              scenario
		end, ideal, goodput   float64
		maxGoodput, minUrgent float64
		maxWasted             float64
	}{
		"surge":               {scenario: surge(), end: 10, ideal: 2000, goodput: 0.95, minUrgent: 0.999},
		"surge, hard retries": {scenario: with(surge(), hard), end: 10, ideal: 2000, goodput: 0.95, minUrgent: 0.999},
		"surge at few slots":  {scenario: small(), end: 10, ideal: 200, goodput: 0.95, minUrgent: 0.999},
		"deep service slow":   {scenario: deepSlow(), end: 25, ideal: 1400, goodput: 0.95, minUrgent: 0.999},
		"slow while load doubles": {
			scenario: with(deepSlow(), func(s *scenario) { s.load = during(5, 25, 4000, 2000) }),
			end:      25, ideal: 2600, goodput: 0.90, minUrgent: 0.999,
		},
		"surge at five endpoints": {
			scenario: with(surge(), func(s *scenario) { s.entries, s.fronts = 4, 5 }),
			end:      10, ideal: 2000, goodput: 0.95, minUrgent: 0.999,
		},
		"surge, one of five slow": {
			scenario: with(surge(), func(s *scenario) { s.entries, s.fronts, s.firstFrontSlowdown = 4, 5, 4 }),
			end:      10, ideal: 1700, goodput: 0.95, minUrgent: 0.999,
		},
		"deep service slow, four fronts": {
			scenario: with(deepSlow(), func(s *scenario) { s.entries, s.fronts = 4, 4 }),
			end:      25, ideal: 1400, goodput: 0.95, minUrgent: 0.999,
		},
		"surge over tiny endpoints":               {scenario: tiny(), end: 10, ideal: 480, goodput: 0.95, minUrgent: 0.999},
		"surge over tiny endpoints, hard retries": {scenario: with(tiny(), hard), end: 10, ideal: 480, goodput: 0.95, minUrgent: 0.999, maxWasted: 25},
		"tiny deep endpoints slow while load doubles": {
			scenario: with(tiny(), func(s *scenario) {
				s.retries, s.load, s.deepSlowdown = 3, during(5, 10, 672, 336), during(5, 10, 5, 1)
			}),
			end: 10, ideal: 96, goodput: 0.90, minUrgent: 0.999,
		},
		"deep service slow, no gate, for contrast": {
			scenario: with(deepSlow(), func(s *scenario) { s.noGate = true }),
			end:      25, ideal: 1400, maxGoodput: 0.6,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := measure(c.scenario, c.end, c.ideal, 4)
			t.Logf("goodput %.3f, recovery %.0f ms, urgent %.4f, median %.0f ms, p99 %.0f ms, %.0f wasted a second, %.2f attempts",
				f.goodput, f.recovery, f.urgent, f.median, f.p99, f.wasted, f.attempts)
			if c.maxGoodput > 0 {
				assert.Assert(t, f.goodput <= c.maxGoodput)
				return
			}
			assert.Assert(t, f.goodput >= c.goodput)
			assert.Assert(t, f.recovery <= 2000)
			assert.Assert(t, f.urgent >= c.minUrgent)
			assert.Assert(t, c.maxWasted == 0 || f.wasted <= c.maxWasted)
		})
	}
}

// Random arrivals come in bursts, also below capacity. A gate that treats each burst as overload refuses calls that the
// service could have served.
func TestRefusesNothingBelowCapacity(t *testing.T) {
	for name, c := range map[string]struct {
		slots         int
		work, load    float64
		callerTimeout clock.Duration
	}{
		"many slots, 90%":         {slots: 100, work: 50, load: 0.9},
		"few slots, 80%":          {slots: 20, work: 20, load: 0.8},
		"few slots and slow, 80%": {slots: 20, work: 100, load: 0.8},
		"few slots and slow, 90%": {slots: 20, work: 100, load: 0.9},
		"three slots, very slow":  {slots: 3, work: 400, load: 0.85, callerTimeout: 5000},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rate := c.load * float64(c.slots) / c.work * 1000
			r := run(with(surge(), func(s *scenario) {
				s.seconds, s.frontSlots, s.frontWork, s.load = 60, c.slots, c.work, during(0, 0, 0, rate)
				s.callerTimeout = max(s.callerTimeout, c.callerTimeout)
			}), 1)
			refused := 1 - between(r.good, 1, 59)/between(r.sent, 1, 59)
			t.Logf("%.4f refused or late", refused)
			assert.Assert(t, refused <= 0.01)
		})
	}
}

func total(slices []float64) float64 {
	return between(slices, 0, float64(len(slices))/10) * float64(len(slices)) / 10
}

func report(b *testing.B, s scenario, end, ideal float64) {
	f := metrics{}
	for range b.N {
		f = measure(s, end, ideal, 4)
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(f.goodput, "goodput")
	b.ReportMetric(math.Min(f.recovery, 1e6), "recoveryMs")
	b.ReportMetric(f.urgent, "urgent")
	b.ReportMetric(f.median, "medianMs")
	b.ReportMetric(f.p99, "p99Ms")
	b.ReportMetric(f.wasted, "wasted/s")
}

// BenchmarkPolicies compares control laws and queue orders under the same load: go test -bench Policies -benchtime 1x.
func BenchmarkPolicies(b *testing.B) {
	for _, c := range []struct {
		name   string
		change func(*scenario)
	}{
		{"chosen", func(*scenario) {}},
		{"order=rankNewest", func(s *scenario) { s.limit.Order = limiter.RankNewest }},
		{"order=classNewest", func(s *scenario) { s.limit.Order = limiter.ClassNewest }},
		{"order=classOldest", func(s *scenario) { s.limit.Order = limiter.ClassOldest }},
		{"gate=step", func(s *scenario) { s.gate.Law = admitter.StepLaw }},
		{"gate=additive", func(s *scenario) { s.gate.Law = admitter.AdditiveLaw }},
		{"gate=none", func(s *scenario) { s.noGate = true }},
		{"gate=none,order=classOldest", func(s *scenario) { s.noGate, s.limit.Order = true, limiter.ClassOldest }},
		{"limit=fixed", func(s *scenario) { s.limit.Law = limiter.FixedLaw }},
		{"limit=gradient", func(s *scenario) { s.limit.Law = limiter.GradientLaw }},
	} {
		hard := func(s *scenario) { c.change(s); s.retries = 3 }
		b.Run("surge/"+c.name, func(b *testing.B) { report(b, with(surge(), hard), 10, 2000) })
		b.Run("small/"+c.name, func(b *testing.B) { report(b, with(small(), hard), 10, 200) })
		b.Run("deep/"+c.name, func(b *testing.B) { report(b, with(deepSlow(), c.change), 25, 1400) })
	}
}
