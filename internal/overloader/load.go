// The load is open-loop, as that of real callers: each request is sent at its time, however slow the system is. A closed
// loop would slow down with the system and hide the overload.
//
// Example: offerLoad(ctx, arrivals, 0, send) calls send once for each arrival, at its time.

package overloader

import (
	"context"
	"sync"
	"time"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// result is the outcome of one arrival, as seen by its caller.
type result struct {
	arrival  arrival
	answered bool
	// status and reason are those of the last attempt; status 0 means that no answer arrived.
	status  int
	reason  string
	latency time.Duration
	doneAt  time.Duration
}

// reply is the answer to one attempt.
type reply struct {
	status int
	reason string
}

// sendFunc makes one attempt and returns its answer; status 0 means that no answer arrived.
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

// sendWithRetries acts as one caller, who retries a failed request immediately, up to the given number of retries.
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

func teamOf(r result) identifier.Team { return r.arrival.team }
