package conductor

// Members are learned from the platform's store and from other nodes' reports; the newer record of a node counts,
// regardless of its source.
//
// Example: a report says that node b's endpoint leaves before the store's record does: b gets no more requests.

import (
	"github.com/jackdawtide/jackdawtide/internal/apportioner"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/router"
)

// suspectAfter is the age of a node's last report from which the node is suspected: five reports in a row are missing.
const suspectAfter = 2500 * clock.Millisecond

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
	delete(c.incarnationLearnedAt, node)
	delete(c.otherColdUntil, node)
	delete(c.otherLimits, node)
	delete(c.left, node)
	delete(c.arrivalTrends, node)
	c.fleetTeams.drop(node)
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
		c.detector.SetDomain(m.Node, m.Domain)
	}
	if !ok {
		c.table.MembersChanged()
	}
	if !ok || m.Incarnation != known.Incarnation {
		c.incarnationLearnedAt[m.Node] = now
	}
	c.apportioner.SetNodes(len(c.members))
	if m.Node != c.self.Node && m.ColdLeft > 0 {
		c.otherColdUntil[m.Node] = now.Add(m.ColdLeft)
	}
	if m.Endpoint == "" {
		return
	}
	if m.State == exchanger.Absent {
		c.router.Remove(m.Endpoint)
		return
	}
	c.putEndpoint(m, now, false)
}

// putEndpoint passes a member's endpoint and its state to the router.
func (c *Conductor) putEndpoint(m exchanger.Member, now clock.Time, silent bool) {
	silent = silent || c.detector.Lost(m.Node)
	state := router.Ready
	var rateLimit float64
	var headroomAge clock.Duration
	if limit, limited := c.limitOf(m); limited {
		rateLimit, headroomAge = effectiveRate(limit), c.limitedHeadroomAge(limit)
	}
	switch {
	case m.State == exchanger.Leaving || c.hasLeft(m):
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

		RateLimit:   rateLimit,
		HeadroomAge: headroomAge,
	}, now)
}

