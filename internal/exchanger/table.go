package exchanger

// Reports are collected in two steps, without anything being agreed on. Within a failure domain all nodes exchange reports
// with the same one, the first by name that answers: the domain's collector. Collectors exchange with the first of them by
// name, the fleet's collector. With n nodes in d domains that are n exchanges a period, of which d - 1 cross domains. If two
// nodes are asked by different parts of the fleet, each part knows less for a moment, and a later report replaces an earlier
// one wherever they meet. So that they do meet, the fleet's collector looks for members that nobody reports of.
//
// A node that asks says up to where it has heard, and gets only what changed since; of members whose record is the
// same, only what they report. Whole bundles would grow with the square of the fleet.
//
// Example: a and b are in the domain west, c and d in east. b asks a, d asks c, and c asks a, to which it passes on what
// d reports. When a gives no answer, b and c ask the next one, and a again after a while.

import (
	"iter"
	"maps"
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	// minBackoff is how long a node that gave no answer is not asked again: a restart takes one to three seconds. Each
	// further failure doubles that up to maxBackoff. With a fixed time, a node would ask the dead again before it is
	// through with them as soon as there are some ten, such as the nodes of a failure domain that is cut off.
	minBackoff = 3 * clock.Second
	maxBackoff = 30 * clock.Second
	// freshFor is the age up to which a report shows that its node is there: five periods of the reports.
	freshFor = 2500 * clock.Millisecond
	// maxReportAge is the age from which a report is not passed on.
	maxReportAge = 10 * clock.Second
)

// Table holds the newest report of each node; it is not safe for concurrent use.
type Table struct {
	self    identifier.Node
	domain  identifier.FailureDomain
	reports map[identifier.Node]held
	// order holds the nodes with reports, sorted, so that what is summed up from them does not hang on a map's order.
	order    []identifier.Node
	backoffs map[identifier.Node]backoff
	// names are the members' names, sorted; nil when they have to be sorted anew.
	names []identifier.Node
	// sought is the member that was last looked for.
	sought identifier.Node
	// cursor is this table's, heard what other tables' cursors were when they last answered.
	cursor Cursor
	heard  map[identifier.Node]Cursor
	// passed is up to which of its own changes this table has told other nodes, by their tables; asked is up to which it
	// does so with the question under way.
	passed map[identifier.Node]Cursor
	asked  map[identifier.Node]uint64
}

// backoff is until when a node is not asked, and how long that was set for.
type backoff struct {
	until clock.Time
	span  clock.Duration
}

type held struct {
	report Report
	// made is when the report was made, by this node's clock.
	made clock.Time
	// changed is the table's change that brought the report, member the one that brought the member's record.
	changed, member uint64
	// from is the node that told of it, and remote tells that it was one of another failure domain.
	from   identifier.Node
	remote bool
}

// NewTable returns an empty table; id tells it from the tables that the node had before it was started anew.
func NewTable(self identifier.Node, domain identifier.FailureDomain, id uint64) *Table {
	return &Table{
		self:     self,
		domain:   domain,
		reports:  map[identifier.Node]held{},
		backoffs: map[identifier.Node]backoff{},
		cursor:   Cursor{Table: id},
		heard:    map[identifier.Node]Cursor{},
		passed:   map[identifier.Node]Cursor{},
		asked:    map[identifier.Node]uint64{},
	}
}

// Put takes over a report that a member told of if it is newer than what is held.
func (t *Table) Put(r Report, from Member, now clock.Time) bool {
	h, ok := t.reports[r.Member.Node]
	if ok && !r.Newer(h.report) {
		return false
	}
	t.cursor.Change++
	member := t.cursor.Change
	if ok && r.Member == h.report.Member {
		member = h.member
	}
	if !ok {
		place, _ := slices.BinarySearch(t.order, r.Member.Node)
		t.order = slices.Insert(t.order, place, r.Member.Node)
	}
	t.reports[r.Member.Node] = held{
		report:  r,
		made:    now.Add(-r.Age),
		changed: t.cursor.Change,
		member:  member,
		from:    from.Node,
		remote:  from.Domain != t.domain,
	}
	return true
}

