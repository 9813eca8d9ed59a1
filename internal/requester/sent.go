package requester

// A faulty server may send an answer again at the point where a later answer on the connection is expected, and the answer
// names its request by id only. Each connection therefore remembers the requests that it has carried, for as long as they
// may be sent again under the same id.
//
// Example: c3-17 is declined on a connection; until the deadline of c3-17 this connection has carried it.

import (
	"hash/maphash"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

// requestKey is the hash of a request's id, 0 for a request without one.
type requestKey uint64

// sentRequest is a request that may be sent again until a time.
type sentRequest struct {
	key   requestKey
	until clock.Time
}

// sentRequests are requests that a connection has carried.
type sentRequests struct {
	list []sentRequest
}

// add records a request and forgets those that are not sent again any more.
func (s *sentRequests) add(r sentRequest, now clock.Time) {
	if r.key == 0 {
		return
	}
	if len(s.list) == cap(s.list) {
		kept := s.list[:0]
		for _, old := range s.list {
			if now < old.until {
				kept = append(kept, old)
			}
		}
		s.list = kept
	}
	s.list = append(s.list, r)
}

func (s *sentRequests) contains(k requestKey) bool {
	if k == 0 {
		return false
	}
	for i := range s.list {
		if s.list[i].key == k {
			return true
		}
	}
	return false
}

func (c *Client) keyOf(id string) requestKey {
	if id == "" {
		return 0
	}
	return requestKey(maphash.String(c.seed, id) | 1)
}
