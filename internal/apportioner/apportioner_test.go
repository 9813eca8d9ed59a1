package apportioner

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const team = identifier.Team("parish")

// fleet is a set of nodes that report to each other through hubs, as real nodes do by exchanges.
type fleet struct {
	nodes     []*Apportioner
	hubs      []hub
	offsets   []clock.Duration
	allowedAt []clock.Time
	// hubOf returns the hub with which a node exchanges reports, isSuspended whether the node is suspended.
	hubOf       func(node int, now clock.Time) int
	isSuspended func(node int, now clock.Time) bool
	// suspendedFor is how long each node has been suspended; its clock is behind by that.
	suspendedFor []clock.Duration
}

// hub holds the latest report of each node, which the hub's node relays.
type hub map[int]DemandReport

var tolerance = Tolerance{Window: 5, Part: 0.1, Requests: 20}

const period = 500 * clock.Millisecond

func newFleet(n int, rate, burst float64) *fleet {
	f := &fleet{
		hubs:         []hub{{}, {}},
		hubOf:        func(int, clock.Time) int { return 0 },
		isSuspended:  func(int, clock.Time) bool { return false },
		suspendedFor: make([]clock.Duration, n),
	}
	for i := range n {
		a := New(nodeName(i), tolerance, 0)
		a.SetNodes(n)
		a.SetTeam(team, rate, burst, 0)
		f.nodes = append(f.nodes, a)
		f.offsets = append(f.offsets, clock.Duration(i)*period/clock.Duration(n))
	}
	return f
}

func nodeName(i int) identifier.Node {
	return identifier.Node(fmt.Sprintf("n%d", i))
}

// clock returns a node's own time.
func (f *fleet) clock(node int, now clock.Time) clock.Time {
	return now.Add(-f.suspendedFor[node])
}

// step advances the time by one millisecond; each node exchanges its report once a period, at its own offset.
func (f *fleet) step(now clock.Time) {
	for i, a := range f.nodes {
		if f.isSuspended(i, now) {
			f.suspendedFor[i]++
			continue
		}
		own := f.clock(i, now)
		a.Tick(own)
		if now%clock.Time(period) != clock.Time(f.offsets[i]) {
			continue
		}
		h := f.hubs[f.hubOf(i, now)]
		h[i] = DemandReport{Node: nodeName(i), Demand: a.Demand(own), MadeAt: now}
		var reports []DemandReport
		for j, report := range h {
			// The newest report of a node is used, whichever way it arrived.
			if known, ok := a.peers[nodeName(j)]; !ok || known.reportedAt < report.MadeAt.Add(-f.suspendedFor[i]) {
				report.MadeAt = report.MadeAt.Add(-f.suspendedFor[i])
				reports = append(reports, report)
			}
		}
		a.AddReports(reports, own)
	}
}

// simulate sends requests at a rate per node and returns the times at which requests were allowed.
func (f *fleet) simulate(from, to clock.Time, perSecond func(node int, now clock.Time) float64) []clock.Time {
	credit := make([]float64, len(f.nodes))
	for now := from; now < to; now++ {
		f.step(now)
		for i, a := range f.nodes {
			credit[i] += perSecond(i, now) / float64(clock.Second)
			for credit[i] >= 1 && !f.isSuspended(i, now) {
				credit[i]--
				if a.Take(team, f.clock(i, now)).Allowed {
					f.allowedAt = append(f.allowedAt, now)
				}
			}
		}
	}
	return f.allowedAt
}

