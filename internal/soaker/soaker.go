package soaker

// Starts the system under test, runs callers and faults against it, ends the faults, and checks the recorded requests.

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jackdawtide/jackdawtide/platform/standin"
)

const (
	// warmUp is the time from the start of the processes to the first request, recoveryTime how long callers continue
	// after the last fault.
	warmUp       = 3 * time.Second
	recoveryTime = 10 * time.Second
)

// Promises are the limits by which a soak is checked; the nodes are configured with the same values.
var Promises = Terms{
	Revoke: 5 * time.Second, Drain: 2 * time.Second, Window: 5 * time.Second, Excess: 0.1, Slack: 20,
	LimitWindow: 4 * time.Second, LimitReaction: 500 * time.Millisecond, Contact: 3 * time.Second, LimitExcess: 1.5, LimitSlack: 5,
	RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetrySlack: 50,
	MinRecoveredRatio: 0.95,
	Grace:             terminationGrace, LossSlack: 200 * time.Millisecond,
	ApplyWithin: 2 * time.Second, MaxStretch: 5 * time.Second, RollbackSlack: 250 * time.Millisecond,
	MaxEnds: 3,
}

// Run runs one soak and returns its report; an error means that the soak could not be completed.
func Run(ctx context.Context, o Options) (Report, error) {
	if err := o.check(); err != nil {
		return Report{}, err
	}
	f, end, err := startFleet(ctx, o)
	defer end()
	if err != nil {
		return Report{}, err
	}
	report := Report{Seed: o.Seed}
	stop := f.startCallers(ctx)
	measuring, stopMeasuring := context.WithCancel(ctx)
	defer stopMeasuring()
	go f.record.measureLateness(measuring)
	err = f.runAllFaultSequences(ctx, &report)
	f.endFaults()
	if err == nil {
		wait(ctx, recoveryTime)
	}
	stop()
	if err != nil {
		return report, err
	}
	report.Sent, report.Served, report.Runs = f.record.Counts()
	report.Breaches, report.MaxLateness = f.record.Judge(Promises), f.record.MaxLateness()
	return report, ctx.Err()
}

// startFleet starts the store, the nodes and their endpoints, and waits until they are ready; end ends them all.
func startFleet(ctx context.Context, o Options) (f *fleet, end func(), err error) {
	f = &fleet{options: o, record: NewRecord(), store: standin.NewStore(), teams: &teams{}}
	server := httptest.NewServer(f.store)
	f.storeURL = strings.TrimPrefix(server.URL, "http://")
	f.record.AddKey(steadyKey, "steady", 0, 0)
	f.record.AddKey(greedyKey, "greedy", greedyRate, greedyBurst)
	f.record.AddKey(probingKey, probingTeam, 0, 0)
	f.teams.rotateKey(f.store, f.record)
	if o.Probes {
		f.startOperators()
	}
	announcing, stopAnnouncing := context.WithCancel(ctx)
	end = func() {
		f.close()
		stopAnnouncing()
		server.CloseClientConnections()
		server.Close()
	}
	for i := range o.Nodes {
		if err := f.addNode(announcing, i); err != nil {
			return f, end, err
		}
	}
	time.Sleep(warmUp)
	return f, end, nil
}

// startCallers starts all callers; stop ends them and waits for their last answers.
func (f *fleet) startCallers(ctx context.Context) (stop func()) {
	calling, cancel := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i, n := range f.nodes {
		for caller := range callersPerNode {
			callers.Add(1)
			random := rand.New(rand.NewPCG(f.options.Seed, uint64(1000+i*callersPerNode+caller)))
			go func() {
				defer callers.Done()
				f.runCaller(calling, n, caller, f.interval(requestInterval), random, f.drawRequest)
			}()
		}
	}
	if f.options.Stays {
		for i, n := range f.nodes {
			f.startStayingCallers(calling, n, i, &callers)
		}
	}
	if f.options.Orders {
		for i, n := range f.nodes {
			f.startOrderingCaller(calling, n, i, &callers)
		}
	}
	if f.options.Probes {
		for i, n := range f.nodes {
			f.startProbing(calling, n, i, &callers)
		}
	}
	return func() {
		cancel()
		callers.Wait()
	}
}

// runAllFaultSequences runs all fault sequences concurrently.
func (f *fleet) runAllFaultSequences(ctx context.Context, report *Report) error {
	limited, cancel := context.WithTimeout(ctx, f.options.Length)
	defer cancel()
	var all sync.WaitGroup
	var mu sync.Mutex
	recordFault := func(line string) {
		mu.Lock()
		defer mu.Unlock()
		report.Faults = append(report.Faults, line)
	}
	sequences := faultsBySequence(f.options.Faults)
	failed := make([]error, len(sequences))
	for sequence, kinds := range sequences {
		if len(kinds) == 0 {
			continue
		}
		all.Add(1)
		go func() {
			defer all.Done()
			failed[sequence] = f.runFaultSequence(limited, uint64(sequence), kinds, recordFault)
		}()
	}
	all.Wait()
	return errors.Join(failed...)
}

// endFaults ends every fault that overlapping sequences may have left in place.
func (f *fleet) endFaults() {
	f.store.SetMode(standin.Healthy)
	f.store.SetQuirk(standin.NoQuirk)
	for _, n := range f.nodes {
		n.signal(syscall.SIGCONT)
		f.returnEndpoint(n)
		f.liftLimit(n)
		for _, p := range []*Proxy{n.store, n.endpoint, n.callers} {
			p.Set(Passing)
		}
	}
	f.record.SetFaultsEnded(time.Now())
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
