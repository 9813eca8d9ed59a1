package conductor

// Members come from the platform's store and from other nodes' reports; the later word of a node counts, whichever
// way it came.
//
// Example: a report says that node b's endpoint leaves before the store's record does: b gets no more requests.

import (
	"github.com/jackdawtide/jackdawtide/internal/apportioner"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/router"
)

// silentAfter is the age of a node's last report from which it is suspected: five reports in a row missing.
const silentAfter = 2500 * clock.Millisecond

func (c *Conductor) learnMember(e MemberLearned, now clock.Time) {
	m := e.Member
	if m.Node == c.self.Node {
		c.learnSelf(m, now)
		return
	}
	if e.Dropped {
		c.dropMember(m.Node)
		return
	}
	known, ok := c.members[m.Node]
	if ok && !m.Newer(known) {
		return
	}
	c.putMember(m, now)
}

func (c *Conductor) dropMember(node identifier.Node) {
	m, ok := c.members[node]
	if !ok {
		return
	}
	c.router.Remove(m.Endpoint)
	delete(c.members, node)
	c.table.MembersChanged()
	delete(c.learned, node)
	delete(c.othersCold, node)
	c.detector.Forget(node)
	c.table.Drop(node)
	c.apportioner.Forget(node)
	c.apportioner.SetNodes(len(c.members))
}

func (c *Conductor) putMember(m exchanger.Member, now clock.Time) {
	known, ok := c.members[m.Node]
	if ok && known.Endpoint != m.Endpoint {
		c.router.Remove(known.Endpoint)
	}
	c.members[m.Node] = m
	if m.Node != c.self.Node {
		c.detector.Know(m.Node, m.Domain)
	}
	if !ok {
		c.table.MembersChanged()
	}
	if !ok || m.Incarnation != known.Incarnation {
		c.learned[m.Node] = now
	}
	c.apportioner.SetNodes(len(c.members))
	if m.Node != c.self.Node && m.ColdLeft > 0 {
		c.othersCold[m.Node] = now.Add(m.ColdLeft)
	}
	if m.Endpoint == "" {
		return
	}
	if m.State == exchanger.Absent {
		c.router.Remove(m.Endpoint)
		return
	}
	c.route(m, now, false)
}

// route tells the router of a member's endpoint.
func (c *Conductor) route(m exchanger.Member, now clock.Time, silent bool) {
	silent = silent || c.detector.Lost(m.Node)
	state := router.Ready
	switch {
	case m.State == exchanger.Leaving:
		state = router.Leaving
	case c.evacuated[m.Domain]:
		state = router.Evacuated
	case silent:
		state = router.Suspect
	case m.State == exchanger.Stopping:
		state = router.Stopping
	case c.coldRate(m.Service) > 0:
		if c.coldLeft(m.Node, now) > 0 {
			state = router.Limited
		}
	case m.ColdLeft > 0:
		state = router.Cold
	}
	c.router.Put(router.Endpoint{
		ID:      m.Endpoint,
		Node:    m.Node,
		Service: m.Service,
		Domain:  m.Domain,
		Slots:   m.Slots,
		State:   state,
	}, now)
}

// publish makes this node's record anew.
func (c *Conductor) publish(now clock.Time) {
	local := c.registrar.Local()
	c.self.Sequence++
	c.self.Endpoint = local.Endpoint
	c.self.Slots = int(local.Slots)
	c.self.ColdLeft = max(local.ColdLeft, c.coldLeft(c.self.Node, now))
	switch {
	case local.Known && local.Leaving:
		c.self.State = exchanger.Leaving
	case c.stopping && local.Known && now.Sub(c.stopAsked) >= stillServing:
		c.self.State = exchanger.Stopping
	case local.Known:
		c.self.State = exchanger.Ready
	default:
		c.self.State = exchanger.Absent
	}
	c.putMember(c.self, now)
	c.emit(Publish{Member: c.self})
}

// Self returns this node's record.
func (c *Conductor) Self() exchanger.Member {
	return c.self
}

// Members returns all known nodes, this one included.
func (c *Conductor) Members() map[identifier.Node]exchanger.Member {
	return c.members
}

func (c *Conductor) peerFailed(e PeerFailed, now clock.Time) {
	c.unanswered = true
	c.detector.Doubt(e.Node, now)
	if !e.Sought {
		c.table.RecordFailure(e.Node, now)
	}
}

func (c *Conductor) peerAnswered(e PeerAnswered, now clock.Time) {
	c.table.RecordAnswer(e.Node)
	c.answered, c.unanswered = now, false
	c.detector.Word(e.Node, now)
	c.takeReports(c.table.AcceptAnswer(e.Node, e.Answer), c.members[e.Node], now)
}

func (c *Conductor) takeReports(reports []exchanger.Report, from exchanger.Member, now clock.Time) {
	heard := make([]apportioner.Heard, 0, len(reports))
	for _, r := range reports {
		if r.Member.Node == c.self.Node {
			c.supersede(r.Member, now)
			continue
		}
		if !c.table.Put(r, from, now) {
			continue
		}
		c.learnMember(MemberLearned{Member: r.Member}, now)
		c.learnOthersCold(r, now)
		c.router.Learn(r.Member.Endpoint, runTimesOf(r))
		heard = append(heard, apportioner.Heard{Node: r.Member.Node, Demand: r.Demand, Made: now.Add(-r.Age)})
	}
	c.apportioner.Hear(heard, now)
}

