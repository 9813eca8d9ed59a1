// Tests of the guarantees of claims and rates under combinations of faults: messages lost, late, duplicated and
// reordered, the log down or slow, appends lost or late, domains partitioned, nodes paused past their leases,
// crashed, replaced and leaving, clocks at different rates, and changed rates.
//
// Example: go test ./internal/granter -run Fuzz -rapid.checks=2000 -rapid.seed=5 runs more checks with another seed.

package granter_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/definer"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// TestMain sets a fixed seed and number of checks unless flags give others, so that every run on a commit has the
// same result and a bounded duration.
func TestMain(m *testing.M) {
	flag.Parse()
	fixed := map[string]string{"rapid.seed": "20261203", "rapid.checks": "40"}
	for name, v := range fixed {
		f := flag.Lookup(name)
		if f.Value.String() != f.DefValue {
			continue
		}
		if err := f.Value.Set(v); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var (
	claimActions = []string{
		"messageFaults", "log", "cut", "cutNodes", "cutNodes", "cutLog", "cutNodeLog", "cutNodeLog", "pause", "pauseLong",
		"crash", "leave", "heal",
	}
	rateActions = append([]string{"load", "load", "load", "burst", "burst", "burst", "rates", "shares"}, claimActions...)
)

// applyAction draws a fault or another event and applies it to the fleet.
func applyAction(t *rapid.T, f *fleet, actions []string) {
	n := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node")]
	a := rapid.SampledFrom(f.domains).Draw(t, "domain").Domain
	b := rapid.SampledFrom(f.domains).Draw(t, "other").Domain
	switch rapid.SampledFrom(actions).Draw(t, "action") {
	case "load":
		team := rapid.SampledFrom(f.teams).Draw(t, "team")
		n.load[team.Name] = int64(team.Rate) / 1000 * rapid.SampledFrom([]int64{0, 1, 1, 3, 10}).Draw(t, "times")
	case "messageFaults":
		f.loss = rapid.SampledFrom([]int{0, 30, 200}).Draw(t, "loss")
		f.duplicate = rapid.SampledFrom([]int{0, 50, 300}).Draw(t, "repeat")
		f.late = rapid.SampledFrom([]int{0, 50, 300}).Draw(t, "late")
	case "log":
		f.logDown = !f.logDown
	case "cut":
		f.partition(t, string(a), string(b))
	case "cutNodes":
		m := rapid.SampledFrom(f.nodes).Draw(t, "node")
		f.partition(t, string(n.id), string(m.id))
	case "cutLog":
		f.partitionedFromLog[string(a)] = !f.partitionedFromLog[string(a)]
	case "cutNodeLog":
		f.partitionedFromLog[string(n.id)] = !f.partitionedFromLog[string(n.id)]
	case "burst":
		f.sendBurst(t)
	case "pause":
		n.pausedUntil = f.now + rapid.Int64Range(50, 700).Draw(t, "pause")
	case "pauseLong":
		n.pausedUntil = f.now + rapid.Int64Range(700, 12_000).Draw(t, "pause")
	case "crash":
		f.kill(n)
		f.add(n.domain)
	case "leave":
		f.leave(n)
	case "rates":
		f.publish(rapid.SampledFrom([]int{50, 100, 200}).Draw(t, "percent"), f.domains)
	case "shares":
		f.publish(100, f.drawShares(t))
	case "heal":
		f.clearFaults()
	}
}

func (f *fleet) partition(t *rapid.T, a, b string) {
	if a != b {
		c := !f.partitions[[2]string{a, b}]
		f.partitions[[2]string{a, b}] = c
		f.partitions[[2]string{b, a}] = c || rapid.Bool().Draw(t, "oneWay")
	}
}

// sendBurst waits for the buckets to fill up, and then offers up to twenty times the rate of the team at each node.
func (f *fleet) sendBurst(t *rapid.T) {
	team := rapid.SampledFrom(f.teams).Draw(t, "team")
	times := make([]int64, len(f.nodes))
	f.setLoad(team.Name, times...)
	f.run(rapid.Int64Range(0, 1500).Draw(t, "rest"))
	for i := range times {
		times[i] = int64(team.Rate) / 100 * rapid.Int64Range(0, 2).Draw(t, "burst")
	}
	f.setLoad(team.Name, times...)
	f.run(rapid.Int64Range(20, 600).Draw(t, "burstSpan"))
}

func (f *fleet) drawShares(t *rapid.T) []definer.DomainShare {
	rest := 1000
	var domains []definer.DomainShare
	for i, d := range f.domains {
		s := rest
		if i < len(f.domains)-1 {
			s = rapid.IntRange(0, rest).Draw(t, "share")
		}
		domains = append(domains, definer.DomainShare{Domain: d.Domain, PerMille: s})
		rest -= s
	}
	return domains
}

// publish changes all rates and bursts to the given percentage of the base ones. The nodes read it within 4 s, paused
// nodes when they resume. Until the last node has read it and earlier loans have ended, the old or the new rates may
// be used.
func (f *fleet) publish(percent int, domains []definer.DomainShare) {
	const loansEnd = 1000
	f.version++
	f.shareHistory = append(f.shareHistory, pastShares{until: f.now, domains: f.domains})
	f.domains = domains
	v := f.version
	old := f.teams
	f.teams = nil
	for _, t := range baseTeams {
		t.Rate = t.Rate * identifier.Tokens(percent) / 100
		t.Burst = t.Burst * identifier.Tokens(percent) / 100
		f.teams = append(f.teams, t)
	}
	f.oracle.allowLarger(old, f.teams, f.now)
	for _, n := range f.nodes {
		f.whenAwake(n, f.random.Int64N(4000), func() { f.configure(n) })
	}
	var settle func()
	settle = func() {
		if f.version != v {
			return
		}
		if slices.ContainsFunc(f.nodes, func(n *node) bool { return n.version < v }) {
			f.at(loansEnd, settle)
			return
		}
		f.at(loansEnd, func() {
			if f.version == v {
				f.oracle.publish(f.teams, f.now)
			}
		})
	}
	settle()
}

// leave stops a node as planned: it hands its claims over, and exits once it has read that it holds none.
func (f *fleet) leave(n *node) {
	sliceTerm := f.grantTerms.SliceTerm
	if sliceTerm == 0 {
		sliceTerm = 500 * clock.Millisecond // the default
	}
	f.whenAwake(n, 0, func() { f.performGrantEffects(n, n.grants.Leave(f.local(n))) })
	var wait func()
	wait = func() {
		if o := n.grants.Outstanding(f.local(n)); o <= sliceTerm {
			f.performClaimEffects(n, n.claims.Leave(sliceTerm, f.local(n)))
		}
		if n.claims.Left() {
			f.kill(n)
			return
		}
		f.whenAwake(n, 50, wait)
	}
	f.whenAwake(n, 50, wait)
	f.add(n.domain)
}

// Two nodes that act for one claim could run a request twice or double a team's rate, and a team over its rate takes
// capacity that other teams paid for. Neither fault shows in the nodes' own state, so the oracle checks for it. After
// the faults the fleet must recover by itself.
func TestFuzzFleet(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 4).Draw(t, "domains"), 2, true)
		f.run(2000)
		for range rapid.IntRange(1, 20).Draw(t, "actions") {
			applyAction(t, f, rateActions)
			f.run(rapid.Int64Range(1, 2500).Draw(t, "span"))
			if len(f.faults) > 0 {
				t.Fatal(f.faults[0])
			}
		}
		f.checkRecovery(t)
	})
}

