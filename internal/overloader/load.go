// The load is open-loop: a caller sends when its time has come, however slow the system is, as real callers do. A
// closed loop would slow down with the system and hide the overload.
//
// Example: run(ctx, arrivals, 1, send) calls send once for each arrival, at its time.

package overloader

import (
	"context"
	"sync"
	"time"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// result is what became of one arrival, as its caller saw it.
type result struct {
	arrival  arrival
	answered bool
	// refused tells that the last answer was a refusal rather than silence.
	status  int
	reason  string
	latency time.Duration
	doneAt  time.Duration
}

// reply is one answer to one sending.
type reply struct {
	status int
	reason string
}

// sendFunc makes one request and returns what came back; status 0 means that nothing did.
type sendFunc func(ctx context.Context, a arrival, attempt int) reply

func offerLoad(ctx context.Context, list []arrival, immediateRetries int, s sendFunc) []result {
	results := make([]result, len(list))
	var group sync.WaitGroup
	start := time.Now()
	for i, a := range sorted(list) {
		if !clock.SleepUntil(ctx, start.Add(a.at)) {
			break
		}
		group.Go(func() { results[i] = sendWithRetries(ctx, a, immediateRetries, start, s) })
	}
	group.Wait()
	return results
}

// sendWithRetries is one caller: it asks, and where it is of the impatient sort asks again at once.
func sendWithRetries(ctx context.Context, a arrival, retries int, start time.Time, s sendFunc) result {
	r := result{arrival: a}
	startedAt := time.Now()
	for attempt := range retries + 1 {
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		p := s(attemptCtx, a, attempt)
		cancel()
		r.status = p.status
		r.reason = p.reason
		if p.status == 200 {
			r.answered = true
			break
		}
	}
	r.latency = time.Since(startedAt)
	r.doneAt = time.Since(start)
	return r
}

// teamOf is what the accounts are kept by.
func teamOf(r result) identifier.Team { return r.arrival.team }
