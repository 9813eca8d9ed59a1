package conductor

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

// sheddingFleet is one node's view of a fleet whose deepest service declines a part of all requests.
type sheddingFleet struct {
	node            *Conductor
	random          *rand.Rand
	served, retries int
	requests        int
}

const (
	fleetNodes  = 13
	nestedNodes = 3
	// fleetLoad is the rate of calls to the service, of which fleetRoots are root requests, in calls a second.
	fleetLoad, fleetRoots = 1250.0, 150.0
	declinedRatio         = 0.55
)

func newSheddingFleet(t *testing.T) *sheddingFleet {
	f := &sheddingFleet{node: newConductor("desk"), random: rand.New(rand.NewPCG(8, 9))}
	inner := route("in", "clock", matcher.Idempotent)
	inner.Public = true
	configure(t, f.node, configuration(1, route("obs", "clock", matcher.Idempotent), inner), 0)
	for i := range fleetNodes - 1 {
		service := identifier.Service("portal")
		if i < 3 {
			service = "clock"
		}
		learnMembers(f.node, peer(identifier.Node(fmt.Sprint("n", i)), service))
	}
	return f
}

func (f *sheddingFleet) report(now clock.Time) {
	var reports []exchanger.Report
	for i := range 3 {
		reports = append(reports, exchanger.Report{
			Member: peer(identifier.Node(fmt.Sprint("n", i)), "clock"), Number: int64(now) + 1, Load: fleetLoad / 3,
			Calls: map[identifier.Route]map[identifier.Route]float64{"obs": {}, "in": {}},
		})
	}
	f.node.Apply(ReportsReceived{Reports: reports}, now)
	f.node.Apply(Ticked{}, now)
}

// simulate sends root requests and nested calls to the node for ten seconds.
func (f *sheddingFleet) simulate(rootsPerSecond, nestedPerSecond float64) {
	id := CallID(0)
	for now := clock.Time(0); now < 10_000; now++ {
		if now%200 == 0 {
			f.report(now)
		}
		if f.random.Float64() < rootsPerSecond/1000 {
			id++
			f.call(id, "/obs/x", now)
		}
		if f.random.Float64() < nestedPerSecond/1000 {
			id++
			f.call(id, "/in/x", now)
		}
	}
}

func (f *sheddingFleet) call(id CallID, path string, now clock.Time) {
	e := arrival(id, path)
	if path == "/in/x" {
		e.Key = ""
	}
	f.requests++
	for effects := f.node.Apply(e, now); len(effects) == 1; {
		s, ok := effects[0].(Send)
		if !ok {
			break
		}
		if s.Retry {
			f.retries++
		}
		if f.random.Float64() >= declinedRatio {
			f.served++
			f.node.Apply(AttemptEnded{ID: id, Outcome: Answered, Status: 200, Headroom: 100}, now)
			break
		}
		effects = f.node.Apply(AttemptEnded{ID: id, Outcome: Declined, Headroom: 100, Replayable: true}, now)
	}
	f.node.Apply(RequestClosed{ID: id}, now)
}

// The deepest service declines more than half of all requests, though it is not full. Each root request needs one
// success, which a retry gives more often than not; a chain that needs four successes can hardly be saved. If the
// budget were computed only from a node's own few root requests, it could retry one in ten of them, while the allowance
// from the many nested calls would stay unused.
func TestRootRequestsAreRetriedAtSheddingService(t *testing.T) {
	roots := newSheddingFleet(t)
	roots.simulate(fleetRoots/fleetNodes, 0)
	nested := newSheddingFleet(t)
	nested.simulate(0, (fleetLoad-fleetRoots)/nestedNodes)
	served := float64(roots.served) / float64(roots.requests)
	retries := float64(fleetNodes*roots.retries+nestedNodes*nested.retries) / 10
	summary := fmt.Sprintf("%.2f of %d root requests served, %.0f retries a second in the fleet", served, roots.requests, retries)
	t.Log(summary)
	assert.Assert(t, served > 0.6, summary)
	assert.Assert(t, retries < 0.2*fleetLoad, summary)
}
