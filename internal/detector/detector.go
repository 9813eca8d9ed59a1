package detector

// A failure domain is partitioned off without a signal: connections into it stay open, what is sent on them gets no
// answer, and the timers of the operating system report a failure after 1.5 s and more. Reports show the silence after
// 2.5 s. Until then each request sent there is lost, and a non-idempotent one may not be sent again. So this node
// watches its own attempts: while one is open to a node that has not answered for a while, the node is probed by
// opening a connection to it. That takes one round trip and is answered by the other operating system even while the
// node's process is busy, so that a slow node is not mistaken for a lost one.
//
// When two nodes of a failure domain are unreachable and no other node there has answered recently, the whole domain
// counts as lost: with 22 nodes, detecting each one separately would cost each its own requests.
//
// Example: Sent("b") at 1000 without an answer: Tick at 1300 returns b to be probed; Probed("b", false) marks it as
// lost; any contact with b, or a probe that reaches it, marks it as reachable again.

import (
	"maps"
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	// probeAfterSilence is how long a node with open attempts may be silent before it is probed: more than most runs
	// take (15 to 280 ms), and a fifth of the time after which the operating system's timers report a failure.
	probeAfterSilence = 300 * clock.Millisecond
	// ProbeTimeout is how long a probe may take: thirty round trips between failure domains, plus two tenths of a
	// second in which a VM may have used up its processor share.
	ProbeTimeout = 250 * clock.Millisecond
	// minLostProbeInterval is the time until a lost node is probed again; it doubles up to maxLostProbeInterval, since
	// some nodes do not return. reachableProbeInterval is the time after a successful probe: without it many slow
	// requests would cost a probe each 300 ms.
	minLostProbeInterval   = 500 * clock.Millisecond
	maxLostProbeInterval   = 2 * clock.Second
	reachableProbeInterval = 1500 * clock.Millisecond
	// minLostForDomain is how many nodes of a failure domain must be lost for the whole domain to count as lost.
	minLostForDomain = 2
)

// Detector watches the reachability of the other nodes for one node; it is not safe for concurrent use.
type Detector struct {
	nodes   map[identifier.Node]*nodeState
	domains map[identifier.FailureDomain]*domainState
}

type nodeState struct {
	domain identifier.FailureDomain
	// openAttempts counts the open attempts; silentSince is from when the node has not answered them.
	openAttempts int
	silentSince  clock.Time
	// suspected is true if the node failed to answer where it should have.
	suspected bool
	// nextProbe is when the node may be probed again, lostInterval the interval set by the last failed probe.
	nextProbe    clock.Time
	lostInterval clock.Duration
	probing      bool
	lost         bool
}

type domainState struct {
	lastContact clock.Time
	contacted   bool
	lost        bool
}

// New returns a detector without nodes.
func New() *Detector {
	return &Detector{nodes: map[identifier.Node]*nodeState{}, domains: map[identifier.FailureDomain]*domainState{}}
}

// SetDomain adds a node or changes its failure domain.
func (d *Detector) SetDomain(node identifier.Node, in identifier.FailureDomain) {
	w, ok := d.nodes[node]
	if !ok {
		w = &nodeState{}
		d.nodes[node] = w
	}
	w.domain = in
	if d.domains[in] == nil {
		d.domains[in] = &domainState{}
	}
}

// Forget removes a node.
func (d *Detector) Forget(node identifier.Node) {
	delete(d.nodes, node)
}

// Sent records the start of an attempt at a node.
func (d *Detector) Sent(node identifier.Node, now clock.Time) {
	w, ok := d.nodes[node]
	if !ok {
		return
	}
	if w.openAttempts == 0 {
		w.silentSince = now
	}
	w.openAttempts++
}

// Ended records the end of an attempt; answered is true if the node gave an answer of any kind.
func (d *Detector) Ended(node identifier.Node, answered bool, now clock.Time) {
	w, ok := d.nodes[node]
	if !ok {
		return
	}
	w.openAttempts = max(0, w.openAttempts-1)
	if answered {
		d.RecordContact(node, now)
	}
}

// Open returns how many attempts at all nodes have not ended.
func (d *Detector) Open() (count int) {
	for _, w := range d.nodes {
		count += w.openAttempts
	}
	return count
}

// RecordContact records that something was received from a node, which is therefore reachable.
func (d *Detector) RecordContact(node identifier.Node, now clock.Time) {
	w, ok := d.nodes[node]
	if !ok {
		return
	}
	w.silentSince, w.lost, w.suspected, w.lostInterval = now, false, false, 0
	in := d.domains[w.domain]
	in.lastContact, in.contacted, in.lost = now, true, false
}

// Suspect records that a node failed to answer where it should have; the next Tick returns it for a probe.
func (d *Detector) Suspect(node identifier.Node, now clock.Time) {
	if w, ok := d.nodes[node]; ok && !w.lost {
		w.suspected = true
		w.nextProbe = min(w.nextProbe, now)
	}
}

// Lost returns whether a node counts as unreachable.
func (d *Detector) Lost(node identifier.Node) bool {
	w, ok := d.nodes[node]
	return ok && (w.lost || d.domains[w.domain].lost)
}

// Tick returns the nodes to probe now.
func (d *Detector) Tick(now clock.Time) []identifier.Node {
	var due []identifier.Node
	for node, w := range d.nodes {
		silent := w.openAttempts > 0 && now.Sub(w.silentSince) >= probeAfterSilence
		if w.probing || now < w.nextProbe || !silent && !w.lost && !w.suspected {
			continue
		}
		w.probing = true
		due = append(due, node)
	}
	slices.Sort(due)
	return due
}

// Probed records the result of a probe, and returns the nodes that count as lost from now on.
func (d *Detector) Probed(node identifier.Node, reached bool, now clock.Time) []identifier.Node {
	w, ok := d.nodes[node]
	if !ok {
		return nil
	}
	w.probing, w.suspected = false, false
	if reached {
		w.nextProbe = now.Add(reachableProbeInterval)
		d.RecordContact(node, now)
		return nil
	}
	w.lostInterval = min(maxLostProbeInterval, max(minLostProbeInterval, 2*w.lostInterval))
	w.nextProbe = now.Add(w.lostInterval)
	before := d.lostNodes()
	w.lost = true
	in := d.domains[w.domain]
	if d.countLost(w.domain) >= minLostForDomain && (!in.contacted || now.Sub(in.lastContact) >= probeAfterSilence) {
		in.lost = true
	}
	var newlyLost []identifier.Node
	for _, n := range d.lostNodes() {
		if !slices.Contains(before, n) {
			newlyLost = append(newlyLost, n)
		}
	}
	return newlyLost
}

func (d *Detector) countLost(in identifier.FailureDomain) int {
	n := 0
	for _, w := range d.nodes {
		if w.domain == in && w.lost {
			n++
		}
	}
	return n
}

func (d *Detector) lostNodes() []identifier.Node {
	var lost []identifier.Node
	for _, node := range slices.Sorted(maps.Keys(d.nodes)) {
		if d.Lost(node) {
			lost = append(lost, node)
		}
	}
	return lost
}
