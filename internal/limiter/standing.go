package limiter

// A queue that empties from time to time absorbs bursts; a standing queue only adds its delay to every call. A request
// that needs four nested calls in sequence then waits four times and is late as a whole, although each of its calls was
// run: the work is wasted. Dispatched by rank, which all calls of a request share, the calls of some requests hardly
// wait, those of the others expire at their queue timeout, and some requests complete.
//
// Example: calls have been queued without a gap for more than 100 ms: the call of the most important rank is dispatched
// next, of equal ranks the newest.

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
)

// standingQueueAfter is how long a queue may go without being empty before it counts as standing. A burst of as many
// calls as there are slots clears within two runs of about 50 ms.
const standingQueueAfter = 100 * clock.Millisecond

// trackQueue records since when the queue has not been empty.
func (l *Limiter) trackQueue(now clock.Time) {
	switch {
	case l.queue.len() == 0:
		l.waiting = false
	case !l.waiting:
		l.waiting, l.waitingSince = true, now
	}
}

// nextToDispatch returns the queued call to dispatch next.
func (l *Limiter) nextToDispatch(now clock.Time) int32 {
	if l.options.Order == DueFirst && l.waiting && now.Sub(l.waitingSince) > standingQueueAfter {
		return l.queue.byRank.first()
	}
	return l.queue.byDispatch.first()
}
