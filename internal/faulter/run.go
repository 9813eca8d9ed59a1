// A run is one scenario on its own fleet: the load lasts for the whole run, and the fault starts and ends during it.
// The records of replaced backend servers still count.
//
// Example: r.stopNode(ctx, 2) is a planned stop of VM 2; r.startNode(ctx, 2) starts a new process at its addresses.

package faulter

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/launcher"
	"github.com/jackdawtide/jackdawtide/internal/responder"
)

const (
	// burstUseTime is the time in which the overloading team uses up its burst.
	burstUseTime = 1500 * time.Millisecond
	// warmUpTime is the time after a fleet's start in which buckets fill and owners of idempotency ids become able to
	// answer for them: a request older than the owner's takeover could have run under the previous owner.
	warmUpTime = 2500 * time.Millisecond
)

type run struct {
	scenario scenario
	seed     uint64
	fleet    *launcher.Fleet
	// callers are the addresses at which the VMs' nodes accept calls; they stay the same over restarts.
	callers []string
	watcher *watcher
	load    *load
	began   time.Time

	mu sync.Mutex
	// down holds the VMs whose node doesn't run, partitioned the failure domains that are cut off from the others.
	down             map[int]bool
	partitioned      map[identifier.FailureDomain]bool
	replacedBackends []*responder.Server
	figures          Figures
	failure          error
}

func newRun(ctx context.Context, s scenario, seed uint64) (*run, error) {
	f, err := launcher.Start(ctx, launcher.Options{Plan: planOf(s.teams), Seed: seed})
	if err != nil {
		return nil, fmt.Errorf("launch the fleet: %w", err)
	}
	r := &run{
		scenario:    s,
		seed:        seed,
		fleet:       f,
		down:        make(map[int]bool),
		partitioned: make(map[identifier.FailureDomain]bool),
		figures:     Figures{Scenario: s.name, Seed: seed},
	}
	for _, m := range f.Members {
		r.callers = append(r.callers, m.CallerURL())
	}
	r.watcher = newWatcher(r)
	r.load = newLoad(r, s.length)
	return r, nil
}

// execute runs the scenario and returns its figures.
func (r *run) execute(ctx context.Context) (Figures, error) {
	clock.Sleep(ctx, warmUpTime)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go r.watcher.watch(ctx)
	before := r.meters()
	r.began = time.Now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		if clock.Sleep(ctx, burstUseTime) && r.scenario.fault != nil {
			r.recordFailure(r.scenario.fault(ctx, r))
		}
	}()
	r.load.send(ctx)
	after := r.meters()
	<-done
	if r.failure != nil {
		return Figures{}, r.failure
	}
	r.computeFigures(before, after)
	return r.figures, ctx.Err()
}

func (r *run) recordFailure(err error) {
	if err != nil && r.failure == nil {
		r.failure = err
	}
}

func (r *run) computeFigures(before, after meters) {
	a := audit{
		teams:      r.scenario.teams,
		start:      r.load.start,
		length:     r.load.length,
		operations: r.load.operations,
		starts:     r.starts(),
	}
	f := &r.figures
	f.Calls = len(a.operations)
	f.RateExceeded = a.rateExceeded()
	f.DoubleRuns = a.doubleRuns()
	f.FalseNotRun = a.falseNotRun()
	f.Reverted = r.watcher.reversals()
	f.RateServedRatio = optional(a.rateServed())
	f.BookingsServedRatio = optional(a.bookingsServed())
	wrongful, reasons, ok := a.wrongfulRefusals()
	f.WrongfulRefusalRatio = optional(wrongful, ok)
	f.Reasons = reasons
	seconds := after.at.Sub(before.at).Seconds()
	f.AppendsPerSecond = float64(after.appends-before.appends) / seconds
	f.ControlBytesPerNodeSecond = float64(after.bytes-before.bytes) / seconds / vms
}

func optional(v float64, ok bool) *float64 {
	if !ok {
		return nil
	}
	return &v
}

// meters are counters read at one moment. The byte counts of replaced nodes are lost, so the derived figure is a lower
// bound in scenarios that restart nodes.
type meters struct {
	at      time.Time
	appends uint64
	bytes   uint64
}

func (r *run) meters() meters {
	m := meters{at: time.Now(), appends: uint64(r.fleet.Keeper.Next())}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, v := range r.fleet.Members {
		if !r.down[i] {
			m.bytes += v.Node.TransportStats().ControlBytes
		}
	}
	return m
}

// starts returns the starts that all backend servers recorded, replaced ones included, in order of time within a
// server.
func (r *run) starts() []responder.RunStart {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []responder.RunStart
	for _, b := range r.replacedBackends {
		list = append(list, b.Starts()...)
	}
	for _, m := range r.fleet.Members {
		list = append(list, m.Backend.Starts()...)
	}
	return list
}

// versionAt returns the id of VM i's node and the version in force there, or false if the node is down.
func (r *run) versionAt(i int) (identifier.Node, identifier.Version, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down[i] {
		return "", 0, false
	}
	n := r.fleet.Members[i].Node
	return n.ID(), n.Dump().Status.Version, true
}

// inForceEverywhere reports whether the version is in force at every node that runs and isn't partitioned.
func (r *run) inForceEverywhere(v identifier.Version) bool {
	for i, m := range r.fleet.Members {
		r.mu.Lock()
		partitioned := r.partitioned[m.Domain]
		r.mu.Unlock()
		if partitioned {
			continue
		}
		if _, have, ok := r.versionAt(i); ok && have < v {
			return false
		}
	}
	return true
}

func (r *run) setDown(i int, down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down[i] = down
}

// stopNode stops the node as planned and returns the time that the stop took.
func (r *run) stopNode(ctx context.Context, i int) (time.Duration, error) {
	began := time.Now()
	r.setDown(i, true)
	err := r.fleet.Members[i].Node.Stop(ctx)
	return time.Since(began), err
}

func (r *run) killNode(i int) {
	r.setDown(i, true)
	r.fleet.Members[i].Node.Kill()
}

func (r *run) startNode(ctx context.Context, i int) error {
	if err := r.fleet.StartNode(ctx, r.fleet.Members[i]); err != nil {
		return err
	}
	r.setDown(i, false)
	return nil
}

func (r *run) startBackend(ctx context.Context, i int) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replacedBackends = append(r.replacedBackends, r.fleet.Members[i].Backend)
	return r.fleet.StartBackend(ctx, r.fleet.Members[i])
}

func (r *run) setPartitioned(d identifier.FailureDomain, partitioned bool) {
	r.mu.Lock()
	r.partitioned[d] = partitioned
	r.mu.Unlock()
	if partitioned {
		r.fleet.Partition(d)
		return
	}
	r.fleet.Heal(d)
}

// busiestMember returns the VM whose backend server received the most calls so far.
func (r *run) busiestMember() int {
	best, most := 0, int64(-1)
	for i, m := range r.fleet.Members {
		if n := m.Backend.Arrived(); n > most {
			best, most = i, n
		}
	}
	return best
}

// memberWithMostClaims returns the VM whose node has authority for the most claims.
func (r *run) memberWithMostClaims() int {
	best, most := 0, -1
	for i, m := range r.fleet.Members {
		held := 0
		for _, c := range m.Node.Dump().Claims {
			if c.Authority {
				held++
			}
		}
		if held > most {
			best, most = i, held
		}
	}
	return best
}
