// A planned stop loses nothing: the fleet is told first, the records of idempotency ids go to the successor, then the
// claims are handed over on the log, and the process ends only when its last call has.
//
// Example: NodeLeaving → LeaveEndpoint by gossip → Handover to the witness → Claim{Kind: Handover} → Idle.

package reducer

import (
	"strings"

	"github.com/jackdawtide/jackdawtide/internal/claimer"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/deduplicator"
)

const (
	idClaimPrefix = "ids/"
	// handoverBound is how long a leaving node waits for its successors to have its records.
	handoverBound = 2 * clock.Second
	// outstandingBound is longer than any slice or loan that this node granted can still be used.
	outstandingBound = 2500 * clock.Millisecond
	// goodbyeBound gives the news of a leaving node time to spread.
	goodbyeBound = clock.Second
)

type leave struct {
	since     clock.Time
	pending   map[deduplicator.Claim]bool
	claimsAt  clock.Time
	goodbyeAt clock.Time
}

func (s *State) nodeLeaving() {
	if s.leaving != nil {
		return
	}
	s.leaving = &leave{since: s.now, pending: make(map[deduplicator.Claim]bool)}
	for _, b := range s.sortedBackends() {
		s.startLeaving(b)
	}
	s.sendHandovers()
}

func (s *State) sendHandovers() {
	for _, c := range s.claimer.Dump(s.now) {
		if !c.Authority || !strings.HasPrefix(string(c.Name), idClaimPrefix) || c.Witness == "" {
			continue
		}
		s.handOver(c)
	}
}

func (s *State) handOver(c claimer.State) {
	name := deduplicator.Claim(c.Name)
	h, held := s.hold(name)
	if !held {
		return
	}
	if done, asked := s.leaving.pending[name]; asked && done {
		return
	}
	s.leaving.pending[name] = false
	for _, part := range s.owner.Export(h, s.now) {
		s.send(c.Witness, "", part)
	}
}

func (s *State) handedOver(m deduplicator.HandoverAnswer) {
	if s.leaving != nil {
		s.leaving.pending[m.Claim] = true
	}
}

func (s *State) tickLeaving() {
	l := s.leaving
	if l == nil {
		return
	}
	if l.claimsAt == 0 {
		s.sendHandovers()
		if !l.allHandedOver() && s.now.Sub(l.since) < handoverBound {
			return
		}
		l.claimsAt = s.now
		s.claim(s.claimer.Leave(outstandingBound, s.now))
		return
	}
	if l.goodbyeAt == 0 && (s.claimer.Left() || s.now.Sub(l.claimsAt) > handoverBound) {
		l.goodbyeAt = s.now
		s.gossip(s.gossiper.Leave(s.now))
	}
}

func (l *leave) allHandedOver() bool {
	for _, done := range l.pending {
		if !done {
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
	return len(s.calls) == 0 && len(s.deliveries) == 0
}

// Leaving tells whether the node was asked to stop.
func (s *State) Leaving() bool { return s.leaving != nil }
