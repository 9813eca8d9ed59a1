// A bank that can't meet its purses' requests borrows from the banks of the other domains. The borrower counts each
// loan from the sending of the request that started or extended it, and stops granting from it a slice term before
// its end, so that the slices are spent or expired before the lender has its share back.
//
// Example: alfa asks bravo at 1000 ms; the loan ends at 2950 ms on alfa's clock. From 2450 ms on alfa grants nothing
// from it unless the answer to a later request has extended it.

package granter

import (
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	// loanRequestsPerTerm is how often a lender that answers quickly is asked within a loan term, and
	// minLoanRequestsPerTerm how often any lender is. After an answer without a new loan it is asked again after
	// borrowRetryPeriod if purses need tokens.
	loanRequestsPerTerm    = 8
	minLoanRequestsPerTerm = 2
	borrowRetryPeriod      = 20 * clock.Millisecond
	// loanAnswerTimeout is how long a lender's answer is expected; meanwhile purses are told to retry soon.
	loanAnswerTimeout = 30 * clock.Millisecond
	// returnedLoanRetention is how long a returned loan is repeated in the reports, in case one is lost.
	returnedLoanRetention = clock.Second
)

// borrowedLoan is a loan that this bank holds; once its cap and rate are 0 it is kept only to be reported.
type borrowedLoan struct {
	HeldLoan
	until clock.Time
	// ended is set when the loan may not be granted from any more, although outstanding slices may still rely on it.
	ended bool
	// reportedUntil is when a returned loan is no longer reported.
	reportedUntil clock.Time
}

// lender is the borrower's record of another domain's bank.
type lender struct {
	domain        identifier.FailureDomain
	node          identifier.Node
	loans         []borrowedLoan
	requestNumber uint64
	askedAt       clock.Time
	pending       bool
	nextRequestAt clock.Time
	// answerBound is how long an answer is awaited before the next request: twice the last round trip, and twice as long
	// after each unanswered request. A next request abandons the previous one, so a constant bound below the round trip
	// would abandon each.
	answerBound clock.Duration
}

func (a *account) borrowedCap() (sum identifier.Tokens) {
	for _, l := range a.lenders {
		for _, n := range l.loans {
			if !n.ended {
				sum += n.Cap
			}
		}
	}
	return sum
}

func (a *account) borrowedRate() (sum identifier.Tokens) {
	for _, l := range a.lenders {
		for _, n := range l.loans {
			if !n.ended {
				sum += n.Rate
			}
		}
	}
	return sum
}

// An ended loan is reported for another slice term: the lender treats a loan that isn't reported as returned, while
// slices granted from it could still be spent.
func (a *account) dropBorrowed(now clock.Time, sliceTerm clock.Duration) {
	for _, l := range a.lenders {
		l.loans = slices.DeleteFunc(l.loans, func(n borrowedLoan) bool {
			returned := n.Cap == 0 && n.Rate == 0
			return now >= n.until.Add(sliceTerm) || returned && now >= n.reportedUntil
		})
		for i := range l.loans {
			l.loans[i].ended = now >= l.loans[i].until
		}
	}
}

// lender returns the state for the current holder of a domain's bank. Loans from an earlier holder last until their
// ends and are not reported.
func (a *account) lender(d identifier.FailureDomain, n identifier.Node) *lender {
	for _, l := range a.lenders {
		if l.domain == d && l.node == n {
			return l
		}
	}
	l := &lender{domain: d, node: n}
	a.lenders = append(a.lenders, l)
	return l
}

// borrow sends a loan request to the bank of every other domain that is due to be asked.
func (g *Granter) borrow(b *bank, a *account, now clock.Time) {
	for _, d := range g.domains {
		h := d.holders[b.slot]
		if d.name == g.options.Domain || h.node == "" || h.node == g.options.Self {
			continue
		}
		l := a.lender(d.name, h.node)
		if now >= l.nextRequestAt {
			g.sendLoanRequest(a, l, g.missingRate(a, now), now)
		}
	}
}

// missingRate returns the demand, with a quarter of headroom, that exceeds the domain's own share; it is at least one
// call a second.
func (g *Granter) missingRate(a *account, now clock.Time) identifier.Tokens {
	return max(a.demand(now)*5/4-a.rate, identifier.TokensPerCall)
}

// sendLoanRequest abandons the previous request if it is still unanswered, and reports that to the lender.
func (g *Granter) sendLoanRequest(a *account, l *lender, want identifier.Tokens, now clock.Time) {
	if l.pending {
		lost := HeldLoan{Number: l.requestNumber, Back: Unapplied}
		until := now.Add(returnedLoanRetention)
		l.loans = append(l.loans, borrowedLoan{HeldLoan: lost, until: until, reportedUntil: until})
		l.answerBound *= 2
	}
	l.answerBound = min(max(l.answerBound, g.options.LoanTerm/loanRequestsPerTerm), g.options.LoanTerm/minLoanRequestsPerTerm)
	m := LoanRequest{Team: a.team, Domain: l.domain, Number: g.nextNumber(), WantRate: want, Unmet: a.unmet(now)}
	for _, n := range l.loans {
		m.Held = append(m.Held, n.HeldLoan)
	}
	l.requestNumber = m.Number
	l.askedAt = now
	l.pending = want > 0
	l.nextRequestAt = now.Add(l.answerBound)
	g.send(l.node, m)
}

