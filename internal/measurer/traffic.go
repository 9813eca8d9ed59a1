// A workload is the activity of a fleet while its traffic is counted: endpoints, calls, changes by operators and
// replaced VMs. Each is one number, so that a series can vary one of them and keep the others constant.
//
// Example: workload{domains: 3, nodes: 20, changesPerMinute: 12} is 60 nodes without calls and with 12 changes a minute.

package measurer

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/configurer"
	"github.com/jackdawtide/jackdawtide/internal/definer"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/reducer"
)

const (
	warmUpTime = 45 * clock.Second
	settleTime = 8 * clock.Second
	countTime  = 20 * clock.Second
	// workloadServices is the number of services of a measured fleet.
	workloadServices = 20
	presetName       = "ordinary"
)

// workload is the size and activity of a fleet; nodes are per domain.
type workload struct {
	domains, nodes int
	// changesPerMinute and replacementsPerMinute are for the whole fleet.
	changesPerMinute, replacementsPerMinute int
	// services is how many services each node calls, teams how many teams send calls to each node.
	services, teams int
	// calls and bookings are calls per node and second, without and with an idempotency id.
	calls, bookings int
}

// outcome is the measured cost of a workload.
type outcome struct {
	mean, busiest load
	// cpu is the processor time of one node per second, in nanoseconds.
	cpu     float64
	appends map[string]int
	// seconds is the simulated time for which traffic was counted.
	seconds float64
	nodes   int
	// bytes and messages are sums by type over all nodes.
	bytes, messages map[string]int
}

func (s workload) simulate(ctx context.Context, seed uint64) (outcome, error) {
	f := newFleet(s.domains, s.nodes, seed)
	f.publish(max(s.teams, 1))
	f.run(warmUpTime)
	for i, m := range f.members {
		f.announce(m, i)
	}
	s.runFor(ctx, f, settleTime)
	f.startCounting()
	start := processorTime()
	s.runFor(ctx, f, countTime)
	if f.err == nil {
		f.err = ctx.Err()
	}
	return f.outcome(processorTime() - start), f.err
}

func (f *fleet) outcome(spent time.Duration) outcome {
	o := outcome{
		appends: f.appends, nodes: len(f.members), seconds: float64(f.now.Sub(f.countingSince)) / float64(clock.Second),
		bytes: map[string]int{}, messages: map[string]int{},
	}
	o.mean, o.busiest = f.loads()
	o.cpu = float64(spent.Nanoseconds()) / float64(o.nodes) / o.seconds
	for _, m := range f.members {
		for kind, n := range m.bytesByType {
			o.bytes[kind] += n
		}
		for kind, n := range m.messagesByType {
			o.messages[kind] += n
		}
	}
	return o
}

// runFor runs the fleet in steps of a tenth of a second, and triggers the events due in each step.
func (s workload) runFor(ctx context.Context, f *fleet, d clock.Duration) {
	const tenth = 100 * clock.Millisecond
	for n := 0; n < int(d/tenth) && f.err == nil && ctx.Err() == nil; n++ {
		for range dueEvents(n, s.changesPerMinute, 600) {
			f.issueKey(fmt.Sprintf("%064x", len(f.log)))
		}
		for range dueEvents(n, s.replacementsPerMinute, 600) {
			f.replaceNode()
		}
		if n%10 == 0 {
			f.heartbeats()
		}
		for i, m := range f.members {
			s.sendDueCalls(f, m, i, n)
		}
		f.run(tenth)
	}
}

// dueEvents returns how many of rate events, spread evenly over a span of the given number of parts, fall into part n.
func dueEvents(n, rate, parts int) int {
	return (n+1)*rate/parts - n*rate/parts
}

func (s workload) sendDueCalls(f *fleet, m *member, i, n int) {
	for j := range dueEvents(n, s.calls, 10) {
		f.call(m, (i+j)%max(s.teams, 1), (i+n+j)%max(s.services, 1), false)
	}
	for j := range dueEvents(n, s.bookings, 10) {
		f.call(m, (i+j)%max(s.teams, 1), (i+n+j)%max(s.services, 1), true)
	}
}

func (f *fleet) publish(teams int) {
	p := presetOf(workloadServices, teams, f.domains())
	f.append(configurer.PublishPreset{Change: f.change(), Preset: p})
	f.append(configurer.SwitchPreset{Change: f.change(), Preset: p.Name})
	for i := range teams {
		f.issueTeamKey(keyOf(i), teamName(i))
	}
}