// silencePeriod is how often silence is judged, a tenth of the time that it takes to be suspected.
const silencePeriod = 250 * clock.Millisecond

// judgeSilence suspects members whose reports have stopped or never come. The store keeps the records of machines that
// are gone; a node that starts after they went has no report of them, and would dial them for each request.
func (c *Conductor) judgeSilence(now clock.Time) {
	if now.Sub(c.judged) < silencePeriod {
		return
	}
	c.judged = now
	for node, m := range c.members {
		if m.State == exchanger.Ready {
			c.route(m, now, c.silent(node, now))
		}
	}
}

// silent tells whether another node's reports have stopped or never come.
func (c *Conductor) silent(node identifier.Node, now clock.Time) bool {
	if node == c.self.Node {
		return false
	}
	age, heard := c.table.Age(node, now)
	if !heard {
		age = now.Sub(c.learned[node])
	}
	return age > silentAfter
}

// Report makes this node's next report.
func (c *Conductor) Report(now clock.Time) exchanger.Report {
	c.reported++
	r := exchanger.Report{
		Member: c.self,
		Number: c.reported,
		Demand: c.apportioner.Demand(now),
		Excess: c.throttler.Excess(),
		Load:   c.throttler.Demand(),
		Calls:  c.runs.calls(),

		RootTime:   c.runTimes.root.time(),
		NestedTime: c.runTimes.nested.time(),
		ColdLeft:   c.coldLeft(c.self.Node, now),
	}
	c.router.Learn(c.self.Endpoint, runTimesOf(r))
	c.table.Put(r, c.self, now)
	return r
}

// Answer takes another node's question in and returns what it has not heard yet.
func (c *Conductor) Answer(q exchanger.Question, now clock.Time) exchanger.Answer {
	asking := q.Report.Member
	c.detector.Word(asking.Node, now)
	c.takeReports([]exchanger.Report{q.Report}, asking, now)
	c.takeReports(q.Forwarded, asking, now)
	return c.table.Answer(asking.Node, q.Since, now)
}

// CollectsForFleet tells whether this node is the fleet's collector, which has nobody to ask itself, as far as it knows.
func (c *Conductor) CollectsForFleet(now clock.Time) bool {
	return c.table.Next(c.members, now) == c.self.Node
}

// CollectsForDomain tells whether this node is its failure domain's collector of reports, as far as it knows.
func (c *Conductor) CollectsForDomain(now clock.Time) bool {
	return c.table.IsCollector(c.members, now)
}

const (
	// exchangePeriod is the time between two exchanges of a node on a calm day, pressedPeriod while some service has more
	// load than it can take: the excess moves by a twentieth in that time.
	exchangePeriod = 500 * clock.Millisecond
	pressedPeriod  = 200 * clock.Millisecond
	// quickPeriod is the time between two exchanges of collectors, by which news cross failure domains, and of a node that
	// has just started: until it knows the teams' demands elsewhere it refuses what others leave unused.
	quickPeriod = 100 * clock.Millisecond
	// startingFor is how long a node counts as just started.
	startingFor = 3 * clock.Second
)

// ExchangePeriod returns the time between two exchanges of reports at this moment.
func (c *Conductor) ExchangePeriod(now clock.Time) clock.Duration {
	switch {
	case now.Sub(c.started) < startingFor || c.CollectsForDomain(now) && !c.CollectsForFleet(now):
		return quickPeriod
	case c.Pressed(now):
		return pressedPeriod
	default:
		return exchangePeriod
	}
}

// Asking is the next exchange of reports.
type Asking struct {
	Member   exchanger.Member
	Question exchanger.Question
	// Seeks tells that the member is looked for: nothing is known of it, and it may be gone for good.
	Seeks bool
}

// Ask returns the next exchange. The fleet's collector has nobody to ask; it looks for members that are missing, and where
// all are there it has none.
func (c *Conductor) Ask(now clock.Time) (Asking, bool) {
	own := c.Report(now)
	if node := c.table.Next(c.members, now); node != c.self.Node {
		return Asking{Member: c.members[node], Question: c.table.QuestionFor(c.members[node], own, now)}, true
	}
	node, ok := c.table.NextMissing(c.members, now)
	if !ok {
		return Asking{}, false
	}
	return Asking{Member: c.members[node], Question: c.table.QuestionWithoutReports(c.members[node], own), Seeks: true}, true
}

// coveredByReports is how long an exchange shows that reports bring every change of the members: three periods.
const coveredByReports = 1500 * clock.Millisecond

// FollowsStore tells whether this node has to follow the store by itself. One that exchanges reports hears of each change of
// the members by them; the node that the others ask follows the store for all. If all did, each new or leaving endpoint
// would cost a call of every node.
func (c *Conductor) FollowsStore(now clock.Time) bool {
	covered := c.answered > 0 && !c.unanswered && now.Sub(c.answered) <= coveredByReports
	return !covered || c.CollectsForFleet(now)
}

func runTimesOf(r exchanger.Report) router.RunTimes {
	return router.RunTimes{Root: r.RootTime, Nested: r.NestedTime}
}
