package faulter

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jackdawtide/jackdawtide/internal/responder"
)

// Guards against an excess reported of calls for which one bucket could have paid, since slow calls took the tokens of
// calls that were sent later and started earlier.
func TestSlowCallsTakeNoTokensOfFasterOnes(t *testing.T) {
	team := teamPlan{rate: 100, burst: 50}
	begin := time.Now()
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	var calls []chargeWindow
	for range 50 {
		calls = append(calls, chargeWindow{earliest: at(0), latest: at(2000)})
	}
	for range 50 {
		calls = append(calls, chargeWindow{earliest: at(10), latest: at(15)})
	}
	assert.Check(t, excess(team, calls) < roundingTolerance, "%.3f", excess(team, calls))
	calls = append(calls, chargeWindow{earliest: at(10), latest: at(15)})
	assert.Check(t, excess(team, calls) > roundingTolerance, "51 calls sent and started within 5 ms exceed a burst of 50")
}

// Guards against a measure that misses an excess, or reports more than a rounded call of calls within the rate.
func TestExcessIsThatOfTheWorstWindow(t *testing.T) {
	begin := time.Now()
	rapid.Check(t, func(t *rapid.T) {
		team := teamPlan{rate: rapid.Float64Range(1, 100).Draw(t, "rate"), burst: float64(rapid.IntRange(1, 20).Draw(t, "burst"))}
		var calls []chargeWindow
		sent := begin
		for range rapid.IntRange(1, 80).Draw(t, "calls") {
			sent = sent.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "pause")) * time.Millisecond)
			took := time.Duration(rapid.SampledFrom([]int{0, 1, 10, 100, 1000, 3000}).Draw(t, "took")) * time.Millisecond
			calls = append(calls, chargeWindow{earliest: sent, latest: sent.Add(took)})
		}
		got, worst := excess(team, calls), worstWindow(team, calls)
		if got < worst-roundingTolerance || got > worst+1+roundingTolerance {
			t.Fatalf("excess %.3f, in the worst window %.3f", got, worst)
		}
	})
}

// worstWindow is the largest number of calls sent and started in any window, less what the team may spend in it.
func worstWindow(t teamPlan, calls []chargeWindow) float64 {
	var worst float64
	for _, first := range calls {
		for _, last := range calls {
			inside := 0.0
			for _, c := range calls {
				if !c.earliest.Before(first.earliest) && !c.latest.After(last.latest) {
					inside++
				}
			}
			length := max(0, last.latest.Sub(first.earliest).Seconds())
			worst = max(worst, inside-t.burst-t.rate*length)
		}
	}
	return worst
}

// Guards against a guess of when calls without an answer were sent, which reports an excess of calls that started late
// and misses one of calls that started soon.
func TestUnansweredCallsAreChargedFromTheirSending(t *testing.T) {
	team := teamPlan{name: "captains", rate: 10, burst: 2}
	begin := time.Now()
	record := func(calls int, every, lastStart time.Duration) audit {
		a := audit{teams: []teamPlan{team}}
		for i := range calls {
			id := fmt.Sprint(i)
			sent := begin.Add(time.Duration(i) * every)
			a.starts = append(a.starts, responder.RunStart{
				At: begin.Add(lastStart), Team: string(team.name), Request: "r" + id, Attempt: id,
			})
			a.operations = append(a.operations, operation{team: team.name, attempts: []attempt{{id: id, sent: sent}}})
		}
		return a
	}
	late := record(30, 100*time.Millisecond, 4*time.Second)
	assert.Check(t, late.rateExceeded() < roundingTolerance, "30 calls of 3 s that started at 4 s: %.3f", late.rateExceeded())
	soon := record(5, time.Millisecond, 100*time.Millisecond)
	assert.Check(t, soon.rateExceeded() > 1, "5 calls sent and started within 100 ms: %.3f", soon.rateExceeded())
	unknown := record(5, time.Millisecond, 100*time.Millisecond)
	unknown.operations = nil
	assert.Check(t, unknown.rateExceeded() > 2, "5 calls of no attempt that started at once: %.3f", unknown.rateExceeded())
}
