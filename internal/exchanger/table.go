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
	// maxFreshAge is the age up to which a report shows that its node is there: five periods of the reports.
	maxFreshAge = 2500 * clock.Millisecond
	// maxReportAge is the age from which a report is not passed on.
	maxReportAge = 10 * clock.Second
)

// Table holds the newest report of each node; it is not safe for concurrent use.
type Table struct {
	self    identifier.Node
	domain  identifier.FailureDomain
	reports map[identifier.Node]heldReport
	// sortedNodes holds the nodes with reports, sorted, so that what is summed up from them does not hang on a map's order.
	sortedNodes []identifier.Node
	backoffs    map[identifier.Node]backoff
	// memberNames are the members' names, sorted; nil when they have to be sorted anew.
	memberNames []identifier.Node
	// lastSought is the member that was last looked for.
	lastSought identifier.Node
	// cursor is this table's, heard what other tables' cursors were when they last answered.
	cursor          Cursor
	receivedCursors map[identifier.Node]Cursor
	// sentCursors is up to which of its own changes this table has told other nodes, by their tables; asked is up to which it
	// does so with the question under way.
	sentCursors    map[identifier.Node]Cursor
	pendingChanges map[identifier.Node]uint64
}

// backoff is until when a node is not asked, and how long that was set for.
type backoff struct {
	until clock.Time
	span  clock.Duration
}

type heldReport struct {
	report Report
	// madeAt is when the report was made, by this node's clock.
	madeAt clock.Time
	// reportChange is the table's change that brought the report, member the one that brought the member's record.
	reportChange, memberChange uint64
	// source is the node that told of it, and remote tells that it was one of another failure domain.
	source          identifier.Node
	fromOtherDomain bool
}

// NewTable returns an empty table; id tells it from the tables that the node had before it was started anew.
func NewTable(self identifier.Node, domain identifier.FailureDomain, id uint64) *Table {
	return &Table{
		self:            self,
		domain:          domain,
		reports:         map[identifier.Node]heldReport{},
		backoffs:        map[identifier.Node]backoff{},
		cursor:          Cursor{Table: id},
		receivedCursors: map[identifier.Node]Cursor{},
		sentCursors:     map[identifier.Node]Cursor{},
		pendingChanges:  map[identifier.Node]uint64{},
	}
}

// Put takes over a report that a member told of if it is newer than what is held.
func (t *Table) Put(r Report, source Member, now clock.Time) bool {
	h, ok := t.reports[r.Member.Node]
	if ok && !r.Newer(h.report) {
		return false
	}
	t.cursor.Change++
	memberChange := t.cursor.Change
	if ok && r.Member == h.report.Member {
		memberChange = h.memberChange
	}
	if !ok {
		place, _ := slices.BinarySearch(t.sortedNodes, r.Member.Node)
		t.sortedNodes = slices.Insert(t.sortedNodes, place, r.Member.Node)
	}
	t.reports[r.Member.Node] = heldReport{
		report:          r,
		madeAt:          now.Add(-r.Age),
		reportChange:    t.cursor.Change,
		memberChange:    memberChange,
		source:          source.Node,
		fromOtherDomain: source.Domain != t.domain,
	}
	return true
}

// QuestionWithoutReports returns the question for a member of which nothing is known.
func (t *Table) QuestionWithoutReports(target Member, own Report) Question {
	t.pendingChanges[target.Node] = t.sentCursors[target.Node].Change
	return Question{Report: own, Since: t.receivedCursors[target.Node]}
}

// QuestionFor returns the question for a member, with the reports that it lacks as far as is known here.
func (t *Table) QuestionFor(target Member, own Report, now clock.Time) Question {
	q := t.QuestionWithoutReports(target, own)
	sent := t.sentCursors[target.Node]
	if sent.Table != q.Since.Table {
		sent.Change = 0
	}
	t.pendingChanges[target.Node] = t.cursor.Change
	for r := range t.All(now) {
		h := t.reports[r.Member.Node]
		if r.Member.Node != t.self && h.reportChange > sent.Change && h.isForwardedTo(target, t.domain) {
			q.Forwarded = append(q.Forwarded, r)
		}
	}
	return q
}

// isForwardedTo tells whether a report is passed on with a question. To another failure domain all are, and within the own one
// those that its collector may not have: what a node told itself, and what came from another domain.
func (h heldReport) isForwardedTo(asked Member, domain identifier.FailureDomain) bool {
	if h.source == asked.Node || h.report.Member.Node == asked.Node {
		return false
	}
	return asked.Domain != domain || h.fromOtherDomain || h.source == h.report.Member.Node
}

// Answer returns what a node has not heard yet, itself and what it told left out.
func (t *Table) Answer(asker identifier.Node, since Cursor, now clock.Time) Answer {
	if since.Table != t.cursor.Table {
		since.Change = 0
	}
	a := Answer{Cursor: t.cursor}
	for r := range t.All(now) {
		h := t.reports[r.Member.Node]
		known := h.reportChange <= since.Change || h.source == asker && since.Change > 0
		if r.Member.Node == asker || known {
			continue
		}
		if r.Compact = h.memberChange <= since.Change; r.Compact {
			r.Member = Member{Node: r.Member.Node}
		}
		a.Reports = append(a.Reports, r)
	}
	return a
}

