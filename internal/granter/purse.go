// The purse decides on every call at its entry node, so a decision costs only a map lookup and an addition. It checks
// the end of a slice against the node's clock at the moment of spending, so a process that was paused doesn't spend
// expired slices.
//
// Example: a slice of 2000 tokens that ends at 487 pays for two calls until then; a third call waits, and is resumed
// when the next slice arrives or refused after 100 ms.

package granter

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	// demandWindow is the length of a window in which arrivals are counted.
	demandWindow = 100 * clock.Millisecond
	// maxSlices bounds the slices that a purse holds at a time.
	maxSlices = 4
	// minRetryAfter keeps refused callers from retrying within the same burst.
	minRetryAfter = 50 * clock.Millisecond
	// A purse is idle after four call intervals without a call, within these bounds.
	minIdleBound = 20 * clock.Millisecond
	maxIdleBound = 200 * clock.Millisecond
)

type slice struct {
	paid  Paid
	left  identifier.Tokens
	until clock.Time
}

// waiter is a parked call.
type waiter struct {
	call     Call
	parkedAt clock.Time
	// uselessAt is the time from which the call has no use for a token.
	uselessAt clock.Time
}

// endedSlice is a slice whose end has not been reported to its bank yet.
type endedSlice struct {
	domain   identifier.FailureDomain
	returned Returned
	until    clock.Time
}

type purse struct {
	team  identifier.Team
	slot  int
	rate  identifier.Tokens
	burst identifier.Tokens
	// order lists the domains whose banks are asked, most preferred first.
	order  []*domain
	pooled bool

	active  bool
	slices  []slice
	waiters []waiter
	ended   []endedSlice

	windowIndex clock.Time
	arrivals    identifier.Tokens
	demand      identifier.Tokens
	// firstCallAt is the time of the first call in the current demand window, lastCallAt that of the last call.
	firstCallAt clock.Time
	lastCallAt  clock.Time

	// reportedDemand is the demand that was last reported to a bank.
	reportedDemand identifier.Tokens
	// current is the latest request, whose answer is awaited if pending is set; overdue holds earlier ones whose answers
	// are still accepted, oldest first.
	current request
	pending bool
	overdue []request
	// roundTrip is the smoothed time from a request to its answer.
	roundTrip          clock.Duration
	unansweredRequests int
	nextAsk            clock.Time
	// emptyAt is when a bank last answered that it has no tokens left, and notHolderAt when a node last answered that it
	// has no authority.
	emptyAt     clock.Time
	notHolderAt clock.Time
}

func newPurse(t identifier.Team, slot, maxWaiters int) *purse {
	return &purse{
		team: t, slot: slot,
		slices:  make([]slice, 0, maxSlices),
		waiters: make([]waiter, 0, maxWaiters),
		emptyAt: -1, notHolderAt: -1,
	}
}

// Spend decides on one call of the team. If the call must wait, later effects name it by the given number.
func (g *Granter) Spend(t identifier.Team, call Call, now clock.Time) Decision {
	return g.SpendBefore(t, call, clock.Never, now)
}

// SpendBefore is Spend for a call that has no use for a token from uselessAt on.
func (g *Granter) SpendBefore(t identifier.Team, call Call, uselessAt, now clock.Time) Decision {
	p := g.purses[t]
	if p == nil {
		return Decision{Verdict: Refused, RetryAfter: clock.Second, Cause: Empty}
	}
	p.countArrival(now)
	if len(p.waiters) == 0 {
		if paid, ok := p.payFromSlices(now); ok {
			return Decision{Verdict: Spent, Paid: paid}
		}
	}
	w := waiter{call: call, parkedAt: now, uselessAt: uselessAt}
	noGrantInTime := p.nextAsk >= now.Add(g.options.WaitBound)
	switch {
	case noGrantInTime:
		return Decision{Verdict: Refused, RetryAfter: p.retryAfter(now), Cause: g.countRefusal(Empty)}
	case len(p.waiters) == g.options.MaxWaiters:
		cause := QueueFull
		if p.causeOfWait(p.waiters[0], now) == Empty {
			cause = Empty
		}
		return Decision{Verdict: Refused, RetryAfter: p.retryAfter(now), Cause: g.countRefusal(cause)}
	}
	p.waiters = append(p.waiters, w)
	return Decision{Verdict: Wait}
}

