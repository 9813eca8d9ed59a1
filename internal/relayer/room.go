package relayer

// Bodies of requests and answers that are buffered count against the memory that all connections of the node may hold. Usual ones are
// below freeBytes and are always buffered.
//
// Example: 60 kB of an answer are buffered while there is room; otherwise they are forwarded as they come.

import (
	"github.com/jackdawtide/jackdawtide/internal/reserver"
)

// freeBytes is the size up to which a body is buffered without a reservation.
const freeBytes = reserver.FreeBytes

// bufferRoom is what is reserved for one buffered body.
type bufferRoom struct {
	relayer *Relayer
	// bytes are those of the pool, followed those that count against maxFollowedBytes as well.
	bytes, followed int64
}

// hold reserves memory for a body of n bytes.
func (r *Relayer) hold(n int64) (bufferRoom, error) {
	h := bufferRoom{relayer: r}
	if n <= freeBytes {
		return h, nil
	}
	err := r.options.Memory.Take(n)
	if err == nil {
		h.bytes = n
	}
	return h, err
}

// release gives back what is reserved; releasing again has no effect.
func (h *bufferRoom) release() {
	if h.relayer == nil {
		return
	}
	h.relayer.options.Memory.Give(h.bytes)
	h.relayer.followedBytes.Add(-h.followed)
	h.bytes, h.followed = 0, 0
}
