package soaker

// Faults come in series and overlap: several rows of them run side by side, each drawing the next fault, the place and
// the time from its own part of the seed.
//
// Example: seed 7, row 1: pause node-2 for 1.3 s, then lose the store's answers for 0.8 s, then kill node-4.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/jackdawtide/jackdawtide/platform/standin"
)

// rows is how many faults may overlap.
const rows = 3

const (
	leastFault = 300 * time.Millisecond
	mostFault  = 3 * time.Second
	leastGap   = 100 * time.Millisecond
	mostGap    = 1500 * time.Millisecond
)

// fault is one kind of trouble; it returns when it is over.
type fault struct {
	name string
	run  func(f *fleet, n *node, d time.Duration) error
}

func proxied(name string, of func(*node) *Proxy, t Treatment) fault {
	return fault{name, func(_ *fleet, n *node, d time.Duration) error {
		of(n).Set(t)
		time.Sleep(d)
		of(n).Set(Passing)
		return nil
	}}
}

func storing(name string, m standin.Mode) fault {
	return fault{name, func(f *fleet, _ *node, d time.Duration) error {
		f.store.SetMode(m)
		time.Sleep(d)
		f.store.SetMode(standin.Healthy)
		return nil
	}}
}

func ofStore(n *node) *Proxy    { return n.store }
func ofEndpoint(n *node) *Proxy { return n.endpoint }
func ofCallers(n *node) *Proxy  { return n.callers }

var faults = []fault{
	{"kill", func(_ *fleet, n *node, d time.Duration) error { return n.exclusively(syscall.SIGKILL, d/4) }},
	{"terminate", func(_ *fleet, n *node, d time.Duration) error { return n.exclusively(syscall.SIGTERM, d/4) }},
	{"pause", func(_ *fleet, n *node, d time.Duration) error {
		n.signal(syscall.SIGSTOP)
		time.Sleep(d)
		n.signal(syscall.SIGCONT)
		return nil
	}},
	{"hangUp", func(_ *fleet, n *node, _ time.Duration) error { n.signal(syscall.SIGHUP); return nil }},
	{"killAll", func(f *fleet, _ *node, d time.Duration) error { return f.killAll(d / 4) }},
	storing("storeRefuses", standin.Refusing),
	storing("storeSilent", standin.Silent),
	storing("storeLosesAnswers", standin.LosingAnswers),
	storing("storeSlow", standin.Slow),
	{"storeForgets", func(f *fleet, _ *node, _ time.Duration) error { f.store.DropHistory(); return nil }},
	proxied("storeCutThere", ofStore, CutThere),
	proxied("storeCutBack", ofStore, CutBack),
	proxied("storeSilenced", ofStore, Silenced),
	proxied("endpointReset", ofEndpoint, Resetting),
	proxied("endpointDelayed", ofEndpoint, Delayed),
	proxied("endpointSilenced", ofEndpoint, Silenced),
	proxied("callersReset", ofCallers, Resetting),
	proxied("callersCutBack", ofCallers, CutBack),
	{"keyRotated", func(f *fleet, _ *node, _ time.Duration) error { f.teams.rotate(f.store, f.record); return nil }},
	{"routeAdded", func(f *fleet, _ *node, _ time.Duration) error { f.teams.addRoute(f.store); return nil }},
	{"endpointLeaves", func(f *fleet, n *node, d time.Duration) error {
		n.backend.Leave()
		time.Sleep(d + Promises.Drain)
		f.returned(n)
		return nil
	}},
}

func (f *fleet) returned(n *node) {
	n.backend.Return(func(at time.Time) { f.record.Returned(n.instance, at) })
}

// exclusively restarts a node unless it is being restarted already.
func (n *node) exclusively(s syscall.Signal, pause time.Duration) error {
	if !n.busy.CompareAndSwap(false, true) {
		return nil
	}
	defer n.busy.Store(false)
	// A paused process would not end by SIGTERM.
	n.signal(syscall.SIGCONT)
	return n.restart(s, pause)
}

func (f *fleet) killAll(pause time.Duration) error {
	var all sync.WaitGroup
	failed := make(chan error, len(f.nodes))
	for _, n := range f.nodes {
		all.Add(1)
		go func() {
			defer all.Done()
			failed <- n.exclusively(syscall.SIGKILL, pause)
		}()
	}
	all.Wait()
	close(failed)
	for err := range failed {
		if err != nil {
			return err
		}
	}
	return nil
}

func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

// trouble runs one row of faults until the context ends, and tells what it did.
func (f *fleet) trouble(ctx context.Context, row uint64, told func(string)) error {
	random := rand.New(rand.NewPCG(f.options.Seed, row))
	begun := time.Now()
	for ctx.Err() == nil {
		next := faults[random.IntN(len(faults))]
		n := f.nodes[random.IntN(len(f.nodes))]
		d := between(random, leastFault, mostFault)
		told(fmt.Sprintf("%5.2f s row %d %s %s %d ms", time.Since(begun).Seconds(), row, next.name, n.name, d.Milliseconds()))
		if err := next.run(f, n, d); err != nil {
			return err
		}
		time.Sleep(between(random, leastGap, mostGap))
	}
	return nil
}
