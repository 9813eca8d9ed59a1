// The counters show which step failed when a team within its rate got no token: the request, its answer, or the bank.
//
// Example: {Requests: 40, Answers: 40, Unanswered: 37, LateAnswers: 37, MaxRoundTrip: 240} means that the bank is alive
// and its answers arrive later than expected.

package granter

import (
	"maps"
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

// Cause is why a call got no token.
type Cause string

// The causes, in order of the steps of a request.
const (
	// QueueFull means that too many calls of the team are parked already.
	QueueFull Cause = "queueFull"
	// NoBank means that no bank of the team has a known holder.
	NoBank Cause = "noBank"
	// Unanswered means that the bank has not answered the purse's request.
	Unanswered Cause = "unanswered"
	// NotHolder means that the node asked has no authority over the bank.
	NotHolder Cause = "notHolder"
	// Empty means that the bank has no tokens of the team left.
	Empty Cause = "empty"
)

// Counters counts the requests of all purses of this node and the calls that got no token.
type Counters struct {
	Requests   uint64
	Answers    uint64
	Unanswered uint64
	// LateAnswers counts the answers that arrived after the next request was due.
	LateAnswers uint64
	// MaxRoundTrip is the longest time from a request to its answer.
	MaxRoundTrip clock.Duration
	Refused      []RefusedCause
}

// RefusedCause counts the calls refused for a cause.
type RefusedCause struct {
	Cause Cause
	Count uint64
}

type counters struct {
	requests, answers, unanswered, lateAnswers uint64
	maxRoundTrip                               clock.Duration
	refused                                    map[Cause]uint64
}

// Counters returns the counters since the node's start.
func (g *Granter) Counters() Counters {
	c := Counters{
		Requests: g.counters.requests, Answers: g.counters.answers, Unanswered: g.counters.unanswered,
		LateAnswers: g.counters.lateAnswers, MaxRoundTrip: g.counters.maxRoundTrip,
	}
	for _, cause := range slices.Sorted(maps.Keys(g.counters.refused)) {
		c.Refused = append(c.Refused, RefusedCause{Cause: cause, Count: g.counters.refused[cause]})
	}
	return c
}

// causeOfWait returns why a parked call has no token yet.
func (p *purse) causeOfWait(w waiter, now clock.Time) Cause {
	switch {
	case p.emptyAt >= w.parkedAt:
		return Empty
	case p.notHolderAt >= w.parkedAt:
		return NotHolder
	case !p.pending && len(p.overdue) == 0 && p.chooseBank(now) == nil:
		return NoBank
	default:
		return Unanswered
	}
}

func (g *Granter) countAnswer(roundTrip clock.Duration, inTime bool) {
	g.counters.answers++
	if !inTime {
		g.counters.lateAnswers++
	}
	g.counters.maxRoundTrip = max(g.counters.maxRoundTrip, roundTrip)
}

func (g *Granter) countRefusal(cause Cause) Cause {
	g.counters.refused[cause]++
	return cause
}
