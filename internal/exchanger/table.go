package exchanger

// All nodes send their report to the same node and get everybody's back: with n nodes that are n small exchanges a
// period instead of n squared. Nothing is agreed on: if two nodes are asked by different parts of the fleet, each
// part knows less for a moment, and a later report replaces an earlier one wherever they meet.
//
// Example: nodes a, b and c ask a; when a gives no answer, they ask b, and a again after a while.

import (
	"maps"
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	// avoidFor is how long a node that gave no answer is not asked again: a restart takes one to three seconds.
	avoidFor = 3 * clock.Second
	// oldest is the age from which a report is not passed on.
	oldest = 10 * clock.Second
)

// Table holds the newest report of each node; it is not safe for concurrent use.
type Table struct {
	self    identifier.Node
	reports map[identifier.Node]held
	avoided map[identifier.Node]clock.Time
}

type held struct {
	report Report
	// made is when the report was made, by this node's clock.
	made clock.Time
}

// NewTable returns an empty table.
func NewTable(self identifier.Node) *Table {
	return &Table{self: self, reports: map[identifier.Node]held{}, avoided: map[identifier.Node]clock.Time{}}
}

// Put takes a report over if it is newer than what is held.
func (t *Table) Put(r Report, now clock.Time) bool {
	h, ok := t.reports[r.Member.Node]
	if ok && !r.Newer(h.report) {
		return false
	}
	t.reports[r.Member.Node] = held{report: r, made: now.Add(-r.Age)}
	return true
}

// Age returns how old the newest report of a node is.
func (t *Table) Age(node identifier.Node, now clock.Time) (clock.Duration, bool) {
	h, ok := t.reports[node]
	return now.Sub(h.made), ok
}

// Report returns the newest report of a node.
func (t *Table) Report(node identifier.Node) (Report, bool) {
	h, ok := t.reports[node]
	return h.report, ok
}

// Reports returns all reports that are not too old, with their ages.
func (t *Table) Reports(now clock.Time) []Report {
	var all []Report
	for _, node := range slices.Sorted(maps.Keys(t.reports)) {
		h := t.reports[node]
		r := h.report
		r.Age = now.Sub(h.made)
		if r.Age <= oldest {
			all = append(all, r)
		}
	}
	return all
}

// Drop forgets a node.
func (t *Table) Drop(node identifier.Node) {
	delete(t.reports, node)
}

// Failed notes that a node gave no answer.
func (t *Table) Failed(node identifier.Node, now clock.Time) {
	t.avoided[node] = now.Add(avoidFor)
}

// Next returns the node to ask: the first by name among those that have not failed lately, which may be this one.
func (t *Table) Next(members map[identifier.Node]Member, now clock.Time) identifier.Node {
	for _, node := range slices.Sorted(maps.Keys(members)) {
		if node == t.self {
			return node
		}
		if now >= t.avoided[node] {
			return node
		}
	}
	return t.self
}
