package detector

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// newTestDetector knows three nodes in the east and one in the west.
func newTestDetector() *Detector {
	d := New()
	for _, node := range []identifier.Node{"e1", "e2", "e3"} {
		d.SetDomain(node, "east")
	}
	d.SetDomain("w1", "west")
	return d
}

func TestSilentNodeIsProbed(t *testing.T) {
	d := newTestDetector()
	assert.Equal(t, len(d.Tick(5000)), 0)
	d.Sent("e1", 5000)
	assert.Equal(t, len(d.Tick(5299)), 0)
	assert.DeepEqual(t, d.Tick(5300), []identifier.Node{"e1"})
	assert.Equal(t, len(d.Tick(5400)), 0)
	assert.DeepEqual(t, d.Probed("e1", false, 5550), []identifier.Node{"e1"})
	assert.Assert(t, d.Lost("e1") && !d.Lost("e2"))
	// It is probed again, and is reachable once a probe succeeds.
	assert.DeepEqual(t, d.Tick(6050), []identifier.Node{"e1"})
	assert.Equal(t, len(d.Probed("e1", true, 6060)), 0)
	assert.Assert(t, !d.Lost("e1"))
}

// An endpoint is slow, and all requests there take a second. Its node is reachable and must not be marked as lost; nor
// may each slow request cost a probe.
func TestSlowNodeIsNotLost(t *testing.T) {
	d := newTestDetector()
	probes := 0
	for now := clock.Time(0); now < 10000; now += 25 {
		if now%200 == 0 {
			d.Sent("e1", now)
		}
		for _, node := range d.Tick(now) {
			probes++
			assert.Equal(t, len(d.Probed(node, true, now.Add(3))), 0)
		}
		if now%1000 == 0 && now > 0 {
			d.Ended("e1", true, now)
		}
	}
	assert.Assert(t, probes >= 3 && probes <= 7, "%d probes", probes)
}

// A failure domain is partitioned off. After two of its nodes are lost, the third must be marked as lost without
// requests of its own: they would be lost as well.
func TestFailureDomainIsLostAfterTwoNodes(t *testing.T) {
	d := newTestDetector()
	d.RecordContact("e3", 4800)
	d.Sent("e1", 5000)
	d.Sent("e2", 5010)
	d.Sent("w1", 5010)
	assert.Equal(t, len(d.Tick(5310)), 3)
	assert.Equal(t, len(d.Probed("w1", true, 5312)), 0)
	assert.DeepEqual(t, d.Probed("e1", false, 5560), []identifier.Node{"e1"})
	assert.DeepEqual(t, d.Probed("e2", false, 5560), []identifier.Node{"e2", "e3"})
	assert.Assert(t, d.Lost("e3") && !d.Lost("w1"))
	// The partition ends: one contact clears all nodes that were lost only because of their domain.
	d.RecordContact("e2", 9000)
	assert.Assert(t, !d.Lost("e3") && !d.Lost("e2") && d.Lost("e1"))
}

// Two nodes of a failure domain lose power and the third continues to answer.
func TestFailureDomainThatAnswersIsNotLost(t *testing.T) {
	d := newTestDetector()
	d.Sent("e1", 5000)
	d.Sent("e2", 5000)
	d.Tick(5300)
	d.Probed("e1", false, 5550)
	d.RecordContact("e3", 5540)
	assert.DeepEqual(t, d.Probed("e2", false, 5550), []identifier.Node{"e2"})
	assert.Assert(t, !d.Lost("e3"))
}

// A broken attempt is reason enough for an immediate probe.
func TestSuspectedNodeIsProbedImmediately(t *testing.T) {
	d := newTestDetector()
	d.Sent("e1", 5000)
	d.Ended("e1", false, 5020)
	d.Suspect("e1", 5020)
	assert.DeepEqual(t, d.Tick(5025), []identifier.Node{"e1"})
	d.Forget("e1")
	assert.Equal(t, len(d.Probed("e1", false, 5300)), 0)
	assert.Assert(t, !d.Lost("e1"))
}

// A successful probe clears a suspicion. Otherwise, among 88 nodes that have all been suspected once, each pair would be
// probed every second and a half from then on.
func TestClearedSuspicionCausesNoMoreProbes(t *testing.T) {
	d := newTestDetector()
	d.Suspect("e1", 5000)
	assert.DeepEqual(t, d.Tick(5000), []identifier.Node{"e1"})
	d.Probed("e1", true, 5003)
	for now := clock.Time(5003); now < 20000; now += 25 {
		assert.Equal(t, len(d.Tick(now)), 0)
	}
}

func BenchmarkAttempt(b *testing.B) {
	d := newTestDetector()
	for i := range b.N {
		d.Sent("e1", clock.Time(i))
		d.Ended("e1", true, clock.Time(i))
	}
}
