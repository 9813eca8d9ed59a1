// The owner of ids needs to know since when nobody else can have allowed any. A hold goes on over epochs in which the
// node only named another witness; were each epoch taken for a new hold, the owner would forget what it allowed in the
// one before, and a retry would run a second time.
//
// Example: epoch 4 gained at 12:00:00, epoch 5 by an own continuation at 12:00:09: the hold is {4, 5, 12:00:00}.

package reducer

import (
	"github.com/jackdawtide/jackdawtide/internal/claimer"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/deduplicator"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// firstEpoch is the epoch of a claim founded by a node that has read the log from its very first record, so that nobody
// can have held the claim before (see claimer.Found).
const firstEpoch = identifier.Epoch(firstOffset) + 1

// claimHold is this node's unbroken hold on a claim: it held each epoch from first to last, and wall is when that began.
type claimHold struct {
	first identifier.Epoch
	last  identifier.Epoch
	wall  clock.Wall
}

// extendHold begins a hold, or lets it go on if no epoch in between can have been another node's.
func (s *State) extendHold(n claimer.Name, epoch identifier.Epoch) {
	g := s.holds[n]
	if g.first == 0 || epoch > g.last+1 || epoch < g.last {
		g = claimHold{first: epoch, wall: s.wall}
	}
	g.last = epoch
	s.holds[n] = g
}

// holdOf is this node's hold on a claim at this very moment. The claimer's authority can begin between two ticks, before
// it has told so; without knowing since when it holds, the owner would allow ids that an earlier one allowed already.
func (s *State) holdOf(c deduplicator.Claim) (deduplicator.Hold, bool) {
	epoch, ok := s.claimer.Holds(claimer.Name(c), s.now)
	g := s.holds[claimer.Name(c)]
	if !ok || g.first == 0 || epoch != g.last {
		return deduplicator.Hold{}, false
	}
	return deduplicator.Hold{Claim: c, Epoch: epoch, From: g.first, Gained: g.wall, First: g.first == firstEpoch}, true
}
