// The types that the limiter exchanges with the packages that use it: calls go in, verdicts come out as data. The
// limiter knows neither connections nor timers, so that its decisions can be tested and repeated.
//
// Example: with one slot, Offer(a) gives {a Dispatch}, Offer(b) gives {b Queue}, Done(a) gives {b Dispatch}.

package limiter

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// CallID is a handle that the node gives to a call; it is unique among the node's open calls.
type CallID uint64

// Call holds what the limiter needs to know about a call.
type Call struct {
	ID       CallID
	Rank     identifier.Rank
	Deadline clock.Time
	// Due is when the caller expects the answer; DueFirst orders by it.
	Due clock.Time
	// WaitUntil is when the call's queue timeout ends; 0 means the deadline.
	WaitUntil clock.Time
}

// queueExpiry returns when the call expires if it is still queued.
func (c Call) queueExpiry() clock.Time {
	if c.WaitUntil == 0 {
		return c.Deadline
	}
	return min(c.WaitUntil, c.Deadline)
}

// Action is what the limiter does with a call.
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

// Order is the order of dispatch among queued calls; shedding always goes by rank.
type Order uint8

// The orders of dispatch.
const (
	// RankOldest dispatches by rank, and oldest first among equal ranks.
	RankOldest Order = iota
	// RankNewest dispatches by rank, and newest first among equal ranks.
	RankNewest
	// ClassNewest dispatches by priority class, and newest first within it.
	ClassNewest
	// ClassOldest dispatches by priority class, and oldest first within it.
	ClassOldest
	// DueFirst dispatches the call whose answer is due first. If the calls in excess of the capacity were refused
	// earlier, this order makes the fewest answers late: a call due in 100 ms is run before nested calls of requests
	// due in a second. While a standing queue lasts, dispatch goes by rank (see standing.go).
	DueFirst
)

// MaxSlots bounds the slots of a backend server, for each of which memory is reserved: 50 times those of the largest one known.
const MaxSlots = 20_000

// Options configure a limiter; zero fields take the defaults.
type Options struct {
	// Slots is the number of calls that the backend server announced to run at once; at least 1 is used.
	Slots int
	// ColdStart is the time in which the limit rises from a small fraction of the slots to all of them; zero means no
	// ramp.
	ColdStart clock.Duration
	// Queue is the largest number of queued calls; default 4 for each slot, and at least 64.
	Queue int
	// Order is the order of dispatch.
	Order Order
	// Law is the control law by which the limit follows measured latency.
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
