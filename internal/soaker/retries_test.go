package soaker

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jackdawtide/jackdawtide/platform/standin"
)

// If the check chose the wrong window or counted the wrong requests, it would miss retries beyond the bound or report
// retries that are allowed.
func TestRetryCheck(t *testing.T) {
	// burst is a number of requests of a path that are spread evenly over some seconds; each arrives once, and retries more
	// times in all.
	type burst struct {
		path              string
		service           string
		from, to          float64
		requests, retries int
		lost              bool
	}
	tests := map[string]struct {
		bursts []burst
		want   int
	}{
		"within the ratio":  {[]burst{{"/read/x", "portal", 10, 20, 1000, 240, false}}, 0},
		"beyond the ratio":  {[]burst{{"/read/x", "portal", 10, 20, 1000, 260, false}}, 1},
		"all in one second": {[]burst{{"/read/x", "portal", 10, 11, 1000, 260, false}}, 1},
		"retries of a demand that has ended": {
			[]burst{{"/read/x", "portal", 10, 19, 1000, 0, false}, {"/read/x", "portal", 19.5, 23, 10, 200, false}}, 0,
		},
		"retries of a demand that ended long before": {
			[]burst{{"/read/x", "portal", 10, 19, 1000, 0, false}, {"/read/x", "portal", 40, 43, 10, 200, false}}, 1,
		},
		"requests of another service": {
			[]burst{{"/order/x", "desk", 10, 20, 1000, 0, false}, {"/read/x", "portal", 10, 20, 10, 100, false}}, 1,
		},
		"nested calls and look-ups are of one service": {
			[]burst{{"/inner/x", "clock", 10, 20, 500, 120, false}, {"/look/x", "clock", 10, 20, 500, 120, false}}, 0,
		},
		"requests that never arrived count": {
			[]burst{{"/order/x", "desk", 10, 20, 990, 0, true}, {"/order/x", "desk", 10, 20, 10, 240, false}}, 0,
		},
		"calls whose outcome is not recorded":            {[]burst{{"", "clock", 10, 20, 1000, 240, false}}, 0},
		"retries of calls whose outcome is not recorded": {[]burst{{"", "clock", 10, 20, 1000, 260, false}}, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := NewRecord()
			for i, b := range test.bursts {
				for j := range b.requests {
					id := fmt.Sprint(i, "-", j)
					at := second(b.from + (b.to-b.from)*float64(j)/float64(b.requests))
					if b.path != "" {
						r.AddRequest(Sent{ID: id, Path: b.path, At: at})
					}
					if !b.lost {
						r.AddArrival(standin.Arrival{Request: id, Service: b.service, Instance: "i-1", At: at})
					}
				}
				for j := range b.retries {
					at := second(b.from + (b.to-b.from)*float64(j)/float64(b.retries)).Add(time.Millisecond)
					id := fmt.Sprint(i, "-", j*b.requests/max(b.requests, b.retries))
					r.AddArrival(standin.Arrival{Request: id, Service: b.service, Instance: "i-2", At: at})
				}
			}
			assert.Equal(t, len(r.retriesExceeded(Promises)), test.want, "%v", r.retriesExceeded(Promises))
		})
	}
}

// A bound of the search that is off by one would count a request twice or not at all in windows that touch.
func TestCountWithin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seconds := rapid.SliceOf(rapid.IntRange(0, 20)).Draw(t, "times")
		from, to := rapid.IntRange(0, 20).Draw(t, "from"), rapid.IntRange(0, 20).Draw(t, "to")
		if from > to {
			from, to = to, from
		}
		slices.Sort(seconds)
		var times []time.Time
		want := 0
		for _, s := range seconds {
			times = append(times, second(float64(s)))
			if s > from && s <= to {
				want++
			}
		}
		assert.Equal(t, countWithin(times, second(float64(from)), second(float64(to))), want)
	})
}
