package apportioner

// A team's rate limit applies to all nodes together, but each request is decided by one node without asking others.
// Every node reports how many requests of each team arrive at it, and a node's quota share of the rate is its fraction
// of these arrivals. Equal shares would refuse a team that sends most of its requests to one node although it keeps its
// rate; asking another node about each request would add a round trip and fail with that node.
//
// For its own share, a node uses the demand that it has reported and that every other node has received. When a team's
// demand rises everywhere at once, each node would otherwise compare its new demand with the old demand of the others,
// and all together would admit several times the rate until the next reports. The age of the other nodes' reports shows
// what they have received: a node that reported a second ago has received what was reported here before that.
//
// Silent nodes, which have stopped reporting, keep the share that they had at their last report: they may be serving on
// the other side of a partition, or resume after a pause and serve by their old data.
//
// Example: 300 requests a second, 60 arrive here and 180 elsewhere: this node may admit 75 a second.

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	// demandTimeConstant is the time constant of the demand's exponential smoothing: four reports. A shift of callers
	// between nodes is followed within about two seconds; with half the constant, the shares of a team that sends 2
	// requests a second to each node vary by a third.
	demandTimeConstant = 2 * clock.Second
	// silentRetention is how long a silent node keeps its share. A partition lasts seconds and its other side continues
	// to serve: redistributing the share would exceed the rate, keeping it costs a team at most that share.
	silentRetention = 30 * clock.Second
	// silentAfter is the age of its last report after which a node is silent: three report periods.
	silentAfter = 1500 * clock.Millisecond
	// minReportPeriod is the shortest time between two reports of a node in steady state (mesher's period less a
	// tenth), maxReportPeriod the longest, including the transit.
	minReportPeriod = 450 * clock.Millisecond
	maxReportPeriod = 600 * clock.Millisecond
	// maxReportTransit is how long a report may take to the node that relays it: one hop between failure domains and
	// the scheduling delay at both ends.
	maxReportTransit = 50 * clock.Millisecond
	// maxReserved bounds the sum of the shares kept for silent nodes, which were computed at different times: without
	// it a single remaining node could be left with nothing.
	maxReserved = 0.98
	// The part of its rate that a team does not use is distributed equally, within these fractions of the rate, so that
	// the first requests at a node are not refused and random variation is allowed for. A team that uses all of its
	// rate leaves little to distribute: nodes with few of its requests would keep what the others need.
	minSharedFraction = 0.05
	maxSharedFraction = 0.5
	// initialTokens is what a bucket holds when its node starts. A bucket that started full would grant the burst again
	// after every restart, and once for the whole fleet after a restart of all nodes.
	initialTokens = 1
	// minCapacity lets a node with a very small share of a small burst hold the token for one request.
	minCapacity = 1
)

// Apportioner decides which requests of a team are within its rate; it is not safe for concurrent use.
type Apportioner struct {
	tolerance Tolerance
	self      identifier.Node
	teams     map[identifier.Team]*bucket
	// nodes is the number of known nodes, including this one.
	nodes int
	peers map[identifier.Node]peer
	start clock.Time
	// silent is the number of silent peers; all other peers have received the reports that this node made until
	// deliveredUntil.
	silent         int
	deliveredUntil clock.Time
	// lastReportsAt is when reports last arrived, lastRefresh when silence and shares were last computed.
	lastReportsAt, lastRefresh clock.Time
}

type peer struct {
	demand map[identifier.Team]float64
	// reportedAt is when the report was made, by this node's clock.
	reportedAt clock.Time
	// shares are the peer's quota shares at that time for the teams that it reported demand for; idleShares are those
	// of all teams for a node without demand.
	shares, idleShares map[identifier.Team]float64
}

func (p peer) isSilent(now clock.Time) bool {
	return now.Sub(p.reportedAt) > silentAfter
}

type bucket struct {
	rate, burst float64
	tokens      float64
	filledAt    clock.Time
	demand      float64
	decayedAt   clock.Time
	// otherDemand is the demand at all other nodes, silentDemand the part of it at silent nodes, and reservedShare the
	// share of the rate that the silent nodes keep.
	otherDemand, silentDemand, reservedShare float64
	// deliveredDemand is the latest of this node's reported demands that all others have received; reports holds the
	// later ones.
	deliveredDemand float64
	reports         []ownReport
}