func maxInWindow(passed []clock.Time, window clock.Duration) int {
	most, first := 0, 0
	for last := range passed {
		for passed[last].Sub(passed[first]) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// A team sends seven times its usual demand everywhere at once. Each node sees its own demand rise immediately and that
// of the others only with their next reports, so each would take most of the rate for itself. The team would get
// several times its rate at the cost of other teams until all reports have arrived.
func TestRateHoldsOnSimultaneousDemandRise(t *testing.T) {
	const rate, burst, window = 180.0, 180.0, 5 * clock.Second
	f := newFleet(14, rate, burst)
	passed := f.simulate(0, 16000, func(_ int, now clock.Time) float64 {
		if now < 6000 {
			return 110.0 / 14
		}
		return 110.0 * 7 / 14
	})
	allowed := rate*5 + burst
	got := maxInWindow(passed, window)
	assert.Assert(t, float64(got) <= allowed*1.06+12, "%d requests in 5 s, want at most %.0f", got, allowed)
	assert.Assert(t, float64(got) >= allowed*0.9, "%d requests in 5 s, want nearly %.0f", got, allowed)
}

// Five nodes of eighteen are suspended for three seconds, one of them the node with which all exchange reports. When
// they resume, they exchange with each other, while the others have switched to another node and return to the first
// only after a second; meanwhile a team sends six times its usual demand. The resumed nodes serve by their old data, so
// the others must have left them their shares, or the team exceeds its rate at the cost of other teams.
func TestRateHoldsWhenNodesResumeDuringDemandRise(t *testing.T) {
	const rate, burst, window = 168.0, 168.0, 5 * clock.Second
	f := newFleet(18, rate, burst)
	suspended := func(node int) bool { return node < 5 }
	f.isSuspended = func(node int, now clock.Time) bool { return suspended(node) && now >= 5000 && now < 8000 }
	f.hubOf = func(node int, now clock.Time) int {
		if !suspended(node) && now >= 5400 && now < 9200 {
			return 1
		}
		return 0
	}
	passed := f.simulate(0, 18000, func(_ int, now clock.Time) float64 {
		if now < 8100 {
			return 0.7 * rate / 18
		}
		return 6 * 0.7 * rate / 18
	})
	allowed := rate*5 + burst
	got := maxInWindow(passed, window)
	t.Logf("%d requests in 5 s, %.0f allowed", got, allowed)
	assert.Assert(t, float64(got) <= allowed*1.02, "%d requests in 5 s, want at most %.0f", got, allowed)
	assert.Assert(t, float64(got) >= allowed*0.85, "%d requests in 5 s, want nearly %.0f", got, allowed)
}

// A partition divides the fleet into halves while a team's demand rises sixfold. Each half no longer receives reports
// of the other, and would give its own new demand nearly all of the rate.
func TestRateHoldsDuringPartition(t *testing.T) {
	const rate, burst, window = 168.0, 168.0, 5 * clock.Second
	f := newFleet(18, rate, burst)
	f.hubOf = func(node int, now clock.Time) int {
		if node < 9 && now >= 6000 && now < 16000 {
			return 1
		}
		return 0
	}
	passed := f.simulate(0, 20000, func(_ int, now clock.Time) float64 {
		if now < 6200 {
			return 0.7 * rate / 18
		}
		return 6 * 0.7 * rate / 18
	})
	allowed := rate*5 + burst
	got := maxInWindow(passed, window)
	t.Logf("%d requests in 5 s, %.0f allowed", got, allowed)
	assert.Assert(t, float64(got) <= allowed*1.06+12, "%d requests in 5 s, want at most %.0f", got, allowed)
}

// Callers use only a few nodes, as when one failure domain has most of a team's users. With equal shares a team well
// within its rate would be refused there.
func TestSkewedTeamWithinItsRateIsNotRefused(t *testing.T) {
	f := newFleet(14, 180, 180)
	passed := f.simulate(0, 20000, func(node int, _ clock.Time) float64 {
		if node < 3 {
			return 110.0 / 3
		}
		return 0
	})
	late := 0
	for _, at := range passed {
		if at >= 5000 {
			late++
		}
	}
	assert.Assert(t, late >= 110*15*99/100, "%d of %d allowed", late, 110*15)
}

// All nodes are killed at once and start again while a team exceeds its rate. Buckets that started full would grant the
// whole burst a second time within the same window.
func TestFleetRestartGrantsNoSecondBurst(t *testing.T) {
	const rate, burst = 180.0, 180.0
	highDemand := func(int, clock.Time) float64 { return 110.0 * 7 / 14 }
	f := newFleet(14, rate, burst)
	f.simulate(0, 6000, func(int, clock.Time) float64 { return 5 })
	before := f.simulate(6000, 8000, highDemand)
	again := newFleet(14, rate, burst)
	for _, a := range again.nodes {
		a.start = 8000
		for _, b := range a.teams {
			b.filledAt, b.decayedAt = 8000, 8000
		}
	}
	after := again.simulate(8000, 12000, highDemand)
	got := maxInWindow(append(before, after...), 5*clock.Second)
	assert.Assert(t, float64(got) <= (rate*5+burst)*1.06+12, "%d requests in 5 s", got)
}

// For any demand, a window never holds more than the rate and burst allow plus the tolerated excess.
func TestRateHoldsUnderAnyDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, burst, nodes = 120.0, 120.0, 8
		levels := rapid.SliceOfN(rapid.Float64Range(0, 120), nodes*4, nodes*4).Draw(t, "levels")
		f := newFleet(nodes, rate, burst)
		passed := f.simulate(0, 10000, func(node int, now clock.Time) float64 {
			return levels[node*4+int(now/2500)]
		})
		got := maxInWindow(passed, 5*clock.Second)
		if float64(got) > (rate*5+burst)*1.1+20 {
			t.Fatalf("%d requests in 5 s", got)
		}
	})
}

func TestUnlimitedTeam(t *testing.T) {
	a := New("n", Tolerance{}, 0)
	a.SetTeam(team, 0, 0, 0)
	for range 1000 {
		assert.Assert(t, a.Take(team, 0).Allowed)
	}
	assert.Assert(t, a.Take("unknown", 0).Allowed)
}

