package apportioner

// A team's rate holds for all nodes together, but each request is judged by one node at once. Every node reports how
// many requests of each team arrive at it; a node's part of the rate is its part of what arrives. Equal parts would
// refuse a team that sends most of its requests to one node although it keeps its rate; asking another node about
// each request would add a round trip to it and fail with that node.
//
// A node counts its own demand only as far as every other node has heard of it. When a team's demand rises everywhere
// percentile once, each node would otherwise set its new figure against the others' old ones, and all of them together would
// let several times the rate through until the next reports. What the others have heard shows in the age of their own
// reports: who reported a second ago has heard what was reported here before that.
//
// Nodes that do not report keep the part that they had when they were last heard: they may still be serving where this
// node can't see it, or wake up and serve by what they knew.
//
// Example: 300 requests a second, 60 arrive here and 180 elsewhere: this node may let 75 a second through.

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	// demandTimeConstant is the time constant of the measured demand: four reports long. A shift of callers from one node to
	// otherDemand is followed within some two seconds; with half of it, the parts of a team that sends 2 requests a second
	// to each node vary by a third.
	demandTimeConstant = 2 * clock.Second
	// silentRetention is how long a silent node keeps its part. A cut lasts seconds and its far side goes on serving;
	// giving its part away would exceed the rate, keeping it costs a team at most that part.
	silentRetention = 30 * clock.Second
	// silentAfter is the age of a report from which its node is silent: three periods of the reports.
	silentAfter = 1500 * clock.Millisecond
	// minReportPeriod is the least time between two reports of a calm node (mesher's period less a tenth), onSchedule the
	// most with its way.
	minReportPeriod = 450 * clock.Millisecond
	maxReportPeriod = 600 * clock.Millisecond
	// maxReportTransit is how long a report may be on its way to the node that passes it on: one hop between failure domains
	// and a turn of the processor at both ends.
	maxReportTransit = 50 * clock.Millisecond
	// maxReserved keeps a lone node from having nothing left by a sum of figures from different moments.
	maxReserved = 0.98
	// What a team does not use of its rate is shared out equally, within these parts of it, so that the first requests
	// percentile a node are not refused and chance is allowed for. A team that uses all of its rate has nothing to share out:
	// nodes where few of its requests arrive would keep what the others need.
	minSharedFraction = 0.05
	maxSharedFraction = 0.5
	// initialTokens is what a bucket holds when its node starts. A bucket that began full would grant the burst again
	// after every restart, to the fleet's sum after a restart of all.
	initialTokens = 1
	// minCapacity lets a node with a tiny part of a small burst hold one request's worth.
	minCapacity = 1
)

// Apportioner decides which requests of a team are within its rate; it is not safe for concurrent use.
type Apportioner struct {
	tolerance Tolerance
	self      identifier.Node
	teams     map[identifier.Team]*bucket
	// nodes is how many nodes are known, this one included.
	nodes int
	peers map[identifier.Node]peer
	start clock.Time
	// silentDemand is how many of the peers are silent, horizon until when the others have heard this node's reports.
	silent         int
	deliveredUntil clock.Time
	// lastReportsAt is when reports last came in, summed when silence was last judged.
	lastReportsAt, lastRefresh clock.Time
}

type peer struct {
	demand map[identifier.Team]float64
	// reportedAt is when the report was made, by this node's clock.
	reportedAt clock.Time
	// shares are the peer's parts, at that time, of the rates of the teams that it has a demand of; idle are those of all
	// teams for a node without any demand.
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
	// otherDemand is the demand at all other nodes, silent that part of it which is at silent ones, and reserved the part of
	// the rate that those keep.
	otherDemand, silentDemand, reservedShare float64
	// deliveredDemand is the latest of this node's reported demands that all others have heard, reports are the later ones.
	deliveredDemand float64
	reports         []ownReport
}

// ownReport is a demand that this node reported.
type ownReport struct {
	at     clock.Time
	demand float64
}

// bucketToleranceFraction is the part of the tolerance by which buckets are larger than the burst. A burst that is cut in 18 holds
// 3 requests at each node, and chance alone often brings more; the rest is left for reports that are late.
const bucketToleranceFraction = 0.3

// New returns an apportioner that knows no team.
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

// SetNodes takes over how many nodes there are.
func (a *Apportioner) SetNodes(n int) {
	a.nodes = max(1, n)
}

// SetTeam takes over a team's rate and burst; a rate of 0 is unlimited.
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

// DemandReport is what another node reported.
type DemandReport struct {
	Node   identifier.Node
	Demand map[identifier.Team]float64
	// MadeAt is when the report was made, by this node's clock.
	MadeAt clock.Time
}

