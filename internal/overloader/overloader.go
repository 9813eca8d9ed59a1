// One run takes a scenario through every policy with the same arrivals. The policies run one after the other, so that
// none takes processor time from another.
//
// Example: Run(ctx, Options{Deployment: "kitakaze", Seed: 1}, report) reports one Figures for each scenario and policy.

package overloader

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/responder"
)

// The policies of one's own and of the ideal, beside the baselines.
const (
	OwnPolicy   = "jackdawtide"
	IdealPolicy = "ideal"
)

// Options say what to measure.
type Options struct {
	Deployment string
	Seed       uint64
	// Scenarios and Policies limit the run; empty means all.
	Scenarios []string
	Policies  []string
	// Plot is a folder for one picture a scenario; empty draws none.
	Plot string
}

// Names returns the names of all scenarios and of all policies.
func Names() (scenarioNames, policyNames []string) {
	for _, s := range scenarios {
		scenarioNames = append(scenarioNames, s.name)
	}
	policyNames = append(policyNames, OwnPolicy)
	for _, p := range protections {
		policyNames = append(policyNames, p.name)
	}
	return scenarioNames, append(policyNames, IdealPolicy)
}

// Run measures and reports each set of figures as it is known.
func Run(ctx context.Context, o Options, report func(Figures) error) error {
	s, err := shapeOf(o.Deployment)
	if err != nil {
		return err
	}
	one, err := calibrate(ctx, o.Seed)
	if err != nil {
		return fmt.Errorf("measure the capacity: %w", err)
	}
	s.measured = one * deepEndpoints
	for _, sc := range scenarios {
		if !wanted(o.Scenarios, sc.name) {
			continue
		}
		if err := runScenario(ctx, o, s, sc.fill(), report); err != nil {
			return fmt.Errorf("scenario %s: %w", sc.name, err)
		}
	}
	return nil
}

func wanted(list []string, name string) bool {
	return len(list) == 0 || slices.Contains(list, name)
}

func runScenario(ctx context.Context, o Options, s shape, sc scenario, report func(Figures) error) error {
	t := times{before: beforeTime, trigger: triggerTime, after: afterTime}
	list := s.arrivals(sc, t, o.Seed)
	curves := make(map[string][]result)
	for _, p := range policies() {
		if !wanted(o.Policies, p.name) {
			continue
		}
		results, attempts, err := runPolicy(ctx, p, s, sc, t, list, o.Seed)
		if err != nil {
			return fmt.Errorf("policy %s: %w", p.name, err)
		}
		curves[p.name] = results
		a := account{scenario: sc, shape: s, times: t, results: results, attempts: attempts}
		if err := report(a.figures(p.name, o.Seed)); err != nil {
			return err
		}
	}
	if wanted(o.Policies, IdealPolicy) {
		if err := report(idealFigures(s, sc, t, list, o.Seed)); err != nil {
			return err
		}
	}
	if o.Plot == "" {
		return nil
	}
	return plotScenario(o.Plot, s, sc, t, list, curves)
}

// policy makes a system for one scenario.
type policy struct {
	name string
	make func(ctx context.Context, s shape, sc scenario, seed uint64) (system, error)
}

func policies() []policy {
	list := []policy{{name: OwnPolicy, make: newControlled}}
	for _, p := range protections {
		list = append(list, policy{name: p.name, make: func(_ context.Context, s shape, _ scenario, seed uint64) (system, error) {
			return newMesh(s, p, seed)
		}})
	}
	return list
}

func runPolicy(ctx context.Context, p policy, s shape, sc scenario, t times, list []arrival, seed uint64) ([]result, float64, error) {
	sys, err := p.make(ctx, s, sc, seed)
	if err != nil {
		return nil, 0, err
	}
	defer sys.close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		disturb(ctx, sys, sc, t)
	}()
	results := run(ctx, list, sc.hardRetries, sys.send)
	<-done
	return results, sys.attemptsPerRequest(), ctx.Err()
}

// disturb makes the scenario's fault begin and end.
func disturb(ctx context.Context, sys system, sc scenario, t times) {
	start := time.Now()
	if !clock.SleepUntil(ctx, start.Add(t.before)) {
		return
	}
	if sc.restart {
		sys.restart(ctx)
		return
	}
	deep := sys.deep()
	slowDown(deep, sc.slow)
	if sc.slowOne > 1 {
		slowDown(deep[:1], sc.slowOne)
		deep[0].SetReportedLoad(0)
	}
	clock.SleepUntil(ctx, start.Add(t.before+t.trigger))
	slowDown(deep, 1)
	deep[0].SetReportedLoad(-1)
}

func slowDown(list []*responder.Server, factor float64) {
	for _, s := range list {
		s.SetServiceTime(time.Duration(factor * float64(deepServiceTime)))
	}
}

// idealFigures are what a policy with perfect knowledge would reach: each team its entitlement, nothing wasted.
func idealFigures(s shape, sc scenario, t times, list []arrival, seed uint64) Figures {
	a := account{scenario: sc, shape: s, times: t}
	for _, v := range list {
		a.results = append(a.results, result{arrival: v, answered: true})
	}
	f := Figures{
		Scenario:           sc.name,
		Policy:             IdealPolicy,
		Deployment:         s.deployment,
		Seed:               seed,
		Capacity:           s.capacity(),
		UrgentFits:         sum(a.offered(&urgentClass)) <= sc.capacity(s.capacity()),
		WithinRateFits:     sum(a.demands()) <= sc.capacity(s.capacity()),
		Offered:            len(a.inTrigger()),
		Answered:           int(a.ideal()),
		GoodputRatio:       1,
		WorstTeamRatio:     1,
		UrgentServedRatio:  1,
		AttemptsPerRequest: 1,
	}
	return f
}
