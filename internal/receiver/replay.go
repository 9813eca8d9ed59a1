// A retry needs the request's body from its start, but an upload of 200 MB is too large to hold in memory. The first
// maxReplayBytes are kept; a call of whose body more has been read cannot be retried.
//
// Example: the first attempt reads 10 KB and fails; the second attempt reads the same 10 KB.

package receiver

import (
	"io"
	"sync"

	"github.com/jackdawtide/jackdawtide/internal/reserver"
)

// maxReplayBytes is how much of a request's body is kept for retries.
const maxReplayBytes = 64 << 10

// replayBody lets successive attempts read the same body.
type replayBody struct {
	mu       sync.Mutex
	source   io.Reader
	memory   *reserver.Pool
	kept     []byte
	reserved int64
	overflow bool
	err      error
}

func newReplayBody(source io.Reader, memory *reserver.Pool) *replayBody {
	return &replayBody{source: source, memory: memory}
}

// release gives back the memory of what is kept.
func (b *replayBody) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drop()
}

// drop forgets what is kept; the caller holds the lock.
func (b *replayBody) drop() {
	b.overflow, b.kept = true, nil
	b.memory.Give(b.reserved)
	b.reserved = 0
}

// replayable returns whether another attempt can read the whole body.
func (b *replayBody) replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.overflow && (b.err == nil || b.err == io.EOF)
}

// attempt returns a reader for one attempt; detach must be called when the attempt is over.
func (b *replayBody) attempt(limit int64) *attemptBody {
	return &attemptBody{body: b, limit: limit}
}

// attemptBody reads the body for one attempt, up to a limit.
type attemptBody struct {
	body     *replayBody
	offset   int64
	limit    int64
	detached bool
	tooLarge bool
}

// The transport may still be reading for an attempt that is over. After detach such reads fail; otherwise they would
// consume bytes of the next attempt, and the backend server would get a body with a gap.
func (a *attemptBody) Read(p []byte) (int, error) {
	b := a.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.detached {
		return 0, io.ErrClosedPipe
	}
	n, err := a.read(p)
	a.offset += int64(n)
	if a.limit > 0 && a.offset > a.limit {
		a.tooLarge = true
		return 0, errBodyTooLarge
	}
	return n, err
}

func (a *attemptBody) read(p []byte) (int, error) {
	b := a.body
	if a.offset < int64(len(b.kept)) {
		return copy(p, b.kept[a.offset:]), nil
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.source.Read(p)
	b.err = err
	b.keep(p[:n])
	return n, err
}

func (b *replayBody) keep(p []byte) {
	if b.overflow {
		return
	}
	if len(b.kept)+len(p) > maxReplayBytes || !b.reserve(len(b.kept)+len(p)) {
		b.drop()
		return
	}
	b.kept = append(b.kept, p...)
}

// reserve makes room for n kept bytes in a buffer that grows by doubling, and returns whether there is any.
func (b *replayBody) reserve(n int) bool {
	wanted := 2 * max(0, int64(n)-reserver.FreeBytes)
	if b.memory.Take(wanted-b.reserved) != nil {
		return false
	}
	b.reserved = wanted
	return true
}

func (a *attemptBody) detach() {
	a.body.mu.Lock()
	a.detached = true
	a.body.mu.Unlock()
}

func (a *attemptBody) exceeded() bool {
	a.body.mu.Lock()
	defer a.body.mu.Unlock()
	return a.tooLarge
}

type bodyTooLargeError struct{}

func (bodyTooLargeError) Error() string { return "request body is larger than the service takes" }

var errBodyTooLarge = bodyTooLargeError{}