func TestReturnedTokenIsReused(t *testing.T) {
	a := New("n", Tolerance{}, 0)
	a.SetTeam(team, 1, 1, 0)
	assert.Assert(t, a.Take(team, 0).Allowed)
	assert.Assert(t, !a.Take(team, 0).Allowed)
	a.Return(team)
	assert.Assert(t, a.Take(team, 0).Allowed)
}

// A team keeps its rate, and each node gets a few of its requests a second, with random variation. If the shares add up
// to too little, some of them are refused although the team is well within its rate.
func TestUnevenArrivalsWithinTheRateAreNotRefused(t *testing.T) {
	f := newFleet(18, 52, 52)
	random := rand.New(rand.NewPCG(3, 4))
	sent, admitted := 0, 0
	for now := clock.Time(0); now < 30000; now++ {
		f.step(now)
		for _, a := range f.nodes {
			if random.Float64() >= 36.0/18/1000 {
				continue
			}
			allowed := a.Take(team, now).Allowed
			if now < 5000 {
				continue
			}
			sent++
			if allowed {
				admitted++
			}
		}
	}
	assert.Assert(t, admitted >= sent*98/100, "%d of %d allowed", admitted, sent)
}

// A team sends exactly its rate, evenly to all nodes. By chance some buckets are full while others are empty, so that
// the team gets less than its rate; so the node to which the request goes next is asked as well.
func TestTeamAtItsRateGetsNearlyAll(t *testing.T) {
	tests := map[string]struct {
		others int
		least  float64
	}{
		"one bucket":  {0, 0.80},
		"one more":    {1, 0.93},
		"up to three": {3, 0.95},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(18, 54, 54)
			random := rand.New(rand.NewPCG(5, 6))
			sent, admitted := 0, 0
			for now := clock.Time(0); now < 40000; now++ {
				f.step(now)
				for _, a := range f.nodes {
					if random.Float64() >= 54.0/18/1000 {
						continue
					}
					v := a.Take(team, now)
					allowed := v.Allowed
					for other := 0; !allowed && v.Elsewhere && other < test.others; other++ {
						allowed = f.nodes[random.IntN(len(f.nodes))].TakeForPeer(team, now)
					}
					if now < 10000 {
						continue
					}
					sent++
					if allowed {
						admitted++
					}
				}
			}
			part := float64(admitted) / float64(sent)
			t.Logf("fraction %.3f allowed", part)
			assert.Assert(t, part >= test.least, "fraction %.3f allowed", part)
		})
	}
}

// A silent node keeps the share that it had of each team's rate: by its demand if it had any, otherwise that of a node
// without demand. What is kept must not depend on how the shares are stored.
func TestSilentNodeKeepsItsShares(t *testing.T) {
	a := New("n0", tolerance, 0)
	a.SetNodes(3)
	teams := []identifier.Team{"busy", "idle"}
	for _, name := range teams {
		a.SetTeam(name, 100, 100, 0)
	}
	a.AddReports([]DemandReport{
		{Node: "n1", Demand: map[identifier.Team]float64{"busy": 60}, MadeAt: 5000},
		{Node: "n2", Demand: map[identifier.Team]float64{"busy": 20}, MadeAt: 5000},
	}, 5000)
	want := map[identifier.Team]float64{}
	for _, name := range teams {
		b := a.teams[name]
		want[name] = a.shareFor(b, a.peers["n1"].demand[name]) + a.shareFor(b, a.peers["n2"].demand[name])
	}
	a.Tick(7000)
	assert.Equal(t, a.silent, 2)
	for _, name := range teams {
		assert.Equal(t, a.teams[name].reservedShare, min(maxReserved, want[name]), "%s", name)
	}
	assert.Assert(t, a.teams["busy"].reservedShare > a.teams["idle"].reservedShare)
}

// BenchmarkAddReports adds the reports of 87 other nodes with 87 teams, as each of 88 nodes does two to five times a
// second.
func BenchmarkAddReports(b *testing.B) {
	a := New("n0", tolerance, 0)
	a.SetNodes(88)
	for i := range 87 {
		a.SetTeam(identifier.Team(fmt.Sprint("team-", i)), 20, 20, 0)
	}
	var reports []DemandReport
	for i := 1; i < 88; i++ {
		reports = append(reports, DemandReport{Node: nodeName(i)})
	}
	b.ReportAllocs()
	for b.Loop() {
		a.AddReports(reports, 1000)
	}
}

// BenchmarkTick measures the tick that each node runs every 25 ms.
func BenchmarkTick(b *testing.B) {
	a := New("n0", tolerance, 0)
	a.SetNodes(88)
	for i := range 87 {
		a.SetTeam(identifier.Team(fmt.Sprint("team-", i)), 20, 20, 0)
	}
	now := clock.Time(0)
	for b.Loop() {
		now += 25
		a.Tick(now)
	}
}
