package limiter

// A queue that clears now and then absorbs bursts; one that does not clear only adds its length to each call. A request
// that needs four nested calls one after the other then waits four times, and is late as a whole although each of its
// calls was run: nothing that is run is of use. By rank, which all calls of a request share, the calls of some requests
// hardly wait, those of the others are turned away at their queue timeout, and whole requests come through.
//
// Example: calls have waited without a gap for 100 ms: the call of the lowest rank is run next, of equals the newest.

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
)

// standingQueueAfter is how long a queue may go without clearing: a burst of as many calls as there are slots clears within two
// runs of some 50 ms.
const standingQueueAfter = 100 * clock.Millisecond

// trackQueue follows since when the queue has not been empty.
func (l *Limiter) trackQueue(now clock.Time) {
	switch {
	case l.queue.len() == 0:
		l.waiting = false
	case !l.waiting:
		l.waiting, l.waitingSince = true, now
	}
}

// nextTrial returns the queued call that runs next.
func (l *Limiter) nextToDispatch(now clock.Time) int32 {
	if l.options.Order == DueFirst && l.waiting && now.Sub(l.waitingSince) > standingQueueAfter {
		return l.queue.byRank.first()
	}
	return l.queue.byDispatch.first()
}