func (p *purse) countArrival(now clock.Time) {
	p.rollDemandWindow(now)
	if p.arrivals == 0 {
		p.firstCallAt = now
	}
	p.arrivals += identifier.TokensPerCall
	p.lastCallAt = now
	p.active = true
}

// rollDemandWindow closes the demand window once it has passed; each window without calls halves the demand.
func (p *purse) rollDemandWindow(now clock.Time) {
	w := now / clock.Time(demandWindow)
	passed := w - p.windowIndex
	if passed <= 0 {
		return
	}
	p.demand = (p.demand + p.arrivals*identifier.Tokens(clock.Second/demandWindow)) / 2
	p.demand >>= min(uint(passed-1), 32)
	p.arrivals = 0
	p.windowIndex = w
}

// payFromSlices pays for one call from the oldest slice that has tokens left and has not ended.
func (p *purse) payFromSlices(now clock.Time) (Paid, bool) {
	for i := range p.slices {
		s := &p.slices[i]
		if s.left >= identifier.TokensPerCall && now < s.until {
			s.left -= identifier.TokensPerCall
			return s.paid, true
		}
	}
	return Paid{}, false
}

func (p *purse) retryAfter(now clock.Time) clock.Duration {
	return max(minRetryAfter, p.nextAsk.Sub(now))
}

func (g *Granter) tickPurse(p *purse, now clock.Time) {
	p.rollDemandWindow(now)
	g.serveWaiters(p, now)
	p.endSlices(now, g.options.RenewBefore)
	g.askBanks(p, now)
	p.active = len(p.slices)+len(p.waiters)+len(p.ended) > 0 || p.pending || p.demand > 0 || p.arrivals > 0 || p.reportedDemand > 0
}

// serveWaiters resumes parked calls in order of arrival, and refuses those that have waited long enough.
func (g *Granter) serveWaiters(p *purse, now clock.Time) {
	kept := p.waiters[:0]
	for _, w := range p.waiters {
		if !g.mayWait(p, w, now) {
			cause := g.countRefusal(p.causeOfWait(w, now))
			g.effects = append(g.effects, Refuse{Call: w.call, RetryAfter: p.retryAfter(now), Cause: cause})
			continue
		}
		if len(kept) == 0 {
			if paid, ok := p.payFromSlices(now); ok {
				g.effects = append(g.effects, Resume{Call: w.call, Paid: paid})
				continue
			}
		}
		kept = append(kept, w)
	}
	p.waiters = kept
}

// mayWait reports whether a call may go on waiting. After the wait bound it waits only for an answer of a bank: none
// says yet that the team has used up its rate.
func (g *Granter) mayWait(p *purse, w waiter, now clock.Time) bool {
	switch {
	case now >= w.uselessAt:
		return false
	case now < w.parkedAt.Add(g.options.WaitBound):
		return true
	case now >= w.parkedAt.Add(g.options.SliceTerm):
		return false
	}
	cause := p.causeOfWait(w, now)
	return cause == Unanswered || cause == NotHolder
}

func (g *Granter) refuseWaiters(p *purse) {
	for _, w := range p.waiters {
		g.effects = append(g.effects, Refuse{Call: w.call, RetryAfter: clock.Second, Cause: g.countRefusal(Empty)})
	}
	p.waiters = p.waiters[:0]
}

// endSlices ends slices that are spent, about to expire, or idle; their remaining tokens are returned to the bank.
func (p *purse) endSlices(now clock.Time, renewBefore clock.Duration) {
	kept := p.slices[:0]
	for _, s := range p.slices {
		if s.left >= identifier.TokensPerCall && now < s.until.Add(-renewBefore) && !p.idle(now) {
			kept = append(kept, s)
			continue
		}
		p.queueReturn(s.paid.Domain, Returned{Number: s.paid.Slice, Unspent: s.left}, s.until)
	}
	p.slices = kept
}

func (p *purse) queueReturn(d identifier.FailureDomain, r Returned, until clock.Time) {
	p.ended = append(p.ended, endedSlice{domain: d, returned: r, until: until})
}