// ownReport is a demand that this node reported.
type ownReport struct {
	at     clock.Time
	demand float64
}

// bucketToleranceFraction is the fraction of the tolerance by which buckets are larger than the burst. Each bucket of a
// burst divided by 18 holds 3 requests, and random arrivals often bring more; the rest of the tolerance covers late
// reports.
const bucketToleranceFraction = 0.3

// New returns an apportioner without teams.
func New(self identifier.Node, t Tolerance, now clock.Time) *Apportioner {
	return &Apportioner{
		tolerance: t,
		self:      self,
		teams:     map[identifier.Team]*bucket{},
		nodes:     1,
		peers:     map[identifier.Node]peer{},
		start:     now,
	}
}

// SetNodes sets the number of nodes.
func (a *Apportioner) SetNodes(n int) {
	a.nodes = max(1, n)
}

// SetTeam sets a team's rate and burst; a rate of 0 is unlimited.
func (a *Apportioner) SetTeam(name identifier.Team, rate, burst float64, now clock.Time) {
	b, ok := a.teams[name]
	if !ok {
		a.teams[name] = &bucket{rate: rate, burst: burst, tokens: initialTokens, filledAt: now, decayedAt: now}
		return
	}
	a.fill(b, now)
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, a.capacity(b))
}

// DemandReport is a report of another node.
type DemandReport struct {
	Node   identifier.Node
	Demand map[identifier.Team]float64
	// MadeAt is when the report was made, by this node's clock.
	MadeAt clock.Time
}

// AddReports takes reports of other nodes.
func (a *Apportioner) AddReports(reports []DemandReport, now clock.Time) {
	for _, r := range reports {
		if r.Node != a.self {
			a.peers[r.Node] = peer{demand: r.Demand, reportedAt: r.MadeAt}
		}
	}
	a.lastReportsAt = now
	a.refresh(now)
	// The shares are computed after all reports have been added, since they depend on the total demand. Most nodes have
	// no demand of most teams and share one table: 87 reports with 87 teams took 1.4 ms and 308 kB with a table for
	// each node, 23 us and 8 kB with one for all nodes without demand, and reports arrive two to five times a second at
	// each node.
	idleShares := make(map[identifier.Team]float64, len(a.teams))
	for name, b := range a.teams {
		idleShares[name] = a.shareFor(b, 0)
	}
	for _, r := range reports {
		if p, ok := a.peers[r.Node]; ok {
			p.shares, p.idleShares = a.sharesFor(p.demand), idleShares
			a.peers[r.Node] = p
		}
	}
}

func (a *Apportioner) sharesFor(demand map[identifier.Team]float64) map[identifier.Team]float64 {
	shares := make(map[identifier.Team]float64, len(demand))
	for name, d := range demand {
		if b, ok := a.teams[name]; ok {
			shares[name] = a.shareFor(b, d)
		}
	}
	return shares
}

// Forget removes a node that was stopped as planned: it admits nothing more, so its share need not be kept.
func (a *Apportioner) Forget(node identifier.Node) {
	delete(a.peers, node)
}

// refreshPeriod is how often silence and shares are computed: a fifteenth of the time after which a node is silent.
// Summing the demand of all peers is most of the cost of a tick in a large fleet.
const refreshPeriod = 100 * clock.Millisecond

// Tick refills the buckets, finds silent nodes, and updates which reports the other nodes have received.
func (a *Apportioner) Tick(now clock.Time) {
	for _, b := range a.teams {
		a.fill(b, now)
	}
	if now.Sub(a.lastRefresh) >= refreshPeriod {
		a.refresh(now)
	}
}

