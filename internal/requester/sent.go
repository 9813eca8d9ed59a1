package requester

// A faulty server may send an answer again at the point where a later answer on the connection is expected, and the answer
// names its request by id only. If the request has been sent again on the same connection, the copy of the first answer
// can't be told from the answer to the second. Each connection therefore remembers all requests that it has carried, and is not
// used for them again. No time limits this: a node that was paused passes requests on long after their deadline.
//
// Example: c3-17 is declined on one connection and sent again on another; a copy of the refusal arrives on the first one
// while c3-18 is awaited there, and is dropped.

import (
	"hash/maphash"
	"slices"
)

// requestKey is the hash of a request's id, 0 for a request without one.
type requestKey uint64

// sentRequest is a request that a connection has carried.
type sentRequest struct {
	key requestKey
	// status is that of the answer that was returned, 0 for none.
	status int
}

// maxSentRequests is the number of requests that a connection carries; it bounds what is remembered.
const maxSentRequests = 4096

// sentRequests are the requests that a connection has carried.
type sentRequests struct {
	list []sentRequest
}

func (s *sentRequests) add(k requestKey) {
	if k != 0 {
		s.list = append(s.list, sentRequest{key: k})
	}
}

func (s *sentRequests) contains(k requestKey) bool {
	return s.find(k) != nil
}

// find returns the last request with a key, nil for none.
func (s *sentRequests) find(k requestKey) *sentRequest {
	if k == 0 {
		return nil
	}
	for i := range slices.Backward(s.list) {
		if s.list[i].key == k {
			return &s.list[i]
		}
	}
	return nil
}

// setStatus records the status of the answer to the request that was sent last.
func (s *sentRequests) setStatus(k requestKey, status int) {
	if sent := s.find(k); sent != nil {
		sent.status = status
	}
}

func (s *sentRequests) full() bool {
	return len(s.list) >= maxSentRequests
}

func (c *Client) keyOf(id string) requestKey {
	if id == "" {
		return 0
	}
	return requestKey(maphash.String(c.seed, id) | 1)
}
