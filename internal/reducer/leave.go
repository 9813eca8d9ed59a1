// In a planned stop no call or record is lost: the endpoints are first announced as leaving by gossip, the records of
// idempotency ids go to the successor, then the claims are handed over on the log, and the process ends only after its
// last call.
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
	// handoverTimeout is how long a leaving node waits for its successors to confirm its records, and then for the handover
	// of its claims.
	handoverTimeout = 2 * clock.Second
	// maxOutstandingAtHandover is the longest term of outstanding grants at which rate claims are handed over: that of a
	// slice, after all loans were returned. A successor has to wait out that term; if it had to wait for the longest loan,
	// teams would meanwhile be refused within their rate.
	maxOutstandingAtHandover = 500 * clock.Millisecond
	// leaveSpreadTime is how long a leaving node keeps running so that gossip can spread its leave.
	leaveSpreadTime = clock.Second
	// maxReportTime is how long a leaving node continues to report outcomes of its calls to the owners of idempotency ids.
	maxReportTime = 4 * clock.Second
)

// handover tracks the transfer of a claim's records to the successor.
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

// sendHandover sends a claim's records to its successor. A successor uses only records of the epoch immediately before
// its own, so they are sent again if the claim's epoch or successor has changed since.
func (s *State) sendHandover(n claimer.Name) {
	name := deduplicator.Claim(n)
	successor, known := s.claimer.SuccessorOf(n)
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

// Departed reports whether a leaving node's claims are handed over and gossip has had time to spread its leave. It takes at most
// twice handoverTimeout and leaveSpreadTime, whatever calls are in progress.
func (s *State) Departed(now clock.Time) bool {
	l := s.leaving
	return l != nil && l.leftAt != 0 && now.Sub(l.leftAt) >= leaveSpreadTime
}

// Idle reports whether a leaving node may stop: it has departed, and no call is in progress.
func (s *State) Idle(now clock.Time) bool {
	if !s.Departed(now) {
		return false
	}
	// An outcome that is not reported to the owner of its id can't be determined later.
	reported := s.asker.Reports() == 0 || now.Sub(s.leaving.leftAt) > maxReportTime
	return len(s.calls) == 0 && len(s.deliveries) == 0 && reported
}

// Leaving reports whether the node was asked to stop.
func (s *State) Leaving() bool { return s.leaving != nil }
