// One command measures all slopes from which docs/CAPACITY.md is calculated. Each series varies one variable and
// keeps the others constant, so that a cost that grows with the fleet is seen while the fleet is still small.
//
// Example: jackdawtide measure slopes --format json > docs/results/slopes.jsonl

package measurer

import (
	"context"
	"fmt"
	"io"
)

// plan is one or several series that are measured together.
type plan struct {
	variable string
	xs       []int
	// series holds name and unit of each value that measure returns, in order.
	series  [][2]string
	measure func(ctx context.Context, x int) ([]float64, error)
}

// Slopes measures all series and writes points, fits and the target check, one JSON object a line.
func Slopes(ctx context.Context, out io.Writer, seed uint64) error {
	plans := append(memoryPlans(), bytePlans()...)
	plans = append(plans, fleetPlans(seed)...)
	plans = append(plans, burstPlans(seed)...)
	plans = append(plans, wirePlans()...)
	for _, p := range plans {
		if err := p.run(ctx, out); err != nil {
			return err
		}
	}
	return checkTargetMemory(out)
}

func (p plan) run(ctx context.Context, out io.Writer) error {
	all := make([]Series, len(p.series))
	for i, s := range p.series {
		all[i] = Series{Name: s[0], Variable: p.variable, Unit: s[1]}
	}
	for _, x := range p.xs {
		if err := ctx.Err(); err != nil {
			return err
		}
		ys, err := p.measure(ctx, x)
		if err != nil {
			return fmt.Errorf("%s at %d %s: %w", p.series[0][0], x, p.variable, err)
		}
		for i, y := range ys {
			all[i].Points = append(all[i].Points, Point{X: float64(x), Y: y})
		}
	}
	for _, s := range all {
		if err := writeSeries(out, s); err != nil {
			return err
		}
	}
	return nil
}

func memoryPlan(name, variable string, fill func(int) any, xs ...int) plan {
	return plan{
		variable: variable, xs: xs, series: [][2]string{{"memory." + name, "B"}},
		measure: func(_ context.Context, x int) ([]float64, error) {
			return []float64{heapUsedBy(func() any { return fill(x) })}, nil
		},
	}
}

func memoryPlans() []plan {
	return []plan{
		memoryPlan("ownMembers", "members of the own domain", fillOwnMembers, 60, 120, 240, 482),
		memoryPlan("remoteMembers", "members of other domains, at a relay", fillRemoteMembers, 600, 1200, 2400, 4820),
		memoryPlan("followed", "endpoints of services called", fillEndpointsCalled, 50, 100, 200, 400),
		memoryPlan("purses", "teams calling through the node", fillPurses, 100, 200, 400, 800),
		memoryPlan("banks", "teams whose banks the node keeps", fillBanks, 50, 100, 200, 400),
		memoryPlan("keys", "keys", fillKeys, 1000, 2000, 4000, 8000),
		memoryPlan("services", "services in the preset", fillPreset, 80, 160, 320, 630),
		memoryPlan("ids", "idempotency ids kept", fillIDs, 2000, 5000, 10000, 20000),
		memoryPlan("calls", "calls under way", fillCalls, 200, 400, 800, 1600),
	}
}

func bytePlan(name, variable string, of func(int) (float64, error), xs ...int) plan {
	return plan{
		variable: variable, xs: xs, series: [][2]string{{"bytes." + name, "B"}},
		measure: func(_ context.Context, x int) ([]float64, error) {
			y, err := of(x)
			return []float64{y}, err
		},
	}
}

func bytePlans() []plan {
	return []plan{
		bytePlan("ping", "member records", pingBytes, 0, 2, 4, 8),
		bytePlan("subscription", "member records", subscriptionBytes, 8, 16, 32, 64),
		bytePlan("joinAnswer", "members of the own domain", joinAnswerBytes, 60, 120, 240, 482),
		bytePlan("preset", "services in the preset", presetBytes, 80, 160, 320, 630),
		bytePlan("presetTeams", "teams in the preset", presetTeamBytes, 8, 50, 100, 200),
		bytePlan("tail", "key records", tailBytes, 1, 10, 50, 100),
		bytePlan("ask", "slices returned", askBytes, 0, 1, 2, 4),
		bytePlan("report", "body bytes", reportBytes, 0, 300, 3000, 30000),
	}
}

