package soaker

// Faults come in sequences that run concurrently, so that faults overlap. Each sequence draws the next fault, its node
// and its duration from a random generator derived from the seed and the sequence's number.
//
// Example: seed 7, row 1: pause node-2 for 1.3 s, then lose the store's answers for 0.8 s, then kill node-4.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/jackdawtide/jackdawtide/platform/standin"
)

// generalSequences is the number of sequences that draw from faults; one more each draws from loadFaults, stopFaults,
// answerFaults, operatorFaults and fatalFaults.
const generalSequences = 3

const (
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	minGap           = 100 * time.Millisecond
	maxGap           = 1500 * time.Millisecond
)

// fault is one kind of fault; run returns when the fault is over.
type fault struct {
	name string
	run  func(f *fleet, n *node, d time.Duration) error
}

func proxyFault(name string, proxyOf func(*node) *Proxy, t Treatment) fault {
	return fault{name, func(_ *fleet, n *node, d time.Duration) error {
		defer n.beginDisruption()()
		proxyOf(n).Set(t)
		time.Sleep(d)
		proxyOf(n).Set(Passing)
		return nil
	}}
}

func storeFault(name string, m standin.Mode) fault {
	return disruptedStoreFault(name, func(s *standin.Store) { s.SetMode(m) }, func(s *standin.Store) { s.SetMode(standin.Healthy) })
}

func disruptedStoreFault(name string, begin, end func(*standin.Store)) fault {
	return fault{name, func(f *fleet, _ *node, d time.Duration) error {
		defer f.record.BeginStoreDisruption()()
		begin(f.store)
		time.Sleep(d)
		end(f.store)
		return nil
	}}
}

func storeProxy(n *node) *Proxy    { return n.store }
func endpointProxy(n *node) *Proxy { return n.endpoint }
func callersProxy(n *node) *Proxy  { return n.callers }

var faults = []fault{
	{"kill", func(_ *fleet, n *node, d time.Duration) error { return n.restartExclusively(syscall.SIGKILL, d/4) }},
	{"terminate", func(_ *fleet, n *node, d time.Duration) error { return n.restartExclusively(syscall.SIGTERM, d/4) }},
	{"pause", func(f *fleet, n *node, d time.Duration) error {
		defer f.record.BeginExcuse(n.name)()
		defer n.beginDisruption()()
		n.signal(syscall.SIGSTOP)
		time.Sleep(d)
		n.signal(syscall.SIGCONT)
		return nil
	}},
	{"hangUp", func(_ *fleet, n *node, _ time.Duration) error { n.signal(syscall.SIGHUP); return nil }},
	{"killAll", func(f *fleet, _ *node, d time.Duration) error { return f.killAll(d / 4) }},
	storeFault("storeRefuses", standin.Refusing),
	storeFault("storeSilent", standin.Silent),
	storeFault("storeLosesAnswers", standin.LosingAnswers),
	storeFault("storeSlow", standin.Slow),
	{"storeForgets", func(f *fleet, _ *node, _ time.Duration) error {
		f.record.AddStoreInstability()
		f.store.DropHistory()
		return nil
	}},
	proxyFault("storeCutThere", storeProxy, DroppingToTarget),
	proxyFault("storeCutBack", storeProxy, DroppingFromTarget),
	proxyFault("storeSilenced", storeProxy, Silenced),
	proxyFault("endpointReset", endpointProxy, Resetting),
	proxyFault("endpointDelayed", endpointProxy, Delayed),
	proxyFault("endpointSilenced", endpointProxy, Silenced),
	proxyFault("callersReset", callersProxy, Resetting),
	proxyFault("callersCutBack", callersProxy, DroppingFromTarget),
	{"keyRotated", func(f *fleet, _ *node, _ time.Duration) error { f.teams.rotateKey(f.store, f.record); return nil }},
	{"routeAdded", func(f *fleet, _ *node, _ time.Duration) error { f.teams.addRoute(f.store, f.record); return nil }},
	{"endpointLeaves", func(f *fleet, n *node, d time.Duration) error {
		n.backend.Leave()
		time.Sleep(d + Promises.Drain)
		f.returnEndpoint(n)
		return nil
	}},
	{"endpointLeavesInAnswers", func(f *fleet, n *node, d time.Duration) error {
		n.backend.LeaveInAnswers()
		time.Sleep(d + Promises.Drain)
		f.returnEndpoint(n)
		return nil
	}},
	{"endpointLimited", func(f *fleet, n *node, d time.Duration) error {
		f.limitFor(d, n)
		return nil
	}},
	{"serviceLimited", func(f *fleet, n *node, d time.Duration) error {
		f.limitFor(d, f.nodesOf(n.service)...)
		return nil
	}},
}

