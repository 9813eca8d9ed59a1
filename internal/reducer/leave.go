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
	// handoverBound is how long a leaving node waits for its successors to have its records.
	handoverBound = 2 * clock.Second
	// shortWait is what a successor of a bank may wait out: a slice's term, once all loans are back. Were the claims handed
	// over before, it would wait for the longest loan, and teams would be refused within their rate meanwhile.
	shortWait = 500 * clock.Millisecond
	// goodbyeBound gives the news of a leaving node time to spread.
	goodbyeBound = clock.Second
	// reportBound is how long a leaving node goes on telling the owners of ids how its calls ended.
	reportBound = 4 * clock.Second
)

// handing is a claim's records on their way to the heir.
type handing struct {
	epoch identifier.Epoch
	heir  identifier.Node
	done  bool
}

type leave struct {
	since     clock.Time
	pending   map[deduplicator.Claim]handing
	claimsAt  clock.Time
	goodbyeAt clock.Time
}

func (s *State) nodeLeaving() {
	if s.leaving != nil {
		return
	}
	s.leaving = &leave{since: s.now, pending: make(map[deduplicator.Claim]handing)}
	for _, b := range s.sortedBackends() {
		s.startLeaving(b)
	}
	s.grant(s.granter.Leave(s.now))
	s.sendHandovers()
}

func (s *State) sendHandovers() {
	for _, c := range s.claimer.Dump(s.now) {
		if c.Authority && isIDClaim(c.Name) {
			s.handOver(c.Name)
		}
	}
}

// handOver sends the records to the node that the claim will go to. A heir uses those of the epoch just before its own
// only, so they are sent again where the claim went on to another epoch, or another heir, since.
func (s *State) handOver(n claimer.Name) {
	name := deduplicator.Claim(n)
	heir, known := s.claimer.SuccessorOf(n)
	h, held := s.hold(name)
	if !held || !known {
		return
	}
	p := s.leaving.pending[name]
	if p.epoch != h.Epoch || p.heir != heir {
		p = handing{epoch: h.Epoch, heir: heir}
	}
	s.leaving.pending[name] = p
	if p.done {
		return
	}
	for _, part := range s.owner.Export(h, s.now) {
		s.send(heir, "", part)
	}
}

func (s *State) handedOver(from identifier.Node, m deduplicator.HandoverAnswer) {
	if s.leaving == nil {
		return
	}
	p, asked := s.leaving.pending[m.Claim]
	if asked && p.epoch == m.Epoch && p.heir == from {
		p.done = true
		s.leaving.pending[m.Claim] = p
	}
}

func (s *State) tickLeaving() {
	l := s.leaving
	if l == nil {
		return
	}
	s.sendHandovers()
	if l.claimsAt == 0 {
		outstanding := s.granter.Outstanding(s.now)
		ready := l.allHandedOver() && outstanding <= shortWait
		if !ready && s.now.Sub(l.since) < handoverBound {
			return
		}
		l.claimsAt = s.now
		s.claim(s.claimer.Leave(outstanding, s.now))
		return
	}
	if l.goodbyeAt == 0 && (s.claimer.Left() || s.now.Sub(l.claimsAt) > handoverBound) {
		l.goodbyeAt = s.now
		s.gossip(s.gossiper.Leave(s.now))
	}
}

func (l *leave) allHandedOver() bool {
	for _, p := range l.pending {
		if !p.done {
			return false
		}
	}
	return true
}

// Idle tells whether a leaving node may end: its claims are handed over, the news has spread, and nothing is under way.
func (s *State) Idle(now clock.Time) bool {
	l := s.leaving
	if l == nil || l.goodbyeAt == 0 || now.Sub(l.goodbyeAt) < goodbyeBound {
		return false
	}
	// An outcome that nobody was told of would be unknown for ever.
	reported := s.asker.Reports() == 0 || now.Sub(l.goodbyeAt) > reportBound
	return len(s.calls) == 0 && len(s.deliveries) == 0 && reported
}

// Leaving tells whether the node was asked to stop.
func (s *State) Leaving() bool { return s.leaving != nil }
