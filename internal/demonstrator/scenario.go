// The steps of the demo in order. A step acts on the fleet and records times; whether the promises held is checked
// afterwards, in promises.go.
//
// Example: Run(ctx, "kitakaze") takes about 25 seconds and returns a Report.

package demonstrator

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/inspector"
	"github.com/jackdawtide/jackdawtide/internal/launcher"
	"github.com/jackdawtide/jackdawtide/internal/responder"
)

// The lengths of the demo's steps.
const (
	// warmUp brings a new fleet to a steady state: its banks start empty, and requests with idempotency ids created
	// just before the ids' owner took over are answered as unknown.
	warmUp          = 2 * time.Second
	steadyLength    = 2 * time.Second
	changeLength    = 1500 * time.Millisecond
	drainSettleTime = 2 * time.Second
	drainLength     = 1500 * time.Millisecond
	overloadLength  = 4 * time.Second
	settleLength    = 1500 * time.Millisecond
	recoveryLength  = 1500 * time.Millisecond
	pollInterval    = 100 * time.Millisecond
	// slowServiceTime is the service time of the overloaded service, which is usually 4 ms.
	slowServiceTime = 60 * time.Millisecond
)

// The upload takes some seconds, so that its node is stopped in the middle of it.
const (
	uploadPartCount    = 24
	uploadPartBytes    = 64 << 10
	uploadPartInterval = 100 * time.Millisecond
	stopDelay          = 800 * time.Millisecond
)

type scenario struct {
	fleet        *launcher.Fleet
	plan         launcher.Plan
	workload     workload
	callers      *callers
	backends     []*responder.Server
	slowBackends []*responder.Server

	mu         sync.Mutex
	audit      audit
	background sync.WaitGroup
}

// Run launches a scaled-down fleet of the deployment, runs the workload and the steps on it, and checks the promises.
func Run(ctx context.Context, deployment string) (Report, error) {
	plan, err := launcher.PlanOf(deployment)
	if err != nil {
		return Report{}, err
	}
	fleet, err := launcher.Start(ctx, launcher.Options{Plan: plan, Seed: 1})
	if err != nil {
		return Report{}, err
	}
	defer fleet.Close()
	if err := pause(ctx, warmUp); err != nil {
		return Report{}, err
	}
	s := &scenario{fleet: fleet, plan: plan, workload: workloadOf(deployment)}
	if err := s.execute(ctx); err != nil {
		return Report{}, err
	}
	return newReport(plan, s.audit), nil
}

func (s *scenario) execute(ctx context.Context) error {
	nodeURLs := make([]string, 0, len(s.fleet.Members))
	for _, m := range s.fleet.Members {
		nodeURLs = append(nodeURLs, m.CallerURL())
		s.backends = append(s.backends, m.Backend)
		if m.Service.Name == string(s.workload.slowService) {
			s.slowBackends = append(s.slowBackends, m.Backend)
		}
	}
	s.callers = newCallers(s.fleet.Keys, nodeURLs)
	s.callers.preset.Store(&s.plan.Presets[0])
	s.audit.flooding, s.audit.withdrawn = s.workload.flooding, s.workload.withdrawn
	traffic, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	for _, st := range s.workload.streams {
		s.callers.run(traffic, st)
	}
	s.background.Go(func() { s.pollVersions(traffic) })
	err := s.steps(ctx)
	stopTraffic()
	s.callers.wait()
	s.background.Wait()
	s.collectRecords()
	return err
}