// FaultNames returns the names of all faults.
func FaultNames() (names []string) {
	for _, f := range slices.Concat(faults, loadFaults, stopFaults, answerFaults, operatorFaults, fatalFaults) {
		names = append(names, f.name)
	}
	return names
}

// faultsBySequence returns the faults that each sequence draws from. Each of the later lists has a sequence of its own, since a longer list in the other sequences would change the plan of every seed.
func faultsBySequence(names []string) (sequences [][]fault) {
	for range generalSequences {
		sequences = append(sequences, selectedFaults(faults, names))
	}
	for _, others := range [][]fault{loadFaults, stopFaults, answerFaults, operatorFaults, fatalFaults} {
		sequences = append(sequences, selectedFaults(others, names))
	}
	return sequences
}

// selectedFaults returns the faults with the given names, all if none is given.
func selectedFaults(all []fault, names []string) (selected []fault) {
	for _, f := range all {
		if len(names) == 0 || slices.Contains(names, f.name) {
			selected = append(selected, f)
		}
	}
	return selected
}

func (f *fleet) nodesOf(service string) (nodes []*node) {
	for _, n := range f.nodes {
		if n.service == service {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

func (f *fleet) returnEndpoint(n *node) {
	n.backend.Return(func(at time.Time) {
		f.record.AddReturn(n.instance, at)
		f.record.AddStart(n.instance, at)
	})
}

// restartExclusively restarts a node unless a restart of it is already in progress.
func (n *node) restartExclusively(s syscall.Signal, pause time.Duration) error {
	return n.restartWhile(s, pause, func() {})
}

// restartWhile does the same, and something else meanwhile.
func (n *node) restartWhile(s syscall.Signal, pause time.Duration, meanwhile func()) error {
	if !n.restarting.CompareAndSwap(false, true) {
		return nil
	}
	defer n.restarting.Store(false)
	defer n.record.BeginExcuse(n.name)()
	// A paused process would not act on SIGTERM.
	n.signal(syscall.SIGCONT)
	return n.restart(s, pause, meanwhile)
}

func (f *fleet) killAll(pause time.Duration) error {
	var all sync.WaitGroup
	failed := make(chan error, len(f.nodes))
	for _, n := range f.nodes {
		all.Add(1)
		go func() {
			defer all.Done()
			failed <- n.restartExclusively(syscall.SIGKILL, pause)
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

func randomDuration(random *rand.Rand, minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(random.Int64N(int64(maximum-minimum)))
}

// runFaultSequence injects faults one after another until the context ends, and records each.
func (f *fleet) runFaultSequence(ctx context.Context, sequence uint64, kinds []fault, recordFault func(string)) error {
	random := rand.New(rand.NewPCG(f.options.Seed, sequence))
	started := time.Now()
	for ctx.Err() == nil {
		next := kinds[random.IntN(len(kinds))]
		n := f.nodes[random.IntN(len(f.nodes))]
		d := randomDuration(random, minFaultDuration, maxFaultDuration)
		recordFault(fmt.Sprintf("%5.2f s row %d %s %s %d ms", time.Since(started).Seconds(), sequence, next.name, n.name, d.Milliseconds()))
		if err := next.run(f, n, d); err != nil {
			return err
		}
		time.Sleep(randomDuration(random, minGap, maxGap))
	}
	return nil
}