// Seek returns the question for a member of which nothing is known.
func (t *Table) Seek(sought Member, own Report) Question {
	t.asked[sought.Node] = t.passed[sought.Node].Change
	return Question{Report: own, Heard: t.heard[sought.Node]}
}

// Ask returns the question for a member, with the reports that it lacks as far as is known here.
func (t *Table) Ask(asked Member, own Report, now clock.Time) Question {
	q := t.Seek(asked, own)
	told := t.passed[asked.Node]
	if told.Table != q.Heard.Table {
		told.Change = 0
	}
	t.asked[asked.Node] = t.cursor.Change
	for r := range t.All(now) {
		h := t.reports[r.Member.Node]
		if r.Member.Node != t.self && h.changed > told.Change && h.passedTo(asked, t.domain) {
			q.Passed = append(q.Passed, r)
		}
	}
	return q
}

// passedTo tells whether a report is passed on with a question. To another failure domain all are, and within the own one
// those that its collector may not have: what a node told itself, and what came from another domain.
func (h held) passedTo(asked Member, domain identifier.FailureDomain) bool {
	if h.from == asked.Node || h.report.Member.Node == asked.Node {
		return false
	}
	return asked.Domain != domain || h.remote || h.from == h.report.Member.Node
}

// Answer returns what a node has not heard yet, itself and what it told left out.
func (t *Table) Answer(asking identifier.Node, heard Cursor, now clock.Time) Answer {
	if heard.Table != t.cursor.Table {
		heard.Change = 0
	}
	a := Answer{Cursor: t.cursor}
	for r := range t.All(now) {
		h := t.reports[r.Member.Node]
		known := h.changed <= heard.Change || h.from == asking && heard.Change > 0
		if r.Member.Node == asking || known {
			continue
		}
		if r.Compact = h.member <= heard.Change; r.Compact {
			r.Member = Member{Node: r.Member.Node}
		}
		a.Reports = append(a.Reports, r)
	}
	return a
}

// Hear completes a node's answer by the records that are held here. If one is missing, the node is asked for everything
// next time.
func (t *Table) Hear(node identifier.Node, a Answer) []Report {
	reports := make([]Report, 0, len(a.Reports))
	before := t.heard[node]
	t.passed[node] = Cursor{Table: a.Cursor.Table, Change: t.asked[node]}
	if before.Table != 0 && before.Table != a.Cursor.Table {
		// The node was started anew and has got only what was new.
		t.passed[node] = Cursor{}
	}
	t.heard[node] = a.Cursor
	for _, r := range a.Reports {
		if r.Compact {
			h, ok := t.reports[r.Member.Node]
			if !ok {
				delete(t.heard, node)
				continue
			}
			r.Member, r.Compact = h.report.Member, false
		}
		reports = append(reports, r)
	}
	return reports
}

// Elapse ages all reports by a time that this node's clock did not count.
func (t *Table) Elapse(span clock.Duration) {
	for node, h := range t.reports {
		h.made = h.made.Add(-span)
		t.reports[node] = h
	}
}

// Age returns how old the newest report of a node is.
func (t *Table) Age(node identifier.Node, now clock.Time) (clock.Duration, bool) {
	h, ok := t.reports[node]
	return now.Sub(h.made), ok
}

// All gives all reports that are not too old, with their ages, in the order of their nodes.
func (t *Table) All(now clock.Time) iter.Seq[Report] {
	return func(yield func(Report) bool) {
		for _, node := range t.order {
			h := t.reports[node]
			age := now.Sub(h.made)
			if age > maxReportAge {
				continue
			}
			r := h.report
			r.Age = age
			if !yield(r) {
				return
			}
		}
	}
}

// Reports returns what All gives.
func (t *Table) Reports(now clock.Time) []Report {
	return slices.Collect(t.All(now))
}

