package soaker

// Run puts the system together, lets callers and faults loose on it, calms down, and judges.

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
	// warmUp is the time from the start of the processes to the first request, calmEnd how long callers go on after the
	// last fault.
	warmUp       = 3 * time.Second
	recoveryTime = 10 * time.Second
)

// Promises are the terms by which a soak is judged; nodes are told the same figures.
var Promises = Terms{
	Revoke: 5 * time.Second, Drain: 2 * time.Second, Window: 5 * time.Second, Excess: 0.1, Slack: 20, RecoveredPart: 0.95,
}

// Run plays one soak and returns what was seen; an error means that it could not be played.
func Run(ctx context.Context, o Options) (Report, error) {
	if err := o.check(); err != nil {
		return Report{}, err
	}
	f := &fleet{options: o, record: NewRecord(), store: standin.NewStore(), teams: &teams{}}
	server := httptest.NewServer(f.store)
	defer server.Close()
	defer server.CloseClientConnections()
	f.storeURL = strings.TrimPrefix(server.URL, "http://")
	f.record.Issued(steadyKey, "steady", 0, 0)
	f.record.Issued(greedyKey, "greedy", greedyRate, greedyBurst)
	f.teams.rotateKey(f.store, f.record)
	announcing, stopAnnouncing := context.WithCancel(ctx)
	defer stopAnnouncing()
	defer f.close()
	for i := range o.Nodes {
		if err := f.addNode(announcing, i); err != nil {
			return Report{}, err
		}
	}
	time.Sleep(warmUp)
	report := Report{Seed: o.Seed}
	stop := f.startCallers(ctx)
	err := f.runAllFaultSequences(ctx, &report)
	f.endFaults()
	if err == nil {
		wait(ctx, recoveryTime)
	}
	stop()
	if err != nil {
		return report, err
	}
	report.Sent, report.Served, report.Runs = f.record.Counts()
	report.Breaches = f.record.Judge(Promises)
	return report, ctx.Err()
}

// startCallers returns what stops the callers and waits for their last answers.
func (f *fleet) startCallers(ctx context.Context) (stop func()) {
	calling, cancel := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i, n := range f.nodes {
		for caller := range callersPerNode {
			callers.Add(1)
			random := rand.New(rand.NewPCG(f.options.Seed, uint64(1000+i*callersPerNode+caller)))
			go func() {
				defer callers.Done()
				f.runCaller(calling, n, caller, random)
			}()
		}
	}
	return func() {
		cancel()
		callers.Wait()
	}
}

// runAllFaultSequences runs all rows of faults side by side.
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
	failed := make([]error, faultSequences)
	for sequence := range faultSequences {
		all.Add(1)
		go func() {
			defer all.Done()
			failed[sequence] = f.runFaultSequence(limited, uint64(sequence), recordFault)
		}()
	}
	all.Wait()
	return errors.Join(failed...)
}

// endFaults ends every fault that overlapping rows may have left behind.
func (f *fleet) endFaults() {
	f.store.SetMode(standin.Sound)
	for _, n := range f.nodes {
		n.signal(syscall.SIGCONT)
		f.returnEndpoint(n)
		for _, p := range []*Proxy{n.store, n.endpoint, n.callers} {
			p.Set(Passing)
		}
	}
	f.record.FaultsEnded(time.Now())
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
