// Queued calls are dispatched in the order that the limiter's options select, and shed by rank, least important first.
// All hops must use the same orders, or one hop works on a request that the next one refuses. So the keys of all orders
// are defined in this file only.
//
// Example: with RankOldest, rank 5 is queued before rank 3: rank 3 is dispatched first and rank 5 is shed first.

package limiter

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	// A key has a rank or a priority in its upper 16 bits and the call's sequence number below: counted up for oldest
	// first, complemented for newest first.
	sequenceBits = 48
	sequenceMask = 1<<sequenceBits - 1
	// dueSequenceBits leaves 44 bits for the due time in milliseconds.
	dueSequenceBits = 20
)

type entry struct {
	call         Call
	dispatchedAt clock.Time
	running      bool
}

// queue holds the entries of queued calls in four orders; numbers index into the limiter's entries.
type queue struct {
	order      Order
	sequence   uint64
	byDispatch heap[uint64]
	byShed     heap[uint64]
	byExpiry   heap[clock.Time]
	// byRank replaces byDispatch while a standing queue lasts (see standing.go).
	byRank heap[uint64]
	// urgent is the number of queued urgent calls.
	urgent int
}

func (q *queue) grow(n int) {
	q.byDispatch.grow(n)
	q.byShed.grow(n)
	q.byExpiry.grow(n)
	q.byRank.grow(n)
}

func (q *queue) len() int {
	return q.byDispatch.len()
}

func (q *queue) push(number int32, c Call) {
	q.sequence++
	q.byDispatch.push(number, q.dispatchKey(c))
	q.byShed.push(number, q.shedKey(c.Rank))
	q.byExpiry.push(number, c.queueExpiry())
	q.byRank.push(number, uint64(c.Rank)<<sequenceBits|sequenceMask&^q.sequence)
	if c.Rank.Priority() == identifier.Urgent {
		q.urgent++
	}
}

func (q *queue) remove(number int32, c Call) {
	q.byDispatch.remove(number)
	q.byShed.remove(number)
	q.byExpiry.remove(number)
	q.byRank.remove(number)
	if c.Rank.Priority() == identifier.Urgent {
		q.urgent--
	}
}

func (q *queue) dispatchKey(c Call) uint64 {
	r := c.Rank
	newest := sequenceMask &^ q.sequence
	switch q.order {
	case RankNewest:
		return uint64(r)<<sequenceBits | newest
	case ClassNewest:
		return uint64(r.Priority())<<sequenceBits | newest
	case DueFirst:
		return uint64(max(0, c.Due))<<dueSequenceBits | q.sequence&(1<<dueSequenceBits-1)
	case ClassOldest:
		return uint64(r.Priority())<<sequenceBits | q.sequence
	default:
		return uint64(r)<<sequenceBits | q.sequence
	}
}

// shedKey is smallest for the highest rank, which is the least important; among equal ranks the call that would be
// dispatched last is shed first.
func (q *queue) shedKey(r identifier.Rank) uint64 {
	worst := uint64(identifier.MaxRank-r) << sequenceBits
	if q.order == RankNewest || q.order == ClassNewest {
		return worst | q.sequence
	}
	return worst | sequenceMask&^q.sequence
}
