// Two events cause bursts of traffic: operators publish a batch of changes, and all nodes of a failure domain return at
// once. Measured are the time until the fleet has converged, the traffic, and the appends to the log.
//
// Example: after a burst of 100 changes in 3 domains of 20, all are in force at every node some hundreds of ms later.

package measurer

import (
	"context"
	"errors"
	"fmt"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/gossiper"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/reducer"
)

// burstTimeout bounds a measurement whose fleet doesn't converge.
const burstTimeout = 5 * clock.Minute

// burstNodesPerDomain is the number of nodes in each of the 3 domains to which a burst of changes is published.
const burstNodesPerDomain = 20

var errBurstTimeout = errors.New("the fleet did not converge within the burst timeout")

func burstPlans(seed uint64) []plan {
	return []plan{
		{
			variable: "changes at once, 3 domains of 20", xs: []int{10, 100, 300, 1000},
			series:  [][2]string{{"burst.time", "ms"}, {"burst.bytes", "B a node"}},
			measure: func(_ context.Context, x int) ([]float64, error) { return burst(x, burstNodesPerDomain, seed) },
		},
		{
			variable: "nodes of one of 3 domains that return at once", xs: []int{10, 20, 40, 80},
			series:  [][2]string{{"storm.time", "ms"}, {"storm.bytes", "B a node"}, {"storm.appends", "1"}},
			measure: func(_ context.Context, x int) ([]float64, error) { return domainReturn(x, seed) },
		},
	}
}

// runUntil runs the fleet until done returns true, and returns the simulated time that this took.
func (f *fleet) runUntil(done func() bool) (clock.Duration, error) {
	start := f.now
	for !done() {
		f.run(step)
		if f.err != nil {
			return 0, f.err
		}
		if f.now.Sub(start) > burstTimeout {
			return 0, errBurstTimeout
		}
	}
	return f.now.Sub(start), nil
}

// allInForce returns whether the configuration of every node includes the version.
func (f *fleet) allInForce(v identifier.Version) bool {
	for _, m := range f.members {
		if m.state.Status(f.now).Version < v {
			return false
		}
	}
	return true
}

// burst publishes changes at once, and returns the time until all are in force everywhere and the bytes per node.
func burst(changes, nodes int, seed uint64) ([]float64, error) {
	f := newFleet(3, nodes, seed)
	f.publish(1)
	f.run(warmUpTime)
	f.startCounting()
	target := f.members[0].state.Status(f.now).Version + identifier.Version(changes)
	for i := range changes {
		f.issueKey(fmt.Sprintf("%064x", 1<<20+i))
	}
	took, err := f.runUntil(func() bool { return f.allInForce(target) })
	bytes := f.outcome(0).mean.bytes * float64(took) / float64(clock.Second)
	return []float64{float64(took), bytes}, err
}

// domainReturn crashes one of three failure domains and starts all its nodes a minute later. It returns the time
// until they have rejoined, the bytes per returned node, and the number of Joined records that were appended to the
// log.
func domainReturn(nodes int, seed uint64) ([]float64, error) {
	f := newFleet(3, nodes, seed)
	f.publish(8)
	f.run(warmUpTime)
	returning := domainName(2)
	for i := len(f.members) - 1; i >= 0; i-- {
		if f.members[i].domain == returning {
			f.crash(i)
		}
	}
	f.run(clock.Minute)
	f.startCounting()
	var returned []*member
	for i := range nodes {
		m := f.join(returning, false)
		f.announce(m, i)
		returned = append(returned, m)
	}
	took, err := f.runUntil(func() bool { return allRejoined(f, returned) })
	bytes := 0
	for _, m := range returned {
		bytes += m.sentBytes + m.receivedBytes
	}
	return []float64{float64(took), float64(bytes) / float64(nodes), float64(f.appends[joinedType])}, err
}

var joinedType = fmt.Sprintf("%T", gossiper.Joined{})

// allRejoined returns whether all returned nodes know each other, their preset and all bank holders of their domain.
func allRejoined(f *fleet, returned []*member) bool {
	for _, m := range returned {
		d := m.state.Dump(f.now)
		if d.Status.Preset == "" || len(d.Members) < len(returned) || !knowsAllBankHolders(d) {
			return false
		}
	}
	return true
}

func knowsAllBankHolders(d reducer.Dump) bool {
	known := 0
	for _, h := range d.Rates.Holders {
		if h.Domain == d.Domain && !h.Silent {
			known++
		}
	}
	return known == reducer.RateSlots
}