// publish updates this node's record and publishes it.
func (c *Conductor) publish(now clock.Time) {
	local := c.registrar.Local()
	c.self.Sequence++
	c.self.Endpoint = local.Endpoint
	c.self.Stopping = c.stopping && now.Sub(c.stopRequestedAt) >= stoppingReadyTime
	c.self.Started, c.self.Left = local.Started, c.registrar.HasLeft()
	c.self.Slots = int(local.Slots)
	c.self.ColdLeft = max(local.ColdLeft, c.coldLeft(c.self.Node, now))
	switch {
	case local.Known && local.Leaving:
		c.self.State = exchanger.Leaving
	case c.self.Stopping && local.Known:
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
	c.exchangeFailed = true
	c.detector.Suspect(e.Node, now)
	if !e.Sought {
		c.table.RecordFailure(e.Node, now)
	}
}

func (c *Conductor) peerAnswered(e PeerAnswered, now clock.Time) {
	c.table.RecordAnswer(e.Node)
	c.lastExchangeAt, c.exchangeFailed = now, false
	// The answer holds what its node knows of all others.
	c.seeksMembers = false
	c.detector.RecordContact(e.Node, now)
	c.takeReports(c.table.AcceptAnswer(e.Node, e.Answer), c.members[e.Node], now)
}

func (c *Conductor) takeReports(reports []exchanger.Report, from exchanger.Member, now clock.Time) {
	demands := make([]apportioner.DemandReport, 0, len(reports))
	for _, r := range reports {
		if r.Member.Node == c.self.Node {
			c.supersedeRecord(r.Member, now)
			continue
		}
		if !c.table.Put(r, from, now) {
			continue
		}
		c.learnMember(MemberLearned{Member: r.Member}, now)
		c.learnOtherCold(r, now)
		c.learnReportedLimit(r, now)
		c.router.SetRunTimes(r.Member.Endpoint, runTimesOf(r))
		c.learnArrivalTrend(r, now.Add(-r.Age))
		c.fleetTeams.learn(r, now.Add(-r.Age))
		demands = append(demands, apportioner.DemandReport{Node: r.Member.Node, Demand: r.Demand, MadeAt: now.Add(-r.Age)})
	}
	c.apportioner.AddReports(demands, now)
}

// silenceCheckPeriod is how often members are checked for missing reports, a tenth of suspectAfter.
const silenceCheckPeriod = 250 * clock.Millisecond

// checkSilence suspects members whose reports have stopped or never arrived. The store keeps the records of VMs that
// are gone; a node that starts later has no reports from them and would otherwise try to connect to them for each
// request.
func (c *Conductor) checkSilence(now clock.Time) {
	if now.Sub(c.silenceCheckedAt) < silenceCheckPeriod {
		return
	}
	c.silenceCheckedAt = now
	for node, m := range c.members {
		if m.State == exchanger.Ready {
			c.putEndpoint(m, now, c.silent(node, now))
		}
	}
}

// silent reports whether another node's reports have stopped or never arrived.
func (c *Conductor) silent(node identifier.Node, now clock.Time) bool {
	if node == c.self.Node {
		return false
	}
	age, reported := c.table.Age(node, now)
	if !reported {
		age = now.Sub(c.incarnationLearnedAt[node])
	}
	return age > suspectAfter
}

// Report creates this node's next report.
func (c *Conductor) Report(now clock.Time) exchanger.Report {
	c.reportNumber++
	r := exchanger.Report{
		Member: c.self,
		Number: c.reportNumber,
		Demand: c.apportioner.Demand(now),
		Excess: c.throttler.Excess(),
		Load:   c.throttler.Demand(),
		Calls:  c.runs.calls(),

		RootTime:   c.runTimes.root.time(),
		NestedTime: c.runTimes.nested.time(),
		ColdLeft:   c.coldLeft(c.self.Node, now),
	}
	c.reportLimit(&r)
	c.reportArrivals(&r, now)
	c.reportDeclined(&r, now)
	c.router.SetRunTimes(c.self.Endpoint, runTimesOf(r))
	c.learnArrivalTrend(r, now)
	c.table.Put(r, c.self, now)
	return r
}

// Answer processes another node's question and returns the reports that it has not received yet.
func (c *Conductor) Answer(q exchanger.Question, now clock.Time) exchanger.Answer {
	asking := q.Report.Member
	c.detector.RecordContact(asking.Node, now)
	c.takeReports([]exchanger.Report{q.Report}, asking, now)
	c.takeReports(q.Forwarded, asking, now)
	return c.table.Answer(asking.Node, q.Since, now)
}

// CollectsForFleet reports whether this node is, to its knowledge, the fleet's collector, which asks no other node.
func (c *Conductor) CollectsForFleet(now clock.Time) bool {
	return c.table.Next(c.members, now) == c.self.Node
}

// CollectsForDomain reports whether this node is, to its knowledge, the collector of reports of its failure domain.
func (c *Conductor) CollectsForDomain(now clock.Time) bool {
	return c.table.IsCollector(c.members, now)
}

const (
	// exchangePeriod is the time between two exchanges of a node in steady state, overloadPeriod while some service is
	// or was just overloaded: its excess changes by a twentieth in that time.
	exchangePeriod = 500 * clock.Millisecond
	overloadPeriod = 200 * clock.Millisecond
	// shortPeriod is the time between two exchanges of collectors, which carry changes across failure domains, and of a
	// node that has just started: until it knows the teams' demands at other nodes, it refuses requests for which they
	// leave rate unused.
	shortPeriod = 100 * clock.Millisecond
	// startingTime is how long a node counts as just started.
	startingTime = 3 * clock.Second
)

// ExchangePeriod returns the current time between two exchanges of reports.
func (c *Conductor) ExchangePeriod(now clock.Time) clock.Duration {
	switch {
	case now.Sub(c.started) < startingTime || c.CollectsForDomain(now) && !c.CollectsForFleet(now):
		return shortPeriod
	case c.sharesArrivals(now):
		return overloadPeriod
	default:
		return exchangePeriod
	}
}

// ReportExchange is the next exchange of reports.
type ReportExchange struct {
	Member   exchanger.Member
	Question exchanger.Question
	// Seeks is set when the exchange searches for a missing member, which may be gone for good.
	Seeks bool
}

// Ask returns the next exchange. The fleet's collector asks no other node; it searches for missing members, and returns
// false if none is missing.
func (c *Conductor) Ask(now clock.Time) (ReportExchange, bool) {
	own := c.Report(now)
	if node := c.table.Next(c.members, now); node != c.self.Node {
		return ReportExchange{Member: c.members[node], Question: c.table.QuestionFor(c.members[node], own, now)}, true
	}
	node, ok := c.table.NextMissing(c.members, now)
	if !ok {
		return ReportExchange{}, false
	}
	return ReportExchange{Member: c.members[node], Question: c.table.QuestionWithoutReports(c.members[node], own), Seeks: true}, true
}

// reportsTrustedFor is how long after an exchange this node relies on reports to deliver every change of the members:
// three exchange periods.
const reportsTrustedFor = 1500 * clock.Millisecond

// FollowsStore reports whether this node has to follow the store itself. A node that exchanges reports learns of each
// change of the members from them; the fleet's collector follows the store for all. If every node did, each new or
// leaving endpoint would cost one call to the store per node.
func (c *Conductor) FollowsStore(now clock.Time) bool {
	covered := c.lastExchangeAt > 0 && !c.exchangeFailed && now.Sub(c.lastExchangeAt) <= reportsTrustedFor
	return !covered || c.CollectsForFleet(now)
}

func runTimesOf(r exchanger.Report) router.RunTimes {
	return router.RunTimes{Root: r.RootTime, Nested: r.NestedTime}
}
