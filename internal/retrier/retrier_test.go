package retrier

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

// callTree is a call to a service with the nested calls that it makes, in sequence or in parallel.
type callTree struct {
	service  int
	parallel bool
	nested   []*callTree
}

func drawTree(t *rapid.T, depth int) *callTree {
	n := &callTree{
		service:  rapid.IntRange(0, 4).Draw(t, "service"),
		parallel: rapid.Bool().Draw(t, "parallel"),
	}
	if depth > 0 {
		for range rapid.IntRange(0, 3).Draw(t, "nested") {
			n.nested = append(n.nested, drawTree(t, depth-1))
		}
	}
	return n
}

func (n *callTree) count(into map[int]int) {
	into[n.service]++
	for _, child := range n.nested {
		child.count(into)
	}
}

// simulation runs trees in which any attempt may be refused, lost before or after it ran, or answered with an error.
type simulation struct {
	random   *rand.Rand
	faults   float64
	attempts map[int]int
	retries  int
}

// call is one hop: it makes attempts and retries its own failed ones while the budget lasts.
func (f *simulation) call(n *callTree, b *Budget, portion uint8) bool {
	carried := b.Take(portion)
	for {
		ok, unused, facts := f.attempt(n, carried)
		b.Return(unused, carried)
		if ok || !MayRetry(facts) || !b.Spend() {
			return ok
		}
		f.retries++
		carried = b.Portion()
	}
}

func (f *simulation) attempt(n *callTree, carried uint8) (ok bool, unused uint8, facts Attempt) {
	f.attempts[n.service]++
	if f.random.Float64() < f.faults/2 {
		return false, carried, Attempt{Phase: Answered, NotRun: true, Reason: EndpointFull}
	}
	b := NewBudget(carried)
	portions := make([]uint8, len(n.nested))
	for i := range portions {
		if n.parallel {
			portions[i] = b.Portion()
		}
	}
	ok = true
	for i, child := range n.nested {
		if n.parallel {
			part := NewBudget(portions[i])
			ok = f.call(child, &part, part.Left()) && ok
			b.Return(part.Left(), portions[i])
			continue
		}
		ok = ok && f.call(child, &b, b.Left()-b.Left()/2)
	}
	switch {
	case f.random.Float64() < f.faults/2:
		return false, 0, Attempt{Phase: Sent, Idempotent: true, Reason: Broken}
	case !ok:
		return false, b.Left(), Attempt{Phase: Answered, Idempotent: true, Reason: DeeperFailure}
	default:
		return true, b.Left(), Attempt{}
	}
}

// Retries at each hop multiply: a slow service at depth four gets 256 attempts for one request, and stays slow after
// the cause has gone. The outage outlasts its trigger.
func TestAttemptsAreBoundedInAnyTree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		root := drawTree(t, 3)
		allowance := uint8(rapid.IntRange(0, 9).Draw(t, "allowance"))
		f := &simulation{
			random:   rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)),
			faults:   rapid.Float64Range(0, 1).Draw(t, "faults"),
			attempts: map[int]int{},
		}
		b := NewBudget(allowance)
		f.call(root, &b, b.Left()-b.Left()/2)
		assert.Assert(t, f.retries+int(b.Left()) <= int(allowance), "%d retries and %d left of %d", f.retries, b.Left(), allowance)
		planned := map[int]int{}
		root.count(planned)
		for service, attempts := range f.attempts {
			bound := planned[service] * (1 + int(allowance))
			assert.Assert(t, attempts <= bound, "%d attempts at service %d, bound %d", attempts, service, bound)
		}
	})
}

// A booking that may have run must not run again, and a hop must not retry what a deeper hop gave up. Otherwise a
// booking is made twice, or the load grows with the depth of the chain.
func TestMayRetry(t *testing.T) {
	for name, c := range map[string]struct {
		attempt Attempt
		want    bool
	}{
		"not sent":                         {Attempt{Phase: NotSent, Reason: Broken}, true},
		"sent, not idempotent":             {Attempt{Phase: Sent, Reason: Broken}, false},
		"sent, idempotent":                 {Attempt{Phase: Sent, Idempotent: true, Reason: Broken}, true},
		"refused by one endpoint":          {Attempt{Phase: Answered, NotRun: true, Reason: EndpointFull}, true},
		"refused by a leaving endpoint":    {Attempt{Phase: Answered, NotRun: true, Reason: EndpointLeaving}, true},
		"refused by the service":           {Attempt{Phase: Answered, NotRun: true, Idempotent: true, Reason: ServiceOverloaded}, false},
		"error, not idempotent":            {Attempt{Phase: Answered, Reason: ServerError}, false},
		"error, idempotent":                {Attempt{Phase: Answered, Idempotent: true, Reason: ServerError}, true},
		"claims not run, but sent":         {Attempt{Phase: Sent, NotRun: true, Reason: Broken}, false},
		"failed at a deeper hop":           {Attempt{Phase: Answered, Idempotent: true, NotRun: true, Reason: DeeperFailure}, false},
		"deadline exceeded before sending": {Attempt{Phase: NotSent, Idempotent: true, Reason: DeadlineExceeded}, false},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, MayRetry(c.attempt), c.want)
		})
	}
}

// When every call fails, every call asks for a retry, and the service gets twice its load: a short fault becomes a long
// one.
func TestDamperLimitsRetryRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := NewDamper(DamperOptions{})
		now, first, retries, seconds := clock.Time(0), 0, 0, 0
		for range rapid.IntRange(1, 2000).Draw(t, "calls") {
			gap := rapid.SampledFrom([]clock.Duration{0, 0, 0, 1, 2, 700}).Draw(t, "gap")
			now = now.Add(gap)
			d.CountFirst("ice", now)
			first++
			for range 20 {
				if d.Allow("ice", now) {
					retries++
				}
			}
			seconds = int(now / 1000)
		}
		assert.Assert(t, retries <= first/10+1+seconds, "%d retries of %d calls in %d s", retries, first, seconds)
	})
}

// Each node sees few retries of many callers. Only the overloaded service sees all of them; without its hint each node
// would continue to send as many retries as its damper allows.
func TestHintBlocksRetriesUntilItExpires(t *testing.T) {
	d := NewDamper(DamperOptions{})
	m := &Meter{}
	for i := range 100 {
		d.CountFirst("ice", 0)
		m.CountCall(i%4 == 0, 0)
	}
	assert.Assert(t, d.Allow("ice", 0))
	d.SetHint("ice", m.Hint(false, 0), 0)
	assert.Assert(t, !d.Allow("ice", 999))
	assert.Assert(t, d.Allow("ice", 1000), "the hint has expired")
	d.SetHint("ice", m.Hint(true, 1000), 1000)
	assert.Assert(t, !d.Allow("ice", 1500))
	d.SetHint("ice", m.Hint(false, 10_000), 1600)
	assert.Assert(t, d.Allow("ice", 1600), "the hint is below the blocking value")
}

func BenchmarkRetryDecision(b *testing.B) {
	d := NewDamper(DamperOptions{})
	b.ReportAllocs()
	for i := range b.N {
		now := clock.Time(i)
		d.CountFirst("ice", now)
		budget := NewBudget(3)
		if MayRetry(Attempt{Phase: NotSent, Reason: Broken}) && d.Allow("ice", now) {
			budget.Spend()
		}
	}
}
