// The owner of idempotency ids must know since when no other node can have permitted any of them. A hold spans the
// consecutive epochs in which this node held the claim, for instance if it only changed the witness. If each epoch began
// a new hold, the owner would drop the permits of the epoch before, and a retry would run a second time.
//
// Example: epoch 4 gained at 12:00:00, epoch 5 by a renewal of this node at 12:00:09: the hold is {4, 5, 12:00:00}.

package reducer

import (
	"github.com/jackdawtide/jackdawtide/internal/claimer"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/deduplicator"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// firstEpoch is the epoch of a claim founded by a node that has read the log from its first record, so that no other
// node can have held the claim before (see claimer.Found).
const firstEpoch = identifier.Epoch(firstOffset) + 1

// claimHold is this node's uninterrupted hold on a claim: it held the epochs from first to last, and wall is the time at
// which the first of them began.
type claimHold struct {
	first identifier.Epoch
	last  identifier.Epoch
	wall  clock.Wall
}

// extendHold extends the hold to the gained epoch, or begins a new hold if another node may have held an epoch in
// between.
func (s *State) extendHold(n claimer.Name, epoch identifier.Epoch) {
	h := s.holds[n]
	if h.first == 0 || epoch > h.last+1 || epoch < h.last {
		h = claimHold{first: epoch, wall: s.wall}
	}
	h.last = epoch
	s.holds[n] = h
}

// holdOf returns this node's hold on a claim at the current time. The claimer's authority can begin between two ticks,
// before its Gained effect. There is no hold until then: without its start, the owner would permit ids that an earlier
// owner has already permitted.
func (s *State) holdOf(c deduplicator.Claim) (deduplicator.Hold, bool) {
	epoch, ok := s.claimer.Holds(claimer.Name(c), s.now)
	h := s.holds[claimer.Name(c)]
	if !ok || h.first == 0 || epoch != h.last {
		return deduplicator.Hold{}, false
	}
	return deduplicator.Hold{
		Claim:       c,
		Epoch:       epoch,
		SinceEpoch:  h.first,
		Gained:      h.wall,
		FirstHolder: h.first == firstEpoch,
	}, true
}
