// A run plays each scenario with every policy and the same arrivals. The policies run one after the other, so that they
// don't compete for processor time.
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

// ProductPolicy is this product and IdealPolicy a calculated upper bound; all other policies are baselines.
const (
	ProductPolicy = "jackdawtide"
	IdealPolicy   = "ideal"
)

// Options say what to measure.
type Options struct {
	Deployment string
	Seed       uint64
	// Scenarios and Policies limit the run; empty means all.
	Scenarios []string
	Policies  []string
	// Plot is the folder for one plot of each scenario; empty means no plots.
	Plot string
}

// Names returns the names of all scenarios and of all policies.
func Names() (scenarioNames, policyNames []string) {
	for _, s := range scenarios {
		scenarioNames = append(scenarioNames, s.name)
	}
	policyNames = append(policyNames, ProductPolicy)
	for _, p := range protections {
		policyNames = append(policyNames, p.name)
	}
	return scenarioNames, append(policyNames, IdealPolicy)
}

// Run measures the selected scenarios with the selected policies and reports the figures of each pair when it has ended.
func Run(ctx context.Context, o Options, report func(Figures) error) error {
	s, err := shapeOf(o.Deployment)
	if err != nil {
		return err
	}
	endpointCapacity, err := measureEndpointCapacity(ctx, o.Seed)
	if err != nil {
		return fmt.Errorf("measure the capacity of the deep service: %w", err)
	}
	s.measuredCapacity = endpointCapacity * deepEndpoints
	for _, sc := range scenarios {
		if !isSelected(o.Scenarios, sc.name) {
			continue
		}
		if err := runScenario(ctx, o, s, sc.withDefaults(), report); err != nil {
			return fmt.Errorf("scenario %s: %w", sc.name, err)
		}
	}
	return nil
}

func isSelected(list []string, name string) bool {
	return len(list) == 0 || slices.Contains(list, name)
}

func runScenario(ctx context.Context, o Options, s shape, sc scenario, report func(Figures) error) error {
	t := phases{before: beforeTime, trigger: triggerTime, after: afterTime}
	list := s.arrivals(sc, t, o.Seed)
	curves := make(map[string][]result)
	for _, p := range policies() {
		if !isSelected(o.Policies, p.name) {
			continue
		}
		results, attemptsPerRequest, err := runPolicy(ctx, p, s, sc, t, list, o.Seed)
		if err != nil {
			return fmt.Errorf("policy %s: %w", p.name, err)
		}
		curves[p.name] = results
		a := evaluation{scenario: sc, shape: s, phases: t, results: results, attemptsPerRequest: attemptsPerRequest}
		if err := report(a.figures(p.name, o.Seed)); err != nil {
			return err
		}
	}
	if isSelected(o.Policies, IdealPolicy) {
		if err := report(idealFigures(s, sc, t, list, o.Seed)); err != nil {
			return err
		}
	}
	if o.Plot == "" {
		return nil
	}
	return plotScenario(o.Plot, s, sc, t, list, curves)
}

// policy is a named way to build the system that a scenario runs against.
type policy struct {
	name      string
	newSystem func(ctx context.Context, s shape, sc scenario, seed uint64) (system, error)
}

func policies() []policy {
	list := []policy{{name: ProductPolicy, newSystem: newNodeFleet}}
	for _, p := range protections {
		list = append(list, policy{name: p.name, newSystem: func(_ context.Context, s shape, _ scenario, seed uint64) (system, error) {
			return newBaseline(s, p, seed)
		}})
	}
	return list
}

func runPolicy(ctx context.Context, p policy, s shape, sc scenario, t phases, list []arrival, seed uint64) ([]result, float64, error) {
	sys, err := p.newSystem(ctx, s, sc, seed)
	if err != nil {
		return nil, 0, err
	}
	defer sys.close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		injectFault(ctx, sys, sc, t)
	}()
	results := offerLoad(ctx, list, sc.immediateRetries, sys.send)
	<-done
	return results, sys.attemptsPerRequest(), ctx.Err()
}

// injectFault starts the scenario's fault at the beginning of the trigger and ends it with the trigger.
func injectFault(ctx context.Context, sys system, sc scenario, t phases) {
	start := time.Now()
	if !clock.SleepUntil(ctx, start.Add(t.before)) {
		return
	}
	if sc.rollingRestart {
		sys.restart(ctx)
		return
	}
	servers := sys.deepServers()
	scaleServiceTime(servers, sc.slowFactor)
	if sc.slowEndpointFactor > 1 {
		scaleServiceTime(servers[:1], sc.slowEndpointFactor)
		servers[0].SetReportedLoad(0)
	}
	clock.SleepUntil(ctx, start.Add(t.before+t.trigger))
	scaleServiceTime(servers, 1)
	servers[0].SetReportedLoad(-1)
}

func scaleServiceTime(list []*responder.Server, factor float64) {
	for _, s := range list {
		s.SetServiceTime(time.Duration(factor * float64(deepServiceTime)))
	}
}

// idealFigures returns what a policy with perfect knowledge would reach: each team gets its entitlement, and no capacity
// is wasted.
func idealFigures(s shape, sc scenario, t phases, list []arrival, seed uint64) Figures {
	a := evaluation{scenario: sc, shape: s, phases: t}
	for _, v := range list {
		a.results = append(a.results, result{arrival: v, answered: true})
	}
	f := Figures{
		Scenario:           sc.name,
		Policy:             IdealPolicy,
		Deployment:         s.deployment,
		Seed:               seed,
		Capacity:           s.capacity(),
		UrgentFits:         sum(a.offered(&urgentPriority)) <= sc.capacity(s.capacity()),
		WithinRateFits:     sum(a.demands()) <= sc.capacity(s.capacity()),
		Offered:            len(a.inTrigger()),
		Answered:           int(a.idealAnswered()),
		GoodputRatio:       1,
		WorstTeamRatio:     1,
		UrgentServedRatio:  1,
		AttemptsPerRequest: 1,
	}
	return f
}
