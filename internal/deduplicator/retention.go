// The owner's records are bounded in number, and their bodies in bytes. A record must be kept until its id is refused
// as expired, otherwise a retry would run again; so at the bound new ids are refused. Bodies may be dropped early: a
// retry then learns that the request has run, without the body of the answer.
//
// Example: 200,000 ids in 10 minutes allow 333 new ids a second indefinitely, per owner.

package deduplicator

import (
	"container/heap"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

type expiryEntry struct {
	at     clock.Wall
	record *record
}

type expiryHeap []expiryEntry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(expiryEntry)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = expiryEntry{}
	*h = old[:len(old)-1]
	return last
}

// dropExpired drops the records whose ids their held claims refuse as expired from now on.
func (o *Owner) dropExpired(wall clock.Wall) {
	for len(o.expiry) > 0 && o.expiry[0].at < wall {
		r := o.expiry[0].record
		if r.heldClaim == nil {
			heap.Pop(&o.expiry)
			continue
		}
		r.heldClaim.latestWall = max(r.heldClaim.latestWall, wall)
		if r.expires >= wall {
			// The record is of an opaque id that was abandoned and begun again, so it expires later.
			o.expiry[0].at = r.expires
			heap.Fix(&o.expiry, 0)
			continue
		}
		heap.Pop(&o.expiry)
		delete(r.heldClaim.records, r.key)
		o.records--
		o.dropBody(r)
		r.heldClaim = nil
	}
}

type bodyQueue struct {
	records []*record
	bytes   int
}

func (o *Owner) keepBody(r *record) {
	if len(r.outcome.Body) == 0 {
		return
	}
	q := &o.bodies
	q.bytes += len(r.outcome.Body)
	q.records = append(q.records, r)
	for q.bytes > o.options.MaxBodyBytes || (len(q.records) > 0 && q.records[0].outcome == nil) {
		oldest := q.records[0]
		q.records[0] = nil
		q.records = q.records[1:]
		o.dropBody(oldest)
	}
}

func (o *Owner) dropBody(r *record) {
	if r.outcome == nil || len(r.outcome.Body) == 0 {
		return
	}
	o.bodies.bytes -= len(r.outcome.Body)
	// The old outcome is left unchanged, since an answer that is being sent may still use it.
	withoutBody := *r.outcome
	withoutBody.Body = nil
	withoutBody.BodyDropped = true
	r.outcome = &withoutBody
}