func (a *Apportioner) refresh(now clock.Time) {
	a.lastRefresh = now
	a.silent, a.deliveredUntil = 0, now
	for _, b := range a.teams {
		b.otherDemand, b.silentDemand, b.reservedShare = 0, 0, 0
	}
	for node, p := range a.peers {
		if now.Sub(p.reportedAt) > silentRetention {
			delete(a.peers, node)
			continue
		}
		a.addPeer(p, now)
	}
	for _, b := range a.teams {
		b.reservedShare = min(b.reservedShare, maxReserved)
		b.deliverReports(a.deliveredUntil)
	}
}

func (a *Apportioner) addPeer(p peer, now clock.Time) {
	silent := p.isSilent(now)
	if silent {
		a.silent++
	} else {
		a.deliveredUntil = min(a.deliveredUntil, a.reportsDeliveredUntil(p, now))
	}
	for name, demand := range p.demand {
		b, ok := a.teams[name]
		if !ok {
			continue
		}
		b.otherDemand += demand
		if silent {
			b.silentDemand += demand
		}
	}
	if !silent {
		return
	}
	for name, share := range p.idleShares {
		if own, ok := p.shares[name]; ok {
			share = own
		}
		if b, ok := a.teams[name]; ok {
			b.reservedShare += share
		}
	}
}

// reportsDeliveredUntil returns until when a peer has received this node's reports. A peer that reports on schedule has
// received the report before the latest; one that is late, the reports made before its own last report. It is on
// schedule if its report was recent when reports last arrived here, or is recent now if none have arrived for a while.
func (a *Apportioner) reportsDeliveredUntil(p peer, now clock.Time) clock.Time {
	reference := now
	if now.Sub(a.lastReportsAt) <= maxReportPeriod {
		reference = a.lastReportsAt
	}
	if reference.Sub(p.reportedAt) <= maxReportPeriod {
		return reference.Add(-minReportPeriod)
	}
	return p.reportedAt.Add(-maxReportTransit)
}

// deliverReports marks the reports made until the given time as received by all others.
func (b *bucket) deliverReports(until clock.Time) {
	for len(b.reports) > 0 && b.reports[0].at <= until {
		b.deliveredDemand = b.reports[0].demand
		b.reports = b.reports[1:]
	}
}

// Reach returns the fraction of the fleet whose reports this node receives, itself included. Silent nodes count as
// missing while they keep their shares; a node that has just started has received no reports yet.
func (a *Apportioner) Reach(now clock.Time) float64 {
	reporting := float64(1 + len(a.peers) - a.silent)
	if now.Sub(a.start) < settleTime || 2*len(a.peers) < a.nodes-1 {
		return min(1, reporting/float64(a.nodes))
	}
	return reporting / float64(1+len(a.peers))
}

// Demand returns the requests a second of each team that arrive here, for the report to the other nodes.
func (a *Apportioner) Demand(now clock.Time) map[identifier.Team]float64 {
	demand := make(map[identifier.Team]float64, len(a.teams))
	for name, b := range a.teams {
		b.decayDemand(now)
		b.reports = append(b.reports, ownReport{at: now, demand: b.demand})
		if b.demand > 0.01 {
			demand[name] = b.demand
		}
	}
	return demand
}

// Verdict is the decision whether a request is within its team's rate.
type Verdict struct {
	Allowed bool
	// Wait is the time until a request is within the rate again.
	Wait clock.Duration
	// Share is this node's quota share of the rate at the time of the verdict.
	Share float64
	// Elsewhere is true if another node may have a token: the team's demand is about its rate or below, so that this
	// bucket may be empty by chance and the other one not.
	Elsewhere bool
}

// Take counts a request of the team and takes a token for it.
func (a *Apportioner) Take(team identifier.Team, now clock.Time) Verdict {
	b, ok := a.teams[team]
	if !ok || b.rate <= 0 {
		return Verdict{Allowed: true, Share: 1}
	}
	b.decayDemand(now)
	b.demand += float64(clock.Second) / float64(demandTimeConstant)
	a.fill(b, now)
	share := a.share(b)
	if b.tokens >= 1 || b.tokens >= 0 && a.wellWithinRate(b, now) {
		b.tokens--
		return Verdict{Allowed: true, Share: share}
	}
	perMillisecond := max(b.rate*share, 0.1) / float64(clock.Second)
	return Verdict{
		Wait:      clock.Duration((1 - b.tokens) / perMillisecond),
		Share:     share,
		Elsewhere: b.deliveredDemand+b.otherDemand <= saturatingDemandRatio*b.rate,
	}
}