// AcceptAnswer completes a node's answer by the records that are held here. If one is missing, the node is asked for everything
// next time.
func (t *Table) AcceptAnswer(node identifier.Node, a Answer) []Report {
	reports := make([]Report, 0, len(a.Reports))
	before := t.receivedCursors[node]
	t.sentCursors[node] = Cursor{Table: a.Cursor.Table, Change: t.pendingChanges[node]}
	if before.Table != 0 && before.Table != a.Cursor.Table {
		// The node was started anew and has got only what was new.
		t.sentCursors[node] = Cursor{}
	}
	t.receivedCursors[node] = a.Cursor
	for _, r := range a.Reports {
		if r.Compact {
			h, ok := t.reports[r.Member.Node]
			if !ok {
				delete(t.receivedCursors, node)
				continue
			}
			r.Member, r.Compact = h.report.Member, false
		}
		reports = append(reports, r)
	}
	return reports
}

// AddElapsed ages all reports by a time that this node's clock did not count.
func (t *Table) AddElapsed(span clock.Duration) {
	for node, h := range t.reports {
		h.madeAt = h.madeAt.Add(-span)
		t.reports[node] = h
	}
}

// Age returns how old the newest report of a node is.
func (t *Table) Age(node identifier.Node, now clock.Time) (clock.Duration, bool) {
	h, ok := t.reports[node]
	return now.Sub(h.madeAt), ok
}

// All gives all reports that are not too old, with their ages, in the order of their nodes.
func (t *Table) All(now clock.Time) iter.Seq[Report] {
	return func(yield func(Report) bool) {
		for _, node := range t.sortedNodes {
			h := t.reports[node]
			age := now.Sub(h.madeAt)
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
	place, _ := slices.BinarySearch(t.sortedNodes, node)
	t.sortedNodes = slices.Delete(t.sortedNodes, place, place+1)
}

// Len returns of how many nodes there are reports, old ones included.
func (t *Table) Len() int {
	return len(t.sortedNodes)
}

// RecordFailure notes that a node gave no answer.
func (t *Table) RecordFailure(node identifier.Node, now clock.Time) {
	b := t.backoffs[node]
	b.span = min(maxBackoff, max(minBackoff, 2*b.span))
	b.until = now.Add(b.span)
	t.backoffs[node] = b
}

// RecordAnswer notes that a node gave an answer.
func (t *Table) RecordAnswer(node identifier.Node) {
	delete(t.backoffs, node)
}

// Next returns the node to ask, which may be this one: the first by name in the own failure domain of those whose reports
// are fresh and that have not failed lately, and for that one the first of all domains. A node that hears nobody goes
// through all others, those of its domain and with the fewest failures first. The store keeps the records of machines
// that are gone, and those must not come first for ever.
func (t *Table) Next(members map[identifier.Node]Member, now clock.Time) identifier.Node {
	names := t.sortedMemberNames(members)
	if !t.hasFreshPeer(members, now) {
		return t.leastFailed(names, members, now)
	}
	for _, node := range names {
		if members[node].Domain == t.domain && t.isAvailable(node, now) {
			if node != t.self {
				return node
			}
			break
		}
	}
	for _, node := range names {
		if t.isAvailable(node, now) {
			return node
		}
	}
	return t.self
}

// isAvailable tells whether a node may be asked: this one, or one that is heard of and has not failed lately.
func (t *Table) isAvailable(node identifier.Node, now clock.Time) bool {
	return node == t.self || now >= t.backoffs[node].until && t.isFresh(node, now)
}

// MembersChanged tells that a member came or went.
func (t *Table) MembersChanged() {
	t.memberNames = nil
}

// sortedMemberNames returns the members' names. They are needed dozens of times a second, and change rarely.
func (t *Table) sortedMemberNames(members map[identifier.Node]Member) []identifier.Node {
	if len(t.memberNames) != len(members) {
		t.memberNames = slices.Sorted(maps.Keys(members))
	}
	return t.memberNames
}

// IsCollector tells whether this node is its failure domain's collector, as far as it knows.
func (t *Table) IsCollector(members map[identifier.Node]Member, now clock.Time) bool {
	next := t.Next(members, now)
	return next == t.self || members[next].Domain != t.domain
}

// NextMissing returns a member of which nothing fresh is known, each in turn, and none if there is no such member. Two parts of a
// fleet that started while they could not reach each other would else stay apart for good: each asks the first node
// that it hears of, and hears only of its own part.
func (t *Table) NextMissing(members map[identifier.Node]Member, now clock.Time) (identifier.Node, bool) {
	var missing []identifier.Node
	for _, node := range t.sortedMemberNames(members) {
		if node != t.self && !t.isFresh(node, now) {
			missing = append(missing, node)
		}
	}
	if len(missing) == 0 {
		return "", false
	}
	place, found := slices.BinarySearch(missing, t.lastSought)
	if found {
		place++
	}
	t.lastSought = missing[place%len(missing)]
	return t.lastSought, true
}

func (t *Table) leastFailed(
	names []identifier.Node,
	members map[identifier.Node]Member,
	now clock.Time,
) identifier.Node {
	best := t.self
	isBetter := func(node identifier.Node) bool {
		if best == t.self {
			return true
		}
		local, bestLocal := members[node].Domain == t.domain, members[best].Domain == t.domain
		if local != bestLocal {
			return local
		}
		return t.backoffs[node].span < t.backoffs[best].span
	}
	for _, node := range names {
		if node != t.self && now >= t.backoffs[node].until && isBetter(node) {
			best = node
		}
	}
	return best
}

// hasFreshPeer tells whether some other node's report is fresh.
func (t *Table) hasFreshPeer(members map[identifier.Node]Member, now clock.Time) bool {
	for node := range members {
		if node != t.self && t.isFresh(node, now) {
			return true
		}
	}
	return false
}

func (t *Table) isFresh(node identifier.Node, now clock.Time) bool {
	age, ok := t.Age(node, now)
	return ok && age <= maxFreshAge
}
