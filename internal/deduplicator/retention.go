// What the owner remembers is bounded in number and in bytes. A record must not go before its id is refused
// as expired, or a retry would run again; so at the bound new ids are refused. Bodies may go early: a retry
// is then told that the request has run, without the answer's body.
//
// Example: 200,000 ids in 10 minutes are 333 new ids a second for ever, per owner.

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

// Push is for container/heap.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(expiryEntry)) }

// Pop is for container/heap.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = expiryEntry{}
	*h = old[:len(old)-1]
	return last
}

// dropExpired drops the records whose ids their own slot refuses as expired from now on.
func (o *Owner) dropExpired(wall clock.Wall) {
	for len(o.expiry) > 0 && o.expiry[0].at < wall {
		r := o.expiry[0].record
		if r.slot == nil {
			heap.Pop(&o.expiry)
			continue
		}
		r.slot.latestWall = max(r.slot.latestWall, wall)
		if r.expires >= wall {
			// An opaque id that was abandoned and begun again.
			o.expiry[0].at = r.expires
			heap.Fix(&o.expiry, 0)
			continue
		}
		heap.Pop(&o.expiry)
		delete(r.slot.records, r.key)
		o.records--
		o.dropBody(r)
		r.slot = nil
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
	// An answer that is being sent may still use the old outcome.
	withoutBody := *r.outcome
	withoutBody.Body = nil
	withoutBody.BodyDropped = true
	r.outcome = &withoutBody
}