func (s *scenario) steps(ctx context.Context) error {
	for _, step := range []func(context.Context) error{
		func(ctx context.Context) error { return pause(ctx, steadyLength) },
		func(ctx context.Context) error { s.callers.setPhase(changes); return s.switchTo(ctx, 1) },
		s.withdraw,
		s.drainAndStop,
		func(ctx context.Context) error { return s.switchTo(ctx, 0) },
		s.overload,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (s *scenario) switchTo(ctx context.Context, preset int) error {
	p := &s.plan.Presets[preset]
	v, err := s.fleet.Switch(ctx, p.Name)
	if err != nil {
		return err
	}
	s.audit.switches = append(s.audit.switches, change{at: s.callers.now(), version: v})
	s.callers.preset.Store(p)
	return pause(ctx, changeLength)
}

func (s *scenario) withdraw(ctx context.Context) error {
	if err := s.fleet.Withdraw(ctx, s.fleet.Keys[s.workload.withdrawn]); err != nil {
		return err
	}
	s.audit.withdrawnAt = s.callers.now()
	return nil
}

// drainAndStop drains one backend server, stops the node of another VM during an upload, and replaces the drained
// backend server.
func (s *scenario) drainAndStop(ctx context.Context) error {
	s.background.Go(func() { s.uploadThroughStop(ctx) })
	m, err := s.member(s.workload.drained)
	if err != nil {
		return err
	}
	d := &s.audit.drain
	leaving := m.Backend
	d.before = leaving.Arrived()
	if err := leaving.Drain(ctx); err != nil {
		d.failure = err.Error()
	}
	if !clock.Sleep(ctx, drainSettleTime) {
		return ctx.Err()
	}
	d.settled = leaving.Arrived()
	if !clock.Sleep(ctx, drainLength) {
		return ctx.Err()
	}
	d.end = leaving.Arrived()
	if err := s.fleet.StartBackend(ctx, m); err != nil {
		return err
	}
	s.backends = append(s.backends, m.Backend)
	return nil
}

func (s *scenario) member(name string) (*launcher.Member, error) {
	for _, m := range s.fleet.Members {
		if m.Name == name {
			return m, nil
		}
	}
	return nil, fmt.Errorf("demo: no VM %q in the plan", name)
}

func (s *scenario) overload(ctx context.Context) error {
	s.callers.setPhase(overload)
	usual := make(map[*responder.Server]time.Duration)
	for _, m := range s.fleet.Members {
		usual[m.Backend] = m.Service.ServiceTime
	}
	for _, b := range s.slowBackends {
		b.SetServiceTime(slowServiceTime)
	}
	err := pause(ctx, overloadLength)
	for _, b := range s.slowBackends {
		b.SetServiceTime(usual[b])
	}
	if err != nil {
		return err
	}
	s.callers.setPhase(settling)
	if !clock.Sleep(ctx, settleLength) {
		return ctx.Err()
	}
	s.callers.setPhase(recovered)
	return pause(ctx, recoveryLength)
}

// pollVersions polls every node for the version in force at it.
func (s *scenario) pollVersions(ctx context.Context) {
	var group sync.WaitGroup
	for _, m := range s.fleet.Members {
		c, err := inspector.NewClient(m.AdminURL(), http.DefaultClient)
		if err != nil {
			continue
		}
		group.Go(func() { s.pollNode(ctx, m.Name, c) })
	}
	group.Wait()
}

func (s *scenario) pollNode(ctx context.Context, name string, c *inspector.Client) {
	for pause(ctx, pollInterval) == nil {
		st, err := c.Status(ctx)
		if err != nil {
			continue
		}
		s.mu.Lock()
		s.audit.versionSamples = append(s.audit.versionSamples, versionSample{
			node: name, at: s.callers.now(), version: identifier.Version(st.Self.Version),
		})
		s.mu.Unlock()
	}
}

// collectRecords copies the records of callers and backend servers into the audit.
func (s *scenario) collectRecords() {
	a := &s.audit
	a.outcomes = s.callers.outcomes
	a.duration = s.callers.now()
	a.runs = make(map[string]int)
	for _, b := range s.backends {
		for id, n := range b.Runs() {
			a.runs[id] += n
		}
		if b.SawKey() {
			a.keySeen = append(a.keySeen, b.Address())
		}
	}
	a.limits = make(map[identifier.Team]limit)
	for _, p := range s.plan.Presets[:2] {
		a.retryAllowance = max(a.retryAllowance, int(p.RetryAllowance))
		for _, t := range p.Teams {
			l := a.limits[t.Name]
			l.rate = max(l.rate, float64(t.Rate)/float64(identifier.TokensPerCall))
			l.burst = max(l.burst, float64(t.Burst)/float64(identifier.TokensPerCall))
			a.limits[t.Name] = l
		}
	}
}

// pause is clock.Sleep for steps that return an error.
func pause(ctx context.Context, d time.Duration) error {
	clock.Sleep(ctx, d)
	return ctx.Err()
}
