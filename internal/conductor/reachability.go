package conductor

// Which nodes can be reached is learned from this node's own attempts (see detector). A node that can't be gets no more
// requests, reports are not exchanged with it, and attempts under way there that may run again are given up: their callers
// can still be served elsewhere. An order that is under way there is not, since it may have run.
//
// Example: Probed{Node: "b"} gives Abort for each lookup that waits for b.

import (
	"maps"
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

// learnReachability takes from the end of an attempt whether its node can be reached.
func (c *Conductor) learnReachability(r *call, o Outcome, now clock.Time) {
	if r.at == "" {
		return
	}
	word := o == Answered || o == Moved || o == Full || o == Declined || o == Over
	c.detector.Ended(r.at, word, now)
	if o == Unreached || o == Broken {
		c.detector.Doubt(r.at, now)
	}
	r.at = ""
}

// probe has the nodes probed that owe a word.
func (c *Conductor) probe(now clock.Time) {
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
			c.route(m, now, true)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.calls)) {
		r := c.calls[id]
		if r.at != "" && r.route.Kind == matcher.Idempotent && c.detector.Lost(r.at) {
			c.emit(Abort{ID: id})
		}
	}
}

// Lost tells whether another node counts as out of reach.
func (c *Conductor) Lost(node identifier.Node) bool {
	return c.detector.Lost(node)
}
