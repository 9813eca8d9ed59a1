package budgeter

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

const (
	testWindow = 10 * clock.Second
	testRatio  = 0.2
	testStep   = 200 * clock.Millisecond
	// reportLife is how long a report is used.
	reportLife = 2500 * clock.Millisecond
)

// history is a fleet whose nodes retry as much as their budgets allow. Nodes restart without their counts, vanish and are
// cut off, and reports of the fleet's requests are late or missing.
type history struct {
	random *rand.Rand
	slack  float64
	nodes  []*historyNode
	// faultSteps is the number of steps of a node in which one fault of each kind is expected.
	faultSteps int
	// requests and retries are those of the fleet in each step.
	requests, retries []float64
}

type historyNode struct {
	budget *Budget
	gone   bool
	// rates are the node's requests a second by kind, cutOff is set while no report arrives.
	rates  [kinds]float64
	cutOff bool
	// reported is the last reported rate of the fleet, made at a time; eager is how likely the node retries in a step.
	reported   float64
	reportedAt clock.Time
	eager      float64
}

func (h *history) run(steps int) {
	for i := range steps {
		now := clock.Time(i) * clock.Time(testStep)
		h.requests, h.retries = append(h.requests, 0), append(h.retries, 0)
		for _, n := range h.nodes {
			h.fault(n, now)
			h.report(n, now)
		}
		for _, n := range h.nodes {
			if !n.gone {
				h.step(n, now)
			}
		}
	}
}

func (h *history) fault(n *historyNode, now clock.Time) {
	switch h.random.IntN(h.faultSteps) {
	case 0:
		n.budget = New(testWindow, now)
	case 1:
		n.gone = !n.gone
	case 2:
		n.cutOff = !n.cutOff
	case 3, 4, 5, 6:
		rate := []float64{0, 1, 10, 100, 1000}[h.random.IntN(5)]
		n.rates = [kinds]float64{Root: rate * h.random.Float64(), Nested: rate * h.random.Float64()}
		n.eager = []float64{h.random.Float64(), 1}[h.random.IntN(2)]
	}
}

// report gives a node the fleet's rate since its last report.
func (h *history) report(n *historyNode, now clock.Time) {
	last := len(h.requests) - 1
	if !n.cutOff && last > 0 && h.random.IntN(4) > 0 {
		from := max(0, last-max(2, int(now.Sub(n.reportedAt)/testStep)))
		total := 0.0
		for _, requests := range h.requests[from:last] {
			total += requests
		}
		n.reported = total / float64(last-from) / (float64(testStep) / float64(clock.Second))
		n.reportedAt = now
	}
	if now.Sub(n.reportedAt) > reportLife {
		n.reported = 0
	}
}

func (h *history) step(n *historyNode, now clock.Time) {
	b, last := n.budget, len(h.requests)-1
	nodes := float64(len(h.nodes))
	b.SetLimits(Limits{Ratio: testRatio, Slack: 0.3 * h.slack / nodes})
	b.CountFleet(n.reported/nodes, testStep, now)
	for k := range kinds {
		requests := int(n.rates[k]*float64(testStep)/float64(clock.Second) + h.random.Float64())
		h.requests[last] += float64(requests)
		for range requests {
			b.CountRequest(k, h.random.Float64(), now)
		}
		if h.random.Float64() >= n.eager {
			continue
		}
		// Retries by the rules for services that do not decline are only checked against the windows.
		for b.Available(k, now) >= 1 {
			if h.random.IntN(2) == 0 && b.Take(k, h.random.Float64(), 0.55, now) {
				h.retries[last]++
				continue
			}
			b.CountRetry(k, now)
			h.retries[last]++
		}
	}
}

// overrun returns by how much the retries of a window exceed the bound for a part of the ratio and the slack, at most.
func (h *history) overrun(part, slackPart float64) float64 {
	const steps = int(testWindow / testStep)
	sum := func(counts []float64, from int) float64 {
		total := 0.0
		for i := max(0, from); i < min(len(counts), from+steps); i++ {
			total += counts[i]
		}
		return total
	}
	worst := -slackPart * h.slack
	for from := range h.retries {
		most := max(sum(h.requests, from), sum(h.requests, from-steps/2), sum(h.requests, from-steps))
		worst = max(worst, sum(h.retries, from)-part*testRatio*most-slackPart*h.slack)
	}
	return worst
}

