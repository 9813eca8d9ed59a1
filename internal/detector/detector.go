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
	// silentFor is how long a node with attempts under way may say nothing before it is probed: more than most runs take
	// (15 to 280 ms), and a fifth of the time in which the system's own timers notice.
	silentFor = 300 * clock.Millisecond
	// Patience is how long a probe may take: thirty round trips between failure domains, and two tenths of a second in which
	// a VM's share of its processor may be used up.
	Patience = 250 * clock.Millisecond
	// lostPause is the time until a node that is lost is probed again; it doubles up to mostPause, since some are gone for good.
	// wellPause is that after a probe that reached its node: many slow requests would else cost a probe each 300 ms.
	lostPause = 500 * clock.Millisecond
	mostPause = 2 * clock.Second
	wellPause = 1500 * clock.Millisecond
	// leastLost is how many nodes of a failure domain must be lost for all of it to count so.
	leastLost = 2
)

// Detector watches the other nodes for one node; it is not safe for concurrent use.
type Detector struct {
	nodes   map[identifier.Node]*watch
	domains map[identifier.FailureDomain]*domain
}

type watch struct {
	domain identifier.FailureDomain
	// open counts the attempts under way, since is from when the node has said nothing to them.
	open  int
	since clock.Time
	// doubted tells that the node gave no answer where it should have.
	doubted bool
	// next is when the node may be probed again, pause how long that was set for after the last probe in vain.
	next    clock.Time
	pause   clock.Duration
	probing bool
	lost    bool
}

type domain struct {
	heard clock.Time
	known bool
	lost  bool
}

// New returns a detector that watches nobody.
func New() *Detector {
	return &Detector{nodes: map[identifier.Node]*watch{}, domains: map[identifier.FailureDomain]*domain{}}
}

// Know takes over in which failure domain a node is.
func (d *Detector) Know(node identifier.Node, in identifier.FailureDomain) {
	w, ok := d.nodes[node]
	if !ok {
		w = &watch{}
		d.nodes[node] = w
	}
	w.domain = in
	if d.domains[in] == nil {
		d.domains[in] = &domain{}
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
	if w.open == 0 {
		w.since = now
	}
	w.open++
}

// Ended notes the end of an attempt; word tells that the node gave an answer of any kind.
func (d *Detector) Ended(node identifier.Node, word bool, now clock.Time) {
	w, ok := d.nodes[node]
	if !ok {
		return
	}
	w.open = max(0, w.open-1)
	if word {
		d.Word(node, now)
	}
}

// Word notes that a node has said something.
func (d *Detector) Word(node identifier.Node, now clock.Time) {
	w, ok := d.nodes[node]
	if !ok {
		return
	}
	w.since, w.lost, w.doubted, w.pause = now, false, false, 0
	in := d.domains[w.domain]
	in.heard, in.known, in.lost = now, true, false
}

// Doubt notes that a node gave no answer where it should have: it is probed at once.
func (d *Detector) Doubt(node identifier.Node, now clock.Time) {
	if w, ok := d.nodes[node]; ok && !w.lost {
		w.doubted = true
		w.next = min(w.next, now)
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
		silent := w.open > 0 && now.Sub(w.since) >= silentFor
		if w.probing || now < w.next || !silent && !w.lost && !w.doubted {
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
	w.probing, w.doubted = false, false
	if reached {
		w.next = now.Add(wellPause)
		d.Word(node, now)
		return nil
	}
	w.pause = min(mostPause, max(lostPause, 2*w.pause))
	w.next = now.Add(w.pause)
	before := d.lostOnes()
	w.lost = true
	in := d.domains[w.domain]
	if d.lostIn(w.domain) >= leastLost && (!in.known || now.Sub(in.heard) >= silentFor) {
		in.lost = true
	}
	var fresh []identifier.Node
	for _, n := range d.lostOnes() {
		if !slices.Contains(before, n) {
			fresh = append(fresh, n)
		}
	}
	return fresh
}

func (d *Detector) lostIn(in identifier.FailureDomain) int {
	n := 0
	for _, w := range d.nodes {
		if w.domain == in && w.lost {
			n++
		}
	}
	return n
}

func (d *Detector) lostOnes() []identifier.Node {
	var lost []identifier.Node
	for _, node := range slices.Sorted(maps.Keys(d.nodes)) {
		if d.Lost(node) {
			lost = append(lost, node)
		}
	}
	return lost
}
