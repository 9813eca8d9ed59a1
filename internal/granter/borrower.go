// A bank that can't meet its purses' requests asks the banks of the other domains. It counts each loan from the
// sending of the request that began or extended it, and stops granting from it a slice term before its end, so that
// the slices are spent or expired before the lender has its share back.
//
// Example: alfa asks bravo at 1000; the loan runs till 2950 at alfa. From 2450 on its cap isn't granted from
// unless an answer to a later request has extended it.

package granter

import (
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	// loanRequestsPerTerm is how often a lender is asked within a loan term; after an answer with nothing new it is asked
	// again after soonBorrowPeriod if purses need it.
	loanRequestsPerTerm = 8
	borrowRetryPeriod   = 20 * clock.Millisecond
	// loanAnswerTimeout is how long purses are kept waiting for a lender's answer.
	loanAnswerTimeout = 30 * clock.Millisecond
	// returnedLoanRetention is how long a loan given back stays in the reports, in case one gets lost.
	returnedLoanRetention = clock.Second
)

// borrowedLoan is a loan; one whose cap and rate are 0 is only reported.
type borrowedLoan struct {
	HeldLoan
	until clock.Time
	// ended tells that the loan may not be granted from any more, though slices may still rely on it.
	ended bool
	// reportedUntil ends the reports of a loan given back.
	reportedUntil clock.Time
}

// lender is another domain's bank as the borrower sees it.
type lender struct {
	domain identifier.FailureDomain
	node   identifier.Node
	loans  []borrowedLoan
	number uint64
	askAt  clock.Time
	asked  bool
	nextAt clock.Time
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

// A loan that ended stays in the reports for a slice term: the lender takes a loan that isn't reported for free,
// while slices granted from it could still be spent.
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

// lender returns the state for the present holder of a domain's bank. Loans of an earlier holder run on until
// their ends, and are reported to nobody.
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

// borrow asks every other domain's bank that is due.
func (g *Granter) borrow(b *bank, a *account, now clock.Time) {
	for _, d := range g.domains {
		h := d.holders[b.slot]
		if d.name == g.options.Domain || h.node == "" || h.node == g.options.Self {
			continue
		}
		l := a.lender(d.name, h.node)
		if now >= l.nextAt {
			g.sendLoanRequest(a, l, g.missingRate(a, now), now)
		}
	}
}

// missingRate is the demand beyond the own share, and at least a little of it while any request is unmet.
func (g *Granter) missingRate(a *account, now clock.Time) identifier.Tokens {
	return max(a.demand(now)*5/4-a.rate, identifier.TokensPerCall)
}

// sendLoanRequest gives up the request before, if that is still unanswered, and says so.
func (g *Granter) sendLoanRequest(a *account, l *lender, want identifier.Tokens, now clock.Time) {
	if l.asked {
		lost := HeldLoan{Number: l.number, Back: Unapplied}
		until := now.Add(returnedLoanRetention)
		l.loans = append(l.loans, borrowedLoan{HeldLoan: lost, until: until, reportedUntil: until})
	}
	m := LoanRequest{Team: a.team, Domain: l.domain, Number: g.nextNumber(), WantRate: want, Unmet: a.unmet(now)}
	for _, n := range l.loans {
		m.Held = append(m.Held, n.HeldLoan)
	}
	l.number = m.Number
	l.askAt = now
	l.asked = want > 0
	l.nextAt = now.Add(g.options.LoanTerm / loanRequestsPerTerm)
	g.send(l.node, m)
}

func (g *Granter) receiveLoan(from identifier.Node, m Loan, now clock.Time) {
	b, ok := g.bankOf(m.Team, now)
	if !ok {
		return
	}
	a := g.account(b, m.Team, now)
	for _, l := range a.lenders {
		if l.node == from && l.domain == m.Domain && l.asked && l.number == m.Number {
			g.acceptLoan(a, l, m, now)
		}
	}
}

func (g *Granter) acceptLoan(a *account, l *lender, m Loan, now clock.Time) {
	l.asked = false
	until := l.askAt.Add(g.options.shorten(g.options.LoanTerm) - g.options.SliceTerm)
	if m.Extended {
		for i := range l.loans {
			if n := &l.loans[i]; n.Cap > 0 || n.Rate > 0 {
				n.until = max(n.until, until)
				n.ended = now >= n.until
			}
		}
	}
	if m.Cap == 0 && m.Rate == 0 {
		l.nextAt = min(l.nextAt, now.Add(borrowRetryPeriod))
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

// receiveRecall gives back what exceeds the recall, as far as slices don't need it, and reports at once.
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

// returnLoans reduces the loans of a lender towards what may be kept; tokens go along in proportion to the cap.
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

// awaitsLoan tells that a lender may answer at any moment, so that purses should ask again soon.
func (a *account) awaitsLoan(now clock.Time) bool {
	for _, l := range a.lenders {
		if l.asked && now < l.askAt.Add(loanAnswerTimeout) {
			return true
		}
	}
	return false
}

// tickBorrower keeps loans running while they are needed, and gives them back when the domain's demand has ended.
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
		case !idle && now >= l.nextAt:
			g.sendLoanRequest(a, l, g.missingRate(a, now), now)
		}
	}
	a.lenders = slices.DeleteFunc(a.lenders, func(l *lender) bool {
		return len(l.loans) == 0 && idle && now >= l.askAt.Add(clientRetention)
	})
}