// Guards against more retries than the fleet's bound in any window, whatever nodes restart, vanish or are cut off.
func TestFleetStaysWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		h := &history{random: rand.New(rand.NewPCG(seed, 1)), slack: rapid.SampledFrom([]float64{0, 20, 96}).Draw(t, "slack")}
		h.faultSteps = rapid.SampledFrom([]int{10, 150, 2000, 100_000}).Draw(t, "steps per fault")
		for range rapid.IntRange(1, 8).Draw(t, "nodes") {
			h.nodes = append(h.nodes, &historyNode{budget: New(testWindow, 0), eager: 1, rates: [kinds]float64{10, 200}})
		}
		h.run(rapid.IntRange(50, 250).Draw(t, "steps"))
		if over := h.overrun(1, 1); over > 0 {
			t.Fatalf("%.1f retries beyond the bound", over)
		}
		// A tenth of the ratio is for what retries at the services above repeat, a tenth covers errors of reported rates.
		if over := h.overrun(0.9, 0.3); over > 0 {
			t.Fatalf("%.1f retries beyond the part of the bound that budgets may use", over)
		}
	})
}

// loaded returns a budget after 20 s with 100 nested calls a second.
func loaded() *Budget {
	b := New(testWindow, 0)
	b.SetLimits(Limits{Ratio: testRatio})
	for now := clock.Time(0); now < 20_000; now += 10 {
		b.CountRequest(Nested, float64(now/10%10)/10, now)
	}
	return b
}

// Guards against a budget that must be earned anew when a service begins to decline: most of what the previous window
// earned can be used, by windows if not by pace.
func TestPreviousWindowIsUsable(t *testing.T) {
	b := loaded()
	available := b.Available(Nested, 20_000)
	assert.Assert(t, available > 68 && available < 90, "%v", available)
	rate := b.Rate(Nested, 20_000)
	assert.Assert(t, rate > 8 && rate < 10, "%v", rate)
	// In the first second, the pace allows a burst of 20 and what is sustained.
	taken := 0
	for now := clock.Time(20_000); now < 21_000; now += 10 {
		if b.Take(Nested, 1, 0.55, now) {
			taken++
		}
	}
	assert.Assert(t, taken >= 25 && taken <= 31, "%v", taken)
}

// Guards against less important calls that use up the tokens while more important ones need them.
func TestUrgentTakesFirst(t *testing.T) {
	b := loaded()
	urgent, other := 0, 0
	for now := clock.Time(20_000); now < 26_000; now += 50 {
		b.CountRequest(Nested, 0.2, now)
		b.CountRequest(Nested, 0.95, now)
		if b.Take(Nested, 0.2, 0.55, now) {
			other++
		}
		if b.Take(Nested, 0.95, 0.55, now) {
			urgent++
		}
	}
	assert.Assert(t, urgent > 40 && other < urgent/10, "%v of the urgent, %v of the others", urgent, other)
}

// Guards against allowance from a restart, or from requests that are older than two windows.
func TestNothingIsAvailableWithoutRequests(t *testing.T) {
	tests := map[string]*Budget{"new": New(testWindow, 0), "old": loaded()}
	for name, b := range tests {
		t.Run(name, func(t *testing.T) {
			b.SetLimits(Limits{Ratio: testRatio})
			assert.Equal(t, b.Available(Nested, 45_000), 0.0)
			assert.Assert(t, !b.Take(Root, 1, 0.55, 45_000))
		})
	}
}

// Guards against a rate that is counted for as long as an old report of it is used.
func TestShortBurstOfReportsCountsForNoMoreThanItsTime(t *testing.T) {
	b := New(testWindow, 0)
	for now := clock.Time(0); now < 10_000; now += 100 {
		rate := 0.0
		if now >= 5000 && now < 8000 {
			rate = 1000
		}
		b.CountFleet(rate, 100*clock.Millisecond, now)
	}
	requests := b.sums(func(i *bin) float64 { return i.fleet })[bins]
	assert.Assert(t, requests > 0 && requests <= 500, "%v", requests)
}

// BenchmarkTake measures what a first attempt and a declined call cost.
func BenchmarkTake(b *testing.B) {
	budget, now := loaded(), clock.Time(20_000)
	for b.Loop() {
		budget.CountRequest(Nested, 0.5, now)
		budget.Take(Nested, 0.95, 0.55, now)
	}
}

// Guards against a rate from the first bins of a node that has just started, which are too low.
func TestFleetRateNeedsCoveredWindow(t *testing.T) {
	const rate = 100.0
	tests := map[string]struct {
		counted clock.Duration
		want    bool
	}{
		"just started":             {0, false},
		"some bins of the window":  {15 * clock.Second, false},
		"window with first bins":   {21 * clock.Second, false},
		"window after first bins":  {23 * clock.Second, true},
		"window of a longer count": {60 * clock.Second, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := New(testWindow, 0)
			now := clock.Time(0)
			for ; now < clock.Time(test.counted); now = now.Add(testStep) {
				b.CountFleet(rate, testStep, now)
			}
			got, covered := b.FleetRate(now)
			assert.Equal(t, covered, test.want)
			if covered {
				assert.Assert(t, got > 0.95*rate && got < 1.05*rate, "%f", got)
			}
		})
	}
}
