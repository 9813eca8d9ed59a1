package conductor

// This node detects unreachable nodes from its own attempts (see detector). An unreachable node gets no more requests
// and no exchanges of reports. Attempts of idempotent requests in flight there are aborted, so that their callers can
// be served elsewhere; all other attempts are not aborted, since their requests may have run.
//
// Example: Probed{Node: "b"} gives Abort for each idempotent request that waits for b.

import (
	"maps"
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

// learnReachability updates the detector from the end of an attempt.
func (c *Conductor) learnReachability(r *call, o Outcome, now clock.Time) {
	if r.attemptNode == "" {
		return
	}
	responded := o == Answered || o == Moved || o == Full || o == Declined || o == Over
	c.detector.Ended(r.attemptNode, responded, now)
	if o == Unreached || o == Broken {
		c.detector.Suspect(r.attemptNode, now)
	}
	r.attemptNode = ""
}

// sendProbes probes the nodes whose probe is due: silent, suspected and lost ones.
func (c *Conductor) sendProbes(now clock.Time) {
	for _, node := range c.detector.Tick(now) {
		c.emit(Probe{Node: node, Address: c.members[node].DeliveryAddress})
	}
}

func (c *Conductor) probeEnded(e Probed, now clock.Time) {
	if e.Reached && c.detector.Lost(e.Node) {
		c.table.RecordAnswer(e.Node)
	}
	for _, node := range c.detector.Probed(e.Node, e.Reached, now) {
		c.table.RecordFailure(node, now)
		if m := c.members[node]; m.Endpoint != "" && m.State != exchanger.Absent {
			c.putEndpoint(m, now, true)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.calls)) {
		r := c.calls[id]
		if r.attemptNode != "" && r.route.Kind == matcher.Idempotent && c.detector.Lost(r.attemptNode) {
			c.emit(Abort{ID: id})
		}
	}
}

// Lost reports whether another node counts as unreachable.
func (c *Conductor) Lost(node identifier.Node) bool {
	return c.detector.Lost(node)
}