func (f *fleet) domains() []identifier.FailureDomain {
	seen := map[identifier.FailureDomain]bool{}
	var list []identifier.FailureDomain
	for _, m := range f.members {
		if !seen[m.domain] {
			seen[m.domain] = true
			list = append(list, m.domain)
		}
	}
	return list
}

func (f *fleet) change() configurer.Change {
	id := configurer.ChangeID(fmt.Sprintf("0192f0c1-7c1e-7d5b-9b8e-%012x", len(f.log)))
	return configurer.Change{ID: id, Operator: "operator@example.org", Wall: f.wall()}
}

func (f *fleet) issueKey(hash string) {
	f.issueTeamKey(identifier.KeyHash(hash), teamName(0))
}

func (f *fleet) issueTeamKey(hash identifier.KeyHash, t identifier.Team) {
	key := definer.Key{Hash: hash, Team: t, Label: "issued for a measurement", Issued: f.wall()}
	f.append(configurer.IssueKey{Change: f.change(), Key: key})
}

func keyOf(team int) identifier.KeyHash {
	return identifier.KeyHash(fmt.Sprintf("%064d", team))
}

func teamName(i int) identifier.Team {
	return identifier.Team(fmt.Sprintf("team-of-medium-name-%04d", i))
}

func serviceName(i int) identifier.Service {
	return identifier.Service(fmt.Sprintf("service-%03d", i))
}

// presetOf returns a preset with four routes a service.
func presetOf(services, teams int, domains []identifier.FailureDomain) definer.Preset {
	p := definer.Preset{Name: presetName, RetryAllowance: 3}
	for _, d := range domains {
		p.Domains = append(p.Domains, definer.DomainShare{Domain: d, PerMille: 1000 / len(domains)})
	}
	for i := range services {
		s := definer.Service{Name: serviceName(i), Timeout: 3 * clock.Second, MaxBody: 1 << 20}
		for _, prefix := range []string{"/tonight", "/orders", "/observances", "/"} {
			s.Routes = append(s.Routes, definer.Route{Method: "*", Prefix: prefix, Priority: identifier.Normal})
		}
		p.Services = append(p.Services, s)
	}
	for i := range teams {
		const many identifier.Tokens = 10_000_000 * identifier.TokensPerCall
		p.Teams = append(p.Teams, definer.Team{Name: teamName(i), Rate: many, Burst: many, Weight: 1})
	}
	return p
}

func (f *fleet) announce(m *member, i int) {
	f.apply(m, &reducer.BackendAnnounced{
		Endpoint: endpointID(m), Service: serviceName(i % workloadServices), Slots: 20,
		ConnectionLimit: 230,
	})
}

func endpointID(m *member) identifier.Endpoint {
	return identifier.Endpoint("server-" + m.id)
}

func (f *fleet) heartbeats() {
	for _, m := range f.members {
		f.apply(m, &reducer.BackendReported{Endpoint: endpointID(m), Load: 300})
	}
}

// replaceNode crashes a random node and starts another one in its domain.
func (f *fleet) replaceNode() {
	i := 1 + f.random.IntN(len(f.members)-1)
	domain := f.members[i].domain
	f.crash(i)
	f.announce(f.join(domain, false), i)
}

// call lets one call arrive at the entry node m; its answer is delivered in the next step.
func (f *fleet) call(m *member, team, service int, booking bool) {
	f.lastCall++
	e := &reducer.CallArrived{
		Call: f.lastCall, Request: identifier.Request(fmt.Sprintf("%s-%d", m.id, f.lastCall)), KeyHash: keyOf(team),
		Service: serviceName(service), Method: "GET", Path: "/tonight", Wall: f.wall(),
	}
	if booking {
		e.Method = "POST"
		e.Idempotency = f.uuid()
	}
	f.apply(m, e)
}

// uuid returns a random UUIDv7 with the current wall time.
func (f *fleet) uuid() identifier.Idempotency {
	ms := uint64(f.wall())
	return identifier.Idempotency(fmt.Sprintf("%08x-%04x-7%03x-8%03x-%012x",
		ms>>16, ms&0xffff, f.random.IntN(1<<12), f.random.IntN(1<<12), f.random.Int64N(1<<48)))
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