// Drop forgets a node.
func (t *Table) Drop(node identifier.Node) {
	if _, ok := t.reports[node]; !ok {
		return
	}
	delete(t.reports, node)
	place, _ := slices.BinarySearch(t.order, node)
	t.order = slices.Delete(t.order, place, place+1)
}

// Len returns of how many nodes there are reports, old ones included.
func (t *Table) Len() int {
	return len(t.order)
}

// Failed notes that a node gave no answer.
func (t *Table) Failed(node identifier.Node, now clock.Time) {
	a := t.backoffs[node]
	a.span = min(maxBackoff, max(minBackoff, 2*a.span))
	a.until = now.Add(a.span)
	t.backoffs[node] = a
}

// Answered notes that a node gave an answer.
func (t *Table) Answered(node identifier.Node) {
	delete(t.backoffs, node)
}

// Next returns the node to ask, which may be this one: the first by name in the own failure domain of those whose reports
// are fresh and that have not failed lately, and for that one the first of all domains. A node that hears nobody goes
// through all others, those of its domain and with the fewest failures first. The store keeps the records of machines
// that are gone, and those must not come first for ever.
func (t *Table) Next(members map[identifier.Node]Member, now clock.Time) identifier.Node {
	names := t.sorted(members)
	if !t.hears(members, now) {
		return t.leastFailed(names, members, now)
	}
	for _, node := range names {
		if members[node].Domain == t.domain && t.answers(node, now) {
			if node != t.self {
				return node
			}
			break
		}
	}
	for _, node := range names {
		if t.answers(node, now) {
			return node
		}
	}
	return t.self
}

// answers tells whether a node may be asked: this one, or one that is heard of and has not failed lately.
func (t *Table) answers(node identifier.Node, now clock.Time) bool {
	return node == t.self || now >= t.backoffs[node].until && t.fresh(node, now)
}

// MembersChanged tells that a member came or went.
func (t *Table) MembersChanged() {
	t.names = nil
}

// sorted returns the members' names. They are needed dozens of times a second, and change rarely.
func (t *Table) sorted(members map[identifier.Node]Member) []identifier.Node {
	if len(t.names) != len(members) {
		t.names = slices.Sorted(maps.Keys(members))
	}
	return t.names
}

// Collects tells whether this node is its failure domain's collector, as far as it knows.
func (t *Table) Collects(members map[identifier.Node]Member, now clock.Time) bool {
	next := t.Next(members, now)
	return next == t.self || members[next].Domain != t.domain
}

// Missing returns a member of which nothing fresh is known, each in turn, and none if there is no such member. Two parts of a
// fleet that started while they could not reach each other would else stay apart for good: each asks the first node
// that it hears of, and hears only of its own part.
func (t *Table) Missing(members map[identifier.Node]Member, now clock.Time) (identifier.Node, bool) {
	var missing []identifier.Node
	for _, node := range t.sorted(members) {
		if node != t.self && !t.fresh(node, now) {
			missing = append(missing, node)
		}
	}
	if len(missing) == 0 {
		return "", false
	}
	place, found := slices.BinarySearch(missing, t.sought)
	if found {
		place++
	}
	t.sought = missing[place%len(missing)]
	return t.sought, true
}

func (t *Table) leastFailed(
	names []identifier.Node,
	members map[identifier.Node]Member,
	now clock.Time,
) identifier.Node {
	best := t.self
	better := func(node identifier.Node) bool {
		if best == t.self {
			return true
		}
		near, bestNear := members[node].Domain == t.domain, members[best].Domain == t.domain
		if near != bestNear {
			return near
		}
		return t.backoffs[node].span < t.backoffs[best].span
	}
	for _, node := range names {
		if node != t.self && now >= t.backoffs[node].until && better(node) {
			best = node
		}
	}
	return best
}

// hears tells whether some other node's report is fresh.
func (t *Table) hears(members map[identifier.Node]Member, now clock.Time) bool {
	for node := range members {
		if node != t.self && t.fresh(node, now) {
			return true
		}
	}
	return false
}

func (t *Table) fresh(node identifier.Node, now clock.Time) bool {
	age, ok := t.Age(node, now)
	return ok && age <= freshFor
}
