// A planned stop loses nothing: the fleet is told first, the records of idempotency ids go to the successor, then the
// claims are handed over on the log, and the process ends only when its last call has.
//
// Example: NodeLeaving → LeaveEndpoint by gossip → Handover to the witness → Claim{Kind: Handover} → Idle.

package reducer

import (
	"github.com/jackdawtide/jackdawtide/internal/claimer"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/deduplicator"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	idClaimPrefix = "ids/"
	// handoverTimeout is how long a leaving node waits for its successors to have its records.
	handoverTimeout = 2 * clock.Second
	// maxOutstandingAtHandover is what a successor of a bank may wait out: a slice's term, once all loans are back. Were the claims handed
	// over before, it would wait for the longest loan, and teams would be refused within their rate meanwhile.
	maxOutstandingAtHandover = 500 * clock.Millisecond
	// leaveSpreadTime gives the news of a leaving node time to spread.
	leaveSpreadTime = clock.Second
	// maxReportTime is how long a leaving node goes on telling the owners of ids how its calls ended.
	maxReportTime = 4 * clock.Second
)

// handover is a claim's records on their way to the heir.
type handover struct {
	epoch     identifier.Epoch
	successor identifier.Node
	confirmed bool
}

type departure struct {
	startedAt        clock.Time
	handovers        map[deduplicator.Claim]handover
	claimsReleasedAt clock.Time
	leftAt           clock.Time
}

func (s *State) nodeLeaving() {
	if s.leaving != nil {
		return
	}
	s.leaving = &departure{startedAt: s.now, handovers: make(map[deduplicator.Claim]handover)}
	for _, b := range s.sortedBackends() {
		s.startLeaving(b)
	}
	s.applyGrants(s.granter.Leave(s.now))
	s.sendHandovers()
}

func (s *State) sendHandovers() {
	for _, c := range s.claimer.Dump(s.now) {
		if c.Authority && isIDClaim(c.Name) {
			s.sendHandover(c.Name)
		}
	}
}

// sendHandover sends the records to the node that the claim will go to. A heir uses those of the epoch just before its own
// only, so they are sent again where the claim went on to another epoch, or another heir, since.
func (s *State) sendHandover(n claimer.Name) {
	name := deduplicator.Claim(n)
	successor, known := s.claimer.HeirOf(n)
	h, held := s.holdOf(name)
	if !held || !known {
		return
	}
	p := s.leaving.handovers[name]
	if p.epoch != h.Epoch || p.successor != successor {
		p = handover{epoch: h.Epoch, successor: successor}
	}
	s.leaving.handovers[name] = p
	if p.confirmed {
		return
	}
	for _, part := range s.owner.Export(h, s.now) {
		s.send(successor, "", part)
	}
}

func (s *State) handoverConfirmed(from identifier.Node, m deduplicator.HandoverAnswer) {
	if s.leaving == nil {
		return
	}
	p, asked := s.leaving.handovers[m.Claim]
	if asked && p.epoch == m.Epoch && p.successor == from {
		p.confirmed = true
		s.leaving.handovers[m.Claim] = p
	}
}

func (s *State) tickLeaving() {
	l := s.leaving
	if l == nil {
		return
	}
	s.sendHandovers()
	if l.claimsReleasedAt == 0 {
		outstanding := s.granter.Outstanding(s.now)
		ready := l.allConfirmed() && outstanding <= maxOutstandingAtHandover
		if !ready && s.now.Sub(l.startedAt) < handoverTimeout {
			return
		}
		l.claimsReleasedAt = s.now
		s.applyClaims(s.claimer.Leave(outstanding, s.now))
		return
	}
	if l.leftAt == 0 && (s.claimer.Left() || s.now.Sub(l.claimsReleasedAt) > handoverTimeout) {
		l.leftAt = s.now
		s.applyGossip(s.gossiper.Leave(s.now))
	}
}

func (l *departure) allConfirmed() bool {
	for _, p := range l.handovers {
		if !p.confirmed {
			return false
		}
	}
	return true
}

// Idle tells whether a leaving node may end: its claims are handed over, the news has spread, and nothing is under way.
func (s *State) Idle(now clock.Time) bool {
	l := s.leaving
	if l == nil || l.leftAt == 0 || now.Sub(l.leftAt) < leaveSpreadTime {
		return false
	}
	// An outcome that nobody was told of would be unknown for ever.
	reported := s.asker.Reports() == 0 || now.Sub(l.leftAt) > maxReportTime
	return len(s.calls) == 0 && len(s.deliveries) == 0 && reported
}

// Leaving tells whether the node was asked to stop.
func (s *State) Leaving() bool { return s.leaving != nil }
