// The reducer and the limiter exchange these: calls go in, verdicts come out as data, and nothing here
// knows connections or timers.
//
// Example: with one slot, Offer(a) gives {a Dispatch}, Offer(b) gives {b Queue}, Done(a) gives {b Dispatch}.

package limiter

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// CallID is a handle that the node gives to a call; it is unique among the node's open calls.
type CallID uint64

// Call is what the limiter needs to know of a call.
type Call struct {
	ID       CallID
	Rank     identifier.Rank
	Deadline clock.Time
	// Due is when the caller expects the answer, by which DueFirst orders.
	Due clock.Time
	// WaitUntil is when the call stops waiting in the queue; 0 is the deadline.
	WaitUntil clock.Time
}

// queueExpiry is when a queued call expires.
func (c Call) queueExpiry() clock.Time {
	if c.WaitUntil == 0 {
		return c.Deadline
	}
	return min(c.WaitUntil, c.Deadline)
}

// Action is what becomes of a call.
type Action uint8

// Dispatch, Shed and Expire are final: a call gets exactly one of them, at most one Queue before it.
const (
	// Dispatch hands the call to the backend server.
	Dispatch Action = iota
	// Queue holds the call until a later verdict.
	Queue
	// Shed refuses the call, which has not run.
	Shed
	// Expire ends a call that has not run and whose deadline has passed or can no longer be met.
	Expire
)

var actionNames = [...]string{"dispatch", "queue", "shed", "expire"}

// String returns the name of the action.
func (a Action) String() string {
	if int(a) < len(actionNames) {
		return actionNames[a]
	}
	return "unknown"
}

// Verdict is the limiter's decision on one call.
type Verdict struct {
	ID     CallID
	Action Action
}

// Outcome is how a dispatched call ended.
type Outcome uint8

// The outcomes of a dispatched call.
const (
	Succeeded Outcome = iota
	Failed
	TimedOut
	Cancelled
)

// Order is the order of dispatch among queued calls of one priority class; shedding always goes by rank.
type Order uint8

// The orders of dispatch.
const (
	// RankOldest goes by rank, and oldest first among equal ranks.
	RankOldest Order = iota
	// RankNewest goes by rank, and newest first among equal ranks.
	RankNewest
	// ClassNewest goes by priority class, and newest first within it.
	ClassNewest
	// ClassOldest goes by priority class, and oldest first within it.
	ClassOldest
	// DueFirst goes by when the answer is due. Where those that can't all be served have been refused before, it
	// makes the fewest answers late: a lookup due in 100 ms passes nested calls of requests due in a second. While the
	// queueBound does not clear it goes by rank (see standing.go).
	DueFirst
)

// Options set a limiter up; zero fields take the defaults.
type Options struct {
	// Slots is how many calls the backend server announced to run at once; at least 1 is used.
	Slots int
	// ColdStart is how long the limit takes from a small part of the slots to all of them; zero means no ramp.
	ColdStart clock.Duration
	// Queue is the largest number of queued calls; default 4 for each slot, and at least 64.
	Queue int
	// Order is the order of dispatch.
	Order Order
	// Law is how the limit follows measured latency.
	Law Law
}

const (
	queuePerSlot = 4
	minQueue     = 64
)

func (o Options) withDefaults() Options {
	o.Slots = max(o.Slots, 1)
	if o.Queue <= 0 {
		o.Queue = max(minQueue, queuePerSlot*o.Slots)
	}
	return o
}
