package exchanger

// Reports are collected in two levels, without any agreement protocol. Within a failure domain all nodes exchange reports
// with the same node, the first by name that answers: the domain's collector. Domain collectors exchange reports with the
// first of them by name, the fleet's collector. With n nodes in d domains that makes n exchanges per period, of which d - 1
// cross domains. If parts of the fleet use different collectors, each part lacks the other's reports until the collectors
// exchange theirs; a newer report always replaces an older one. To make sure that they do, the fleet's collector probes
// members without a fresh report.
//
// A question holds the asking node's cursor, and the answer holds only the delta since then; reports of members whose
// record has not changed are compact. Sending all reports every time would make traffic grow with the square of the fleet.
//
// Example: a and b are in the domain west, c and d in east. b asks a, d asks c, and c asks a and forwards d's report to
// it. When a does not answer, b and c ask the next node by name, and retry a after a backoff.

import (
	"iter"
	"maps"
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	// minBackoff is how long a node is not asked again after its first failure: a restart takes one to three seconds. Each
	// further failure doubles the backoff up to maxBackoff. With a fixed backoff and about ten dead nodes, such as those of
	// a partitioned failure domain, the first would be asked again before a living one is reached.
	minBackoff = 3 * clock.Second
	maxBackoff = 30 * clock.Second
	// maxFreshAge is the age up to which a report counts as proof that its node is alive: five report periods.
	maxFreshAge = 2500 * clock.Millisecond
	// maxReportAge is the age above which a report is neither used nor forwarded.
	maxReportAge = 10 * clock.Second
)

// Table holds the newest report of each node; it is not safe for concurrent use.
type Table struct {
	self    identifier.Node
	domain  identifier.FailureDomain
	reports map[identifier.Node]heldReport
	// sortedNodes holds the nodes with reports, sorted, so that sums over the reports do not depend on map iteration order.
	sortedNodes []identifier.Node
	backoffs    map[identifier.Node]backoff
	// memberNames caches the members' names, sorted; nil when the cache is invalid.
	memberNames []identifier.Node
	// lastSought is the member that NextMissing returned last.
	lastSought identifier.Node
	// cursor is this table's own; receivedCursors holds the other tables' cursors as of their last answers.
	cursor          Cursor
	receivedCursors map[identifier.Node]Cursor
	// sentCursors holds, by node, the receiver's table and the last change of this table that it has been sent;
	// pendingChanges holds the last change that the question in flight covers.
	sentCursors    map[identifier.Node]Cursor
	pendingChanges map[identifier.Node]uint64
}

// backoff is the time until which a node is not asked, and the duration of that backoff.
type backoff struct {
	until clock.Time
	span  clock.Duration
}

type heldReport struct {
	report Report
	// madeAt is when the report was created, by this node's clock.
	madeAt clock.Time
	// reportChange is the table's change that stored the report, memberChange the one that stored the member's record.
	reportChange, memberChange uint64
	// source is the node that sent the report; fromOtherDomain means that it belongs to another failure domain.
	source          identifier.Node
	fromOtherDomain bool
}

// NewTable returns an empty table; id distinguishes it from the tables of the node's earlier runs.
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

// Put stores a report received from the source if it is newer than the stored one, and reports whether it did.
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

// QuestionWithoutReports returns a question that forwards no reports, for a member without a fresh report.
func (t *Table) QuestionWithoutReports(target Member, own Report) Question {
	t.pendingChanges[target.Node] = t.sentCursors[target.Node].Change
	return Question{Report: own, Since: t.receivedCursors[target.Node]}
}

// QuestionFor returns the question for a member, with the reports that it has not been sent yet.
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

// isForwardedTo reports whether a question to the target forwards the report. Reports of all nodes are forwarded to another
// failure domain; within the local failure domain only those that its collector may lack: reports received from the
// reporting node itself or from another domain.
func (h heldReport) isForwardedTo(target Member, ownDomain identifier.FailureDomain) bool {
	if h.source == target.Node || h.report.Member.Node == target.Node {
		return false
	}
	return target.Domain != ownDomain || h.fromOtherDomain || h.source == h.report.Member.Node
}