// fleetPlan measures messages, bytes, processor time and appends of a workload, and the traffic of the busiest node,
// which is a relay.
func fleetPlan(name, variable string, seed uint64, of func(x int) workload, xs ...int) plan {
	return plan{
		variable: variable, xs: xs,
		series: [][2]string{
			{"traffic." + name + ".messages", "1/s"},
			{"traffic." + name + ".bytes", "B/s"},
			{"traffic." + name + ".busiest", "B/s"},
			{"traffic." + name + ".busiestMessages", "1/s"},
			{"cpu." + name, "ns/s"},
			{"appends." + name, "1/h"},
		},
		measure: func(ctx context.Context, x int) ([]float64, error) {
			o, err := of(x).simulate(ctx, seed)
			appends := 0
			for _, n := range o.appends {
				appends += n
			}
			return []float64{
				o.mean.messages, o.mean.bytes, o.busiest.bytes, o.busiest.messages, o.cpu,
				float64(appends) * 3600 / max(o.seconds, 1),
			}, err
		},
	}
}

func fleetPlans(seed uint64) []plan {
	return []plan{
		fleetPlan("nodes", "nodes a domain, 3 domains", seed,
			func(x int) workload { return workload{domains: 3, nodes: x} }, 10, 20, 40, 80),
		fleetPlan("domains", "domains of 8 nodes", seed,
			func(x int) workload { return workload{domains: x, nodes: 8} }, 2, 4, 7, 11),
		fleetPlan("changes", "changes a minute, 3 domains of 20", seed,
			func(x int) workload { return workload{domains: 3, nodes: 20, changesPerMinute: x} }, 0, 30, 60, 120),
		fleetPlan("churn", "nodes replaced a minute, 3 domains of 20", seed,
			func(x int) workload { return workload{domains: 3, nodes: 20, replacementsPerMinute: x} }, 0, 4, 8, 16),
		fleetPlan("services", "services called by each node, 3 domains of 20", seed,
			func(x int) workload { return workload{domains: 3, nodes: 20, services: x, teams: 1, calls: 10} }, 1, 4, 8, 16),
		fleetPlan("teams", "teams with 10 calls a second each at each node, 3 domains of 10", seed,
			func(x int) workload { return workload{domains: 3, nodes: 10, services: 1, teams: x, calls: 10 * x} }, 1, 2, 4, 8),
		fleetPlan("holders", "nodes a domain, 3 domains, 4 teams with 10 calls a second each at each node", seed,
			func(x int) workload { return workload{domains: 3, nodes: x, services: 1, teams: 4, calls: 40} }, 5, 10, 20, 40),
		fleetPlan("calls", "calls a second and node of one team, 3 domains of 10", seed,
			func(x int) workload { return workload{domains: 3, nodes: 10, services: 1, teams: 1, calls: x} }, 40, 80, 160, 360),
		fleetPlan("bookings", "calls with an idempotency id a second and node, 3 domains of 10", seed,
			func(x int) workload { return workload{domains: 3, nodes: 10, services: 1, teams: 4, bookings: x} }, 10, 20, 40, 80),
	}
}

func wirePlans() []plan {
	return []plan{
		{
			variable: "encoded bytes of a control message", xs: []int{64, 256, 1024, 4096},
			series: [][2]string{{"wire.message", "B"}, {"cpu.message", "ns"}},
			measure: func(ctx context.Context, x int) ([]float64, error) {
				wire, cpu, err := messageCost(ctx, x)
				return []float64{wire, cpu}, err
			},
		},
		{
			variable: "connections of one node, both ends in one process", xs: []int{4, 8, 16, 32},
			series: [][2]string{
				{"wire.dials", "B"}, {"cpu.dials", "ns"}, {"memory.links", "B"}, {"wire.links", "B/s"},
			},
			measure: func(ctx context.Context, x int) ([]float64, error) {
				c, err := connectionsCost(ctx, x)
				return []float64{c.dialBytes, c.dialTime, c.heap, c.idleBytes}, err
			},
		},
		{
			variable: "hops in the chain", xs: []int{1, 2, 5, 10, 21},
			series: [][2]string{{"latency.p50", "µs"}, {"latency.p99", "µs"}, {"cpu.chain", "µs"}},
			measure: func(ctx context.Context, x int) ([]float64, error) {
				p50, p99, cpu, err := chainCost(ctx, x)
				return []float64{p50, p99, cpu}, err
			},
		},
	}
}