// AddReports takes over reports of other nodes.
func (a *Apportioner) AddReports(reports []DemandReport, now clock.Time) {
	for _, r := range reports {
		if r.Node != a.self {
			a.peers[r.Node] = peer{demand: r.Demand, reportedAt: r.MadeAt}
		}
	}
	a.lastReportsAt = now
	a.refresh(now)
	// Only now is known what all of them together ask for. Most nodes have no demand of most teams, and share one table of
	// parts: with one each, 87 reports with 87 teams took 1.4 ms and 308 kB, two to five times a second at each node.
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

// Forget drops a node that has stopped as planned: it lets nothing through any more.
func (a *Apportioner) Forget(node identifier.Node) {
	delete(a.peers, node)
}

// refreshPeriod is how often silence is judged: a fifteenth of the time after which a node counts as silent. Summing up all peers is
// most of what a tick costs in a large fleet.
const refreshPeriod = 100 * clock.Millisecond

// Tick judges who is silent, and counts what the others have heard by now.
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

// reportsDeliveredUntil is until when a peer has heard this node's reports. One that reports on schedule is about to ask again, and
// has heard the report before the latest.
func (a *Apportioner) reportsDeliveredUntil(p peer, now clock.Time) clock.Time {
	asked := now
	if now.Sub(a.lastReportsAt) <= maxReportPeriod {
		asked = a.lastReportsAt
	}
	if asked.Sub(p.reportedAt) <= maxReportPeriod {
		return asked.Add(-minReportPeriod)
	}
	return p.reportedAt.Add(-maxReportTransit)
}

// deliverReports counts the reports up to a time as heard by all.
func (b *bucket) deliverReports(horizon clock.Time) {
	for len(b.reports) > 0 && b.reports[0].at <= horizon {
		b.deliveredDemand = b.reports[0].demand
		b.reports = b.reports[1:]
	}
}

// Reach returns the part of the fleet that this node hears of, itself included. Silent nodes count as not heard for
// as long as they keep their parts; a node that has just started has heard nobody yet.
func (a *Apportioner) Reach(now clock.Time) float64 {
	heard := float64(1 + len(a.peers) - a.silent)
	if now.Sub(a.start) < settleTime || 2*len(a.peers) < a.nodes-1 {
		return min(1, heard/float64(a.nodes))
	}
	return heard / float64(1+len(a.peers))
}

// Demand returns the requests a second of each team that arrive here, to be reported to the other nodes.
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

// Verdict is whether a request is within its team's rate.
type Verdict struct {
	Allowed bool
	// Wait is how long it takes until a request is within the rate again.
	Wait clock.Duration
	// Part is this node's part of the rate at the time of the verdict.
	Part float64
	// Elsewhere tells that another node may well have a token to spare: the team's demand is about its rate or below,
	// so that chance has emptied this bucket and not that one.
	Elsewhere bool
}

// Take counts a request of the team and takes a token for it.
func (a *Apportioner) Take(team identifier.Team, now clock.Time) Verdict {
	b, ok := a.teams[team]
	if !ok || b.rate <= 0 {
		return Verdict{Allowed: true, Part: 1}
	}
	b.decayDemand(now)
	b.demand += float64(clock.Second) / float64(demandTimeConstant)
	a.fill(b, now)
	share := a.share(b)
	if b.tokens >= 1 || b.tokens >= 0 && a.wellWithinRate(b, now) {
		b.tokens--
		return Verdict{Allowed: true, Part: share}
	}
	perMilli := max(b.rate*share, 0.1) / float64(clock.Second)
	return Verdict{
		Wait:      clock.Duration((1 - b.tokens) / perMilli),
		Part:      share,
		Elsewhere: b.deliveredDemand+b.otherDemand <= saturatingDemandRatio*b.rate,
	}
}

// TakeForPeer takes a token for a request that arrived at another node, whose bucket was empty. With 18 nodes and 3 requests
// a second at each, single buckets refuse a sixth of a team that sends just its rate (in the package's test); one more
// bucket to ask makes that a twentieth.
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

// withinRateFraction is the part of its rate below which a team is calm: its requests are then within the rate, and where a bucket
// is empty chance has brought them to one node. A calm team may owe up to one request at each node; of 36 requests a
// second over 18 nodes with a rate of 52, 3% are refused without that (in the package's test).
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
	// overcommitmentFraction is the part of the tolerated excess by which the parts come to more than the whole where a
	// team's demand is about its rate. Some buckets are then full while others are empty, and what runs over is lost.
	overcommitmentFraction = 0.5
	// saturatingDemandRatio of its rate is the demand from which no bucket is ever full, so that nothing runs over.
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

// settleTime is how long after its start a node relies on equal parts: until then it can't know what arrives at it.
const settleTime = 2 * clock.Second

// share is this node's part of a team's rate. Half or more of the other nodes must have reported; with fewer, a node
// that knows nothing would take its own demand for all there is.
func (a *Apportioner) share(b *bucket) float64 {
	equal := 1 / float64(a.nodes)
	if b.filledAt.Sub(a.start) < settleTime || 2*len(a.peers) < a.nodes-1 {
		return equal
	}
	return a.shareFor(b, b.deliveredDemand)
}

// shareFor is the part of the rate that goes with a demand at one node. Silent nodes have theirs set aside.
func (a *Apportioner) shareFor(b *bucket, demand float64) float64 {
	shared := min(maxSharedFraction*b.rate, max(minSharedFraction*b.rate, b.rate-b.deliveredDemand-b.otherDemand))
	equal := shared / float64(a.nodes)
	whole := b.deliveredDemand + b.otherDemand - b.silentDemand + equal*float64(max(1, a.nodes-a.silent))
	return (1 - b.reservedShare) * (demand + equal) / whole
}