// TakeForPeer takes a token for a request that arrived at another node, whose bucket was empty. With 18 nodes and 3
// requests a second at each, single buckets refuse a sixth of the requests of a team that sends exactly its rate;
// asking one more bucket reduces that to a twentieth.
func (a *Apportioner) TakeForPeer(team identifier.Team, now clock.Time) bool {
	b, ok := a.teams[team]
	if !ok || b.rate <= 0 {
		return ok
	}
	a.fill(b, now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// withinRateFraction is the fraction of its rate below which a team is well within it: an empty bucket then only means
// that random arrivals were concentrated at one node. Such a team may owe up to one request at each node; without that,
// 3% of 36 requests a second over 18 nodes with a rate of 52 are refused.
const withinRateFraction = 0.9

func (a *Apportioner) wellWithinRate(b *bucket, now clock.Time) bool {
	return now.Sub(a.start) >= settleTime && 2*len(a.peers) >= a.nodes-1 && b.deliveredDemand+b.otherDemand < withinRateFraction*b.rate
}

// Return gives back the token of a request that did not run.
func (a *Apportioner) Return(team identifier.Team) {
	if b, ok := a.teams[team]; ok && b.rate > 0 {
		b.tokens = min(b.tokens+1, a.capacity(b))
	}
}

func (b *bucket) decayDemand(now clock.Time) {
	age := float64(now.Sub(b.decayedAt)) / float64(demandTimeConstant)
	if age <= 0 {
		return
	}
	b.demand /= 1 + age
	b.decayedAt = now
}

func (a *Apportioner) fill(b *bucket, now clock.Time) {
	span := now.Sub(b.filledAt)
	if span <= 0 {
		return
	}
	b.filledAt = now
	perSecond := b.rate * a.share(b) * a.overcommitment(b)
	b.tokens = min(a.capacity(b), b.tokens+perSecond*float64(span)/float64(clock.Second))
}

const (
	// overcommitmentFraction is the fraction of the tolerated excess by which the sum of the shares exceeds the rate of
	// a team whose demand is about its rate. Some buckets are then full while others are empty, and the tokens that
	// overflow are lost.
	overcommitmentFraction = 0.5
	// saturatingDemandRatio is the ratio of demand to rate above which no bucket is ever full, so that no tokens
	// overflow.
	saturatingDemandRatio = 1.4
)

func (a *Apportioner) overcommitment(b *bucket) float64 {
	if b.deliveredDemand+b.otherDemand > saturatingDemandRatio*b.rate {
		return 1
	}
	return 1 + overcommitmentFraction*a.tolerance.Part
}

func (a *Apportioner) capacity(b *bucket) float64 {
	extra := bucketToleranceFraction * a.tolerance.Excess(b.rate, b.burst)
	return max(minCapacity, (b.burst+extra)*a.share(b))
}

// settleTime is how long after its start a node uses equal shares: until then it does not know its own demand.
const settleTime = 2 * clock.Second

// share is this node's quota share of a team's rate. At least half of the other nodes must have reported; with fewer, a
// node without data would take its own demand for the total.
func (a *Apportioner) share(b *bucket) float64 {
	equal := 1 / float64(a.nodes)
	if b.filledAt.Sub(a.start) < settleTime || 2*len(a.peers) < a.nodes-1 {
		return equal
	}
	return a.shareFor(b, b.deliveredDemand)
}

// shareFor returns the quota share for a demand at one node. The shares of silent nodes are set aside.
func (a *Apportioner) shareFor(b *bucket, demand float64) float64 {
	shared := min(maxSharedFraction*b.rate, max(minSharedFraction*b.rate, b.rate-b.deliveredDemand-b.otherDemand))
	equal := shared / float64(a.nodes)
	whole := b.deliveredDemand + b.otherDemand - b.silentDemand + equal*float64(max(1, a.nodes-a.silent))
	return (1 - b.reservedShare) * (demand + equal) / whole
}