// Answer returns the reports changed since the asking node's cursor, without the node's own report and, unless the cursor
// is reset, without those that came from the node.
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

// AcceptAnswer updates the node's cursors and returns its reports, with compact ones expanded from the stored member
// records. If a record is missing, the cursor is reset, so that the next answer holds all reports.
func (t *Table) AcceptAnswer(node identifier.Node, a Answer) []Report {
	reports := make([]Report, 0, len(a.Reports))
	before := t.receivedCursors[node]
	t.sentCursors[node] = Cursor{Table: a.Cursor.Table, Change: t.pendingChanges[node]}
	if before.Table != 0 && before.Table != a.Cursor.Table {
		// The node has restarted with an empty table, and the question held only the changes since its last answer, so
		// the next question forwards all reports again.
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

// AddElapsed ages all reports by a time span that this node's clock did not count, such as a suspension.
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

// All iterates over the reports up to maxReportAge, with their ages, in the order of their nodes' names.
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

// Reports returns the reports of All as a slice.
func (t *Table) Reports(now clock.Time) []Report {
	return slices.Collect(t.All(now))
}

// Drop removes a node's report.
func (t *Table) Drop(node identifier.Node) {
	if _, ok := t.reports[node]; !ok {
		return
	}
	delete(t.reports, node)
	place, _ := slices.BinarySearch(t.sortedNodes, node)
	t.sortedNodes = slices.Delete(t.sortedNodes, place, place+1)
}

// Len returns the number of nodes with a report, old reports included.
func (t *Table) Len() int {
	return len(t.sortedNodes)
}

// RecordFailure starts or doubles the backoff of a node that did not answer.
func (t *Table) RecordFailure(node identifier.Node, now clock.Time) {
	b := t.backoffs[node]
	b.span = min(maxBackoff, max(minBackoff, 2*b.span))
	b.until = now.Add(b.span)
	t.backoffs[node] = b
}

// RecordAnswer clears the backoff of a node that answered.
func (t *Table) RecordAnswer(node identifier.Node) {
	delete(t.backoffs, node)
}

// Next returns the node to ask, which may be this one. It is the first by name in the local failure domain with a fresh
// report and no current backoff; for that node itself it is the first such node of all domains. A node without any fresh
// report of another tries all others in turn, nodes of its own domain and with the shortest backoff first: the store keeps
// the records of removed VMs, and by name alone these could always come first.
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

// isAvailable reports whether a node may be asked: this node, or one with a fresh report and no current backoff.
func (t *Table) isAvailable(node identifier.Node, now clock.Time) bool {
	return node == t.self || now >= t.backoffs[node].until && t.isFresh(node, now)
}

// MembersChanged invalidates the cached member names after a member was added or removed.
func (t *Table) MembersChanged() {
	t.memberNames = nil
}

// sortedMemberNames returns the members' names, cached because they are needed dozens of times a second and change rarely.
// With 195 members, sorting them each time would make Next about ten times slower.
func (t *Table) sortedMemberNames(members map[identifier.Node]Member) []identifier.Node {
	if len(t.memberNames) != len(members) {
		t.memberNames = slices.Sorted(maps.Keys(members))
	}
	return t.memberNames
}

// IsCollector reports whether this node is its failure domain's collector, by its own view of the fleet.
func (t *Table) IsCollector(members map[identifier.Node]Member, now clock.Time) bool {
	next := t.Next(members, now)
	return next == t.self || members[next].Domain != t.domain
}

// NextMissing returns the next member without a fresh report, in rotation, and false if there is none. Without it, two
// parts of a fleet that started while partitioned would never merge: each part asks its own collector and gets only the
// reports of its own part.
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

// hasFreshPeer reports whether any other node's report is fresh.
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
