package configurer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/configurer"
	"github.com/jackdawtide/jackdawtide/internal/definer"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// publishAndWait publishes a preset, puts it in force, and waits until every node has it in force.
func publishAndWait(t *testing.T, w *simulation) {
	t.Helper()
	w.run(3 * clock.Second)
	w.append(configurer.PublishPreset{Change: configurer.Change{ID: "p", Wall: w.wall()}, Preset: definer.Preset{Name: "ordinary"}})
	w.append(configurer.SwitchPreset{Change: configurer.Change{ID: "s", Wall: w.wall()}, Preset: "ordinary"})
	w.run(4 * clock.Second)
	for _, m := range w.nodes {
		p, version := m.c.InForce()
		assert.Assert(t, p != nil && version == 2, "%s", m.id)
	}
}

// A key is withdrawn while one message in five is lost. A node that gets the withdrawal late or not at all would
// continue to accept the key, which only its holder could notice. The logged figures are for
// docs/design/configuration.md.
func TestWithdrawnKeyRejectedByAllNodes(t *testing.T) {
	tests := map[string]struct {
		domains []int
		loss    float64
		// bytes is the upper bound of control bytes per node and second while ten records a second are relayed.
		bytes int
	}{
		"14 nodes":                   {domains: []int{4, 4, 3, 3}, bytes: 4000},
		"100 nodes":                  {domains: []int{25, 25, 25, 25}, bytes: 4000},
		"482 nodes":                  {domains: []int{482}, bytes: 4000},
		"14 nodes, a fifth lost":     {domains: []int{4, 4, 3, 3}, loss: 0.2, bytes: 6000},
		"482 nodes, a fifth lost":    {domains: []int{482}, loss: 0.2, bytes: 6000},
		"five domains, a fifth lost": {domains: []int{60, 60, 60, 60, 60}, loss: 0.2, bytes: 6000},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(7, test.domains...)
			w.loss = test.loss
			publishAndWait(t, w)
			var worst clock.Duration
			for round := range 3 {
				hash := identifier.KeyHash(rune('a' + round))
				id := configurer.ChangeID("issue " + hash)
				w.append(configurer.IssueKey{Change: configurer.Change{ID: id, Wall: w.wall()}, Key: definer.Key{Hash: hash, Team: "team"}})
				w.run(3 * clock.Second)
				base := w.nodes[0].c.Base(configurer.Subject{Kind: configurer.SubjectKey, Name: string(hash)})
				withdrawal := configurer.Change{ID: "withdraw " + id, Base: base, Wall: w.wall()}
				w.append(configurer.WithdrawKey{Change: withdrawal, Hash: hash})
				start := w.now
				w.run(3 * clock.Second)
				for _, m := range w.nodes {
					_, ok := m.c.Resolve(hash)
					assert.Assert(t, !ok, "%s still accepts the withdrawn key", m.id)
					worst = max(worst, m.changed.Sub(start))
				}
			}
			assert.Assert(t, worst <= 2*clock.Second, "the slowest node applied a withdrawal after %d ms, want at most 2 s", worst)
			w.messages, w.bytes = 0, 0
			w.run(2 * clock.Second)
			idle, idleBytes := w.messages, w.bytes
			w.messages, w.bytes = 0, 0
			for range 20 {
				w.append(configurer.State{Snapshot: configurer.Snapshot{InForce: "a record of a hundred bytes, as those of claims are: name, holder, epoch, witness, time"}})
				w.run(100 * clock.Millisecond)
			}
			n := 2 * len(w.nodes)
			t.Logf("withdrawn everywhere after %d ms; per node and second: idle %.2f messages, %d bytes; at 10 records a second %.1f messages, %d bytes",
				worst, float64(idle)/float64(n), idleBytes/n, float64(w.messages)/float64(n), w.bytes/n)
			assert.Assert(t, w.bytes/n <= test.bytes)
		})
	}
}

// Every VM is replaced at once, and the last change is older than the log's retention. Without timely snapshots the fleet
// would find no preset and no key, and refuse all calls.
func TestReplacedFleetRecoversConfiguration(t *testing.T) {
	w := newSimulation(3, 2, 2)
	publishAndWait(t, w)
	w.run(5 * w.retention / 2)
	assert.Assert(t, w.earliest > 1)
	for i, m := range w.nodes {
		w.nodes[i] = w.startNode(m.domain)
	}
	w.updatePeers()
	w.run(3 * clock.Second)
	for _, m := range w.nodes {
		p, version := m.c.InForce()
		assert.Assert(t, p != nil && p.Name == "ordinary" && version == 2)
	}
	snapshots := len(w.log) - 2
	assert.Assert(t, snapshots <= 2*4*5, "%d snapshots in five half retention periods from four readers, some appended twice", snapshots)
}

// One node misses the hints of a change. Pings alone must bring it up to date, because it would otherwise serve with
// the old configuration until the next change.
func TestPingRecoversMissedRecord(t *testing.T) {
	w := newSimulation(5, 4)
	publishAndWait(t, w)
	m := w.nodes[0]
	if m.c.Reads() {
		m = w.nodes[1]
	}
	m.paused = w.now.Add(500)
	w.append(configurer.IssueKey{Change: configurer.Change{ID: "k", Wall: w.wall()}, Key: definer.Key{Hash: "h", Team: "team"}})
	w.run(2500)
	_, ok := m.c.Resolve("h")
	assert.Assert(t, ok)
}

// A node without contact to the log continues to serve with the keys it knows, unless its settings limit that time.
func TestMaxSilenceLimitsServing(t *testing.T) {
	for name, test := range map[string]struct {
		limit clock.Duration
		want  bool
	}{"no limit": {want: true}, "a minute": {limit: clock.Minute}} {
		t.Run(name, func(t *testing.T) {
			c := configurer.New(configurer.Options{Node: "n1", MaxSilence: test.limit, Rand: rand.New(rand.NewPCG(1, 1))})
			c.LogRead(configurer.Batch{Asked: 1}, 5, 0)
			assert.Assert(t, c.MayServe(60_000))
			assert.Equal(t, c.MayServe(60_002), test.want)
			assert.Equal(t, c.Freshness(60_002), 60_001*clock.Millisecond)
		})
	}
}

// A node reads the log after the records it needs have expired. It reaches the log's end, but can't know which keys were
// withdrawn in between; if it reported a fresh contact, the operator would not see that.
func TestFreshnessUnknownAfterGap(t *testing.T) {
	c := configurer.New(configurer.Options{Node: "n1", Rand: rand.New(rand.NewPCG(1, 1))})
	c.LogRead(configurer.Batch{Earliest: 10, Next: 10, Asked: 1}, 5, 0)
	assert.Assert(t, !c.Complete())
	assert.Equal(t, c.Freshness(6), configurer.NoContact)
}

func BenchmarkResolve(b *testing.B) {
	for _, keys := range []int{8, 1000} {
		b.Run(fmt.Sprintf("%d keys", keys), func(b *testing.B) {
			w := newSimulation(1, 1)
			for i := range keys {
				hash := identifier.KeyHash(rune(i + 1000))
				w.append(configurer.IssueKey{Change: configurer.Change{ID: configurer.ChangeID(hash)}, Key: definer.Key{Hash: hash, Team: "team"}})
			}
			w.run(10 * clock.Second)
			c := w.nodes[0].c
			assert.Equal(b, c.Version(), identifier.Version(keys))
			hash := identifier.KeyHash(rune(1000 + keys/2))
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := c.Resolve(hash); !ok {
					b.Fatal("unknown")
				}
			}
		})
	}
}
