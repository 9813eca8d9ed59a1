package soaker

import (
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/platform/standin"
)

// A longer list of faults in the first sequences would have changed the plan of every seed.
func TestLaterFaultsHaveTheirOwnSequences(t *testing.T) {
	tests := map[string]struct {
		names []string
		want  []int
	}{
		"all": {nil, []int{
			len(faults), len(faults), len(faults), len(loadFaults), len(stopFaults), len(answerFaults), len(operatorFaults), len(fatalFaults),
		}},
		"one of the general":   {[]string{"kill"}, []int{1, 1, 1, 0, 0, 0, 0, 0}},
		"one of the load":      {[]string{"decline"}, []int{0, 0, 0, 1, 0, 0, 0, 0}},
		"one of the stops":     {[]string{"terminateSeries"}, []int{0, 0, 0, 0, 1, 0, 0, 0}},
		"one of the answers":   {[]string{"answersEarly"}, []int{0, 0, 0, 0, 0, 1, 0, 0}},
		"one of the operators": {[]string{"keysChanged"}, []int{0, 0, 0, 0, 0, 0, 1, 0}},
		"one of the fatal":     {[]string{"fatalOrder"}, []int{0, 0, 0, 0, 0, 0, 0, 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var got []int
			for _, s := range faultsBySequence(test.names) {
				got = append(got, len(s))
			}
			assert.DeepEqual(t, got, test.want)
		})
	}
}

// If the faults did nothing, a soak with them would show nothing: the endpoint's records and answers have to show the part
// declined, the longer runs and the report.
func TestConditionShowsInAnswers(t *testing.T) {
	const (
		requests = 100
		work     = 2 * time.Millisecond
		// A run takes half of the work at least, so three times as slow at least 1.5 times the work.
		slowTime = requests * work * 3 / 2
	)
	// The name of the header stands in the platform's package alone, so the report is looked for in all headers.
	hasHeader := func(h http.Header, text string) bool {
		return slices.Contains(slices.Concat(slices.Collect(maps.Values(h))...), text)
	}
	tests := map[string]struct {
		prepare        func(c *condition)
		minRun, maxRun int
		report         string
		atLeast        time.Duration
	}{
		"as usual": {func(*condition) {}, requests, requests, "", 0},
		"declines": {func(c *condition) { c.setDeclined(0.5) }, requests / 4, 3 * requests / 4, "", 0},
		"slow": {
			func(c *condition) { c.setPace(reportsTruly(300)) }, requests, requests, "1,0,16,300", slowTime,
		},
		"slow and silent about it": {
			func(c *condition) { c.setPace(reportsUsual(300)) }, requests, requests, "1,0,16,100", slowTime,
		},
		"as usual and says slow": {func(c *condition) { c.setPace(pretendsPercent(300)) }, requests, requests, "1,0,16,300", 0},
		"unreadable":             {func(c *condition) { c.setPace(reportsUnreadably(0)) }, requests, requests, "busy", 0},
		"stands still":           {func(c *condition) { c.setPace(reportsStill(120)(50)) }, requests, requests, "1,0,16,120", 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var c condition
			test.prepare(&c)
			ran, arrived := 0, 0
			b := standin.NewBackend()
			b.Start(standin.BackendOptions{
				Instance: "i-1", Service: "clock", Slots: slots, Work: work, Condition: c.draw,
				Arrived: func(a standin.Arrival) { arrived++; assert.Check(t, a.Service == "clock") },
				Ran:     func(standin.Run) { ran++ },
			})
			defer b.Close()
			begun := time.Now()
			for range requests {
				response, err := http.Get("http://" + b.Address() + "/look/x")
				assert.NilError(t, err)
				assert.NilError(t, response.Body.Close())
				assert.Assert(t, test.report == "" || hasHeader(response.Header, test.report), "%v", response.Header)
			}
			assert.Equal(t, arrived, requests)
			assert.Assert(t, ran >= test.minRun && ran <= test.maxRun, "%d ran", ran)
			assert.Assert(t, time.Since(begun) >= test.atLeast)
		})
	}
}

// Paces that were drawn once, or left in force at the end, would not be those of an endpoint that is slow for a moment.
func TestPacesChangeAndEnd(t *testing.T) {
	var c condition
	seen := map[float64]bool{}
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.runPaces(rand.New(rand.NewPCG(1, 1)), 5*paceInterval)
	}()
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(paceInterval / 4):
			seen[c.draw(1).Slowdown] = true
		}
	}
	assert.Assert(t, len(seen) >= 3, "%v", seen)
	assert.Equal(t, c.draw(1), standin.Condition{})
}

// All ways to report have to occur over some seeds, the true one as often as the others together.
func TestReportersAreDrawn(t *testing.T) {
	const draws = 800
	truths := 0
	for i := range draws {
		p := drawReporter(rand.New(rand.NewPCG(uint64(i), 1)))(250)
		if p.percent == 250 && p.report == loadReport(250) {
			truths++
		}
	}
	assert.Assert(t, truths > draws*4/10 && truths < draws*6/10, "%d of %d", truths, draws)
}

// Guards against a fault that draws only some of the ways in which answers are spoiled.
func TestAllWaysToSpoilAnswersAreDrawn(t *testing.T) {
	drawn := map[standin.AnswerFault]bool{}
	for range 1000 {
		drawn[spoiledAnswers{fault: anyFault, part: 0.9}.drawFault()] = true
	}
	for f := standin.Sound; f <= standin.EndlessBody; f++ {
		assert.Assert(t, drawn[f], "%d", f)
	}
	assert.Equal(t, len(drawn), int(anyFault))
}