// The same faults for claims alone, which allows many more faults in the same time. A fault here would let two nodes
// run a request, or a successor run it before the predecessor's last run has ended.
func TestFuzzClaims(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), 1, 4, true)
		f.claimsOnly = true
		f.run(2000)
		for range rapid.IntRange(50, 250).Draw(t, "actions") {
			applyAction(t, f, claimActions)
			f.run(rapid.Int64Range(1, 2500).Draw(t, "span"))
			if len(f.faults) > 0 {
				t.Fatal(f.faults[0])
			}
		}
		f.claimsOnly = false
		f.checkRecovery(t)
	})
}

// checkRecovery ends all faults; then each claim must have exactly one holder, and a team must get its rate.
func (f *fleet) checkRecovery(t *rapid.T) {
	f.clearFaults()
	for _, n := range f.nodes {
		n.pausedUntil = 0
		clear(n.load)
	}
	f.run(16_000)
	for _, name := range f.claimNames {
		assert.Check(t, len(f.withAuthority(name)) == 1, "%s must have one node with authority, got %v", name, f.withAuthority(name))
	}
	f.oracle.resetCounts()
	f.setLoad("middle", int64(f.teams[1].Rate)/1000)
	f.run(4000)
	b := f.oracle["middle"]
	assert.Check(t, b.served*10 >= b.offered*9-10, "served %d of %d offered calls, expected at least nine tenths", b.served, b.offered)
	assert.Check(t, len(f.faults) == 0, fmt.Sprint(f.faults))
}
