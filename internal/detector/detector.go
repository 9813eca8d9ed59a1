package detector

// A failure domain is cut off without a word: connections into it stay open, what is sent on them gets no answer, and a
// system's own timers notice after 1.5 s and more. Reports show a silence after 2.5 s. Until then each request that is
// sent there is lost, and an order may not be sent again. So this node watches its own attempts: while one is under way to a
// node that has said nothing for a while, the node is probed, by opening a connection to it. An opening costs one round
// trip and is answered by the other system even where its process is busy, so that a slow node is not taken for a lost one.
//
// When two nodes of a failure domain can't be reached and no other one there has said anything of late, all of it counts as
// lost: with 22 nodes, finding out one by one would cost each its own requests.
//
// Example: Sent("b") at 1000 and no word: Tick at 1300 says that b is to be probed; Probed("b", false) makes it lost; a word
// of b's, or a probe that reaches it, makes it well again.

import (
	"maps"
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	// probeAfterSilence is how long a node with attempts under way may say nothing before it is probed: more than most runs take
	// (15 to 280 ms), and a fifth of the time in which the system's own timers notice.
	probeAfterSilence = 300 * clock.Millisecond
	// ProbeTimeout is how long a probe may take: thirty round trips between failure domains, and two tenths of a second in which
	// a VM's share of its processor may be used up.
	ProbeTimeout = 250 * clock.Millisecond
	// minLostProbeInterval is the time until a node that is lost is probed again; it doubles up to mostPause, since some are gone for good.
	// reachableProbeInterval is that after a probe that reached its node: many slow requests would else cost a probe each 300 ms.
	minLostProbeInterval   = 500 * clock.Millisecond
	maxLostProbeInterval   = 2 * clock.Second
	reachableProbeInterval = 1500 * clock.Millisecond
	// minLostForDomain is how many nodes of a failure domain must be lost for all of it to count so.
	minLostForDomain = 2
)

// Detector watches the other nodes for one node; it is not safe for concurrent use.
type Detector struct {
	nodes   map[identifier.Node]*nodeState
	domains map[identifier.FailureDomain]*domainState
}

type nodeState struct {
	domain identifier.FailureDomain
	// openAttempts counts the attempts under way, since is from when the node has said nothing to them.
	openAttempts int
	silentSince  clock.Time
	// suspected tells that the node gave no answer where it should have.
	suspected bool
	// nextProbe is when the node may be probed again, pause how long that was set for after the last probe in vain.
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

// New returns a detector that watches nobody.
func New() *Detector {
	return &Detector{nodes: map[identifier.Node]*nodeState{}, domains: map[identifier.FailureDomain]*domainState{}}
}

// SetDomain takes over in which failure domain a node is.
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

// Forget drops a node.
func (d *Detector) Forget(node identifier.Node) {
	delete(d.nodes, node)
}

// Sent notes an attempt at a node.
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

// Ended notes the end of an attempt; word tells that the node gave an answer of any kind.
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

// RecordContact notes that a node has said something.
func (d *Detector) RecordContact(node identifier.Node, now clock.Time) {
	w, ok := d.nodes[node]
	if !ok {
		return
	}
	w.silentSince, w.lost, w.suspected, w.lostInterval = now, false, false, 0
	in := d.domains[w.domain]
	in.lastContact, in.contacted, in.lost = now, true, false
}

// Suspect notes that a node gave no answer where it should have: it is probed at once.
func (d *Detector) Suspect(node identifier.Node, now clock.Time) {
	if w, ok := d.nodes[node]; ok && !w.lost {
		w.suspected = true
		w.nextProbe = min(w.nextProbe, now)
	}
}

// Lost tells whether a node can't be reached.
func (d *Detector) Lost(node identifier.Node) bool {
	w, ok := d.nodes[node]
	return ok && (w.lost || d.domains[w.domain].lost)
}

// Tick returns the nodes that are to be probed now.
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

// Probed takes over how a probe ended, and returns the nodes that count as lost from now on.
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
