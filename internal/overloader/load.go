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

// send makes one request and returns what came back; status 0 means that nothing did.
type send func(ctx context.Context, a arrival, try int) reply

func run(ctx context.Context, list []arrival, hardRetries int, s send) []result {
	results := make([]result, len(list))
	var group sync.WaitGroup
	start := time.Now()
	for i, a := range sorted(list) {
		if !clock.SleepUntil(ctx, start.Add(a.at)) {
			break
		}
		group.Go(func() { results[i] = pursue(ctx, a, hardRetries, start, s) })
	}
	group.Wait()
	return results
}

// pursue is one caller: it asks, and where it is of the impatient sort asks again at once.
func pursue(ctx context.Context, a arrival, retries int, start time.Time, s send) result {
	r := result{arrival: a}
	began := time.Now()
	for try := range retries + 1 {
		attempt, cancel := context.WithTimeout(ctx, deadline)
		p := s(attempt, a, try)
		cancel()
		r.status = p.status
		r.reason = p.reason
		if p.status == 200 {
			r.answered = true
			break
		}
	}
	r.latency = time.Since(began)
	r.doneAt = time.Since(start)
	return r
}

// teamOf is what the accounts are kept by.
func teamOf(r result) identifier.Team { return r.arrival.team }
