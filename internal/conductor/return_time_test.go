package conductor

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

func TestRetryAfterOverload(t *testing.T) {
	tests := map[string]struct {
		refused    float64
		left, want clock.Duration
	}{
		"a tenth is refused":       {0.1, 5000, 444},
		"half":                     {0.5, 5000, 800},
		"most":                     {0.9, 5000, 1111},
		"everything":               {1, 5000, 1111},
		"little time left":         {0.9, 600, retryAfterPressure},
		"a part that is no number": {-1, 5000, retryAfterPressure},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, retryAfterOverload(test.refused, test.left), test.want)
		})
	}
}

// Guards against callers that use up their one return while the overload lasts: of requests that arrive in an overload of
// 8 s in which nine of ten are refused, more are served when refused callers return later.
func TestLaterReturnsOutlastAnOverload(t *testing.T) {
	const (
		overload = clock.Time(8000)
		refused  = 0.9
		requests = 20_000
	)
	served := func(mean clock.Duration) int {
		c := newConductor("x")
		random := rand.New(rand.NewPCG(3, 4))
		admitted := func(at clock.Time) bool { return at >= overload || random.Float64() >= refused }
		n := 0
		for i := range requests {
			at := clock.Time(i) * overload / requests
			if admitted(at) || admitted(at.Add(c.jitter(mean))) {
				n++
			}
		}
		return n
	}
	before, after := served(retryAfterPressure), served(retryAfterOverload(refused, 5000))
	t.Logf("%d of %d served with a constant time, %d with one by the refused part", before, requests, after)
	assert.Assert(t, float64(after) > 1.2*float64(before))
}

// Guards against a time to return that ignores how much is refused, in the answer that the caller gets.
func TestRefusalForOverloadTellsWhenToReturn(t *testing.T) {
	c := newConductor("x")
	r := &call{left: 5000, route: &matcher.Route{Name: "obs"}}
	for range 100 {
		c.effects = c.effects[:0]
		c.refuseForPressure(r, 0.9, 0)
		f := onlyEffect[Refuse](t, c.effects)
		assert.Assert(t, f.RetryAfter >= 555 && f.RetryAfter <= 1667, "%d", f.RetryAfter)
	}
}