func (g *Granter) receiveLoan(from identifier.Node, m Loan, now clock.Time) {
	b, ok := g.bankOf(m.Team, now)
	if !ok {
		return
	}
	a := g.account(b, m.Team, now)
	for _, l := range a.lenders {
		if l.node == from && l.domain == m.Domain && l.pending && l.requestNumber == m.Number {
			g.acceptLoan(a, l, m, now)
		}
	}
}

func (g *Granter) acceptLoan(a *account, l *lender, m Loan, now clock.Time) {
	l.pending = false
	l.answerBound = 2 * now.Sub(l.askedAt)
	l.nextRequestAt = min(l.nextRequestAt, max(now, l.askedAt.Add(g.options.LoanTerm/loanRequestsPerTerm)))
	until := l.askedAt.Add(g.options.shorten(g.options.LoanTerm) - g.options.SliceTerm)
	if m.Extended {
		for i := range l.loans {
			if n := &l.loans[i]; n.Cap > 0 || n.Rate > 0 {
				n.until = max(n.until, until)
				n.ended = now >= n.until
			}
		}
	}
	if m.Cap == 0 && m.Rate == 0 {
		l.nextRequestAt = min(l.nextRequestAt, now.Add(borrowRetryPeriod))
		return
	}
	if now >= until {
		return
	}
	held := HeldLoan{Number: m.Number, Cap: m.Cap, Rate: m.Rate}
	l.loans = append(l.loans, borrowedLoan{HeldLoan: held, until: until})
	a.bucket += m.Tokens
	a.clipBucket()
}

// receiveRecall returns what exceeds the recall, as far as outstanding slices don't need it, and reports it at once.
func (g *Granter) receiveRecall(from identifier.Node, m Recall, now clock.Time) {
	b, ok := g.bankOf(m.Team, now)
	if !ok {
		return
	}
	a := g.account(b, m.Team, now)
	for _, l := range a.lenders {
		if l.node != from || l.domain != m.Domain {
			continue
		}
		if a.returnLoans(l, m.Cap, m.Rate, now) {
			want := identifier.Tokens(0)
			if a.unmet(now) {
				want = g.missingRate(a, now)
			}
			g.sendLoanRequest(a, l, want, now)
		}
	}
}

// returnLoans reduces the loans from a lender towards the cap and rate that may be kept; tokens are returned in
// proportion to the cap. It reports whether anything was returned.
func (a *account) returnLoans(l *lender, keepCap, keepRate identifier.Tokens, now clock.Time) bool {
	var heldCap, heldRate identifier.Tokens
	for _, n := range l.loans {
		heldCap += n.Cap
		heldRate += n.Rate
	}
	free := a.limit() - a.outstanding
	returnCap := max(0, min(heldCap-keepCap, free))
	returnRate := max(0, heldRate-keepRate)
	if returnCap == 0 && returnRate == 0 {
		return false
	}
	var tokens identifier.Tokens
	if returnCap > 0 {
		tokens = min(returnCap, (a.bucket*returnCap+free-1)/free)
	}
	for i := range l.loans {
		n := &l.loans[i]
		c, r := min(n.Cap, returnCap), min(n.Rate, returnRate)
		t := min(tokens, c)
		if c == 0 && r == 0 {
			continue
		}
		n.Cap -= c
		n.Rate -= r
		n.Back += t
		n.reportedUntil = now.Add(returnedLoanRetention)
		returnCap -= c
		returnRate -= r
		tokens -= t
		a.bucket -= t
	}
	a.clipBucket()
	return true
}

// awaitsLoan reports whether a lender's answer is expected any moment, so that purses should retry soon.
func (a *account) awaitsLoan(now clock.Time) bool {
	for _, l := range a.lenders {
		if l.pending && now < l.askedAt.Add(loanAnswerTimeout) {
			return true
		}
	}
	return false
}

// tickBorrower extends loans while they are needed and returns them when the domain's demand has ended.
func (g *Granter) tickBorrower(b *bank, a *account, now clock.Time) {
	if len(a.lenders) == 0 || !g.hasAuthority(b, now) {
		return
	}
	idle := a.idle(now)
	for _, l := range a.lenders {
		current := g.domain(l.domain).holders[b.slot].node == l.node
		switch {
		case !current:
		case idle && a.returnLoans(l, 0, 0, now):
			g.sendLoanRequest(a, l, 0, now)
		case !idle && now >= l.nextRequestAt:
			g.sendLoanRequest(a, l, g.missingRate(a, now), now)
		}
	}
	a.lenders = slices.DeleteFunc(a.lenders, func(l *lender) bool {
		return len(l.loans) == 0 && idle && now >= l.askedAt.Add(clientRetention)
	})
}
