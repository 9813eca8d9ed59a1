// A bank lends what its own domain doesn't use, so that a team whose traffic is all in one domain gets its whole
// rate. Rate, cap and tokens are deducted from the lender's account before the answer is sent. They return when the
// loan has ended by the lender's clock or when the borrower has reported that it holds less.
//
// Example: bravo has no calls of the team and lends alfa all of its 50 calls a second. When a call arrives at bravo,
// it recalls what exceeds its surplus; alfa reports at once that it holds less, with the tokens left.

package granter

import (
	"slices"
	"strings"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	recallPeriod = 50 * clock.Millisecond
	// borrowerTerm is how long a borrower is included in the division of the surplus after its last request.
	borrowerTerm = 600 * clock.Millisecond
	// maxLoans bounds the number of loans of one lender to one borrower.
	maxLoans = 8
	// minLoanDivisor sets the smallest further loan: one whose cap and rate are no larger than the shares divided by
	// it is not worth a record.
	minLoanDivisor = 50
	// excessToleranceDivisor sets the tolerance: a loan may exceed its target by the share divided by it without
	// being recalled.
	excessToleranceDivisor = 8
	// reserveDivisor sets the reserve: the cap divided by it is never lent.
	reserveDivisor = 4
)

type lentLoan struct {
	number uint64
	cap    identifier.Tokens
	rate   identifier.Tokens
	tokens identifier.Tokens
	// returnedTokens is the sum of the tokens returned so far, at most initialCap.
	returnedTokens identifier.Tokens
	initialCap     identifier.Tokens
	until          clock.Time
}

// borrower is the lender's record of one borrower and its loans.
type borrower struct {
	node          identifier.Node
	requestNumber uint64
	wantRate      identifier.Tokens
	askedAt       clock.Time
	loans         []lentLoan
}

func (br *borrower) held() (capacity, rate identifier.Tokens) {
	for _, n := range br.loans {
		capacity += n.cap
		rate += n.rate
	}
	return capacity, rate
}

func (a *account) lentCap() (sum identifier.Tokens) {
	for _, br := range a.borrowers {
		c, _ := br.held()
		sum += c
	}
	return sum
}

func (a *account) lentRate() (sum identifier.Tokens) {
	for _, br := range a.borrowers {
		_, r := br.held()
		sum += r
	}
	return sum
}

func (a *account) dropLent(now clock.Time) {
	for _, br := range a.borrowers {
		br.loans = slices.DeleteFunc(br.loans, func(n lentLoan) bool { return now >= n.until })
	}
	a.borrowers = slices.DeleteFunc(a.borrowers, func(br *borrower) bool {
		return len(br.loans) == 0 && now >= br.askedAt.Add(clientRetention)
	})
}

func (a *account) borrower(n identifier.Node) *borrower {
	i, ok := slices.BinarySearchFunc(a.borrowers, n, func(br *borrower, n identifier.Node) int {
		return strings.Compare(string(br.node), string(n))
	})
	if !ok {
		a.borrowers = slices.Insert(a.borrowers, i, &borrower{node: n})
	}
	return a.borrowers[i]
}

func (g *Granter) receiveLoanRequest(from identifier.Node, m LoanRequest, now clock.Time) {
	b, ok := g.bankOf(m.Team, now)
	if !ok || m.Domain != g.options.Domain || g.purses[m.Team] == nil {
		return
	}
	a := g.account(b, m.Team, now)
	br := a.borrower(from)
	if m.Number <= br.requestNumber {
		return
	}
	br.requestNumber = m.Number
	br.wantRate = smooth(br.wantRate, m.WantRate)
	br.askedAt = now
	a.reconcileLoans(br, m)
	if m.WantRate > 0 {
		g.lend(b, a, br, m, now)
	}
}

// reconcileLoans applies the borrower's report of the loans that it still holds. A loan that isn't listed has ended,
// since the borrower drops a loan or abandons a request before it sends the report; its tokens count as spent unless
// they were reported as returned.
func (a *account) reconcileLoans(br *borrower, m LoanRequest) {
	kept := br.loans[:0]
	for _, n := range br.loans {
		i := slices.IndexFunc(m.Held, func(h HeldLoan) bool { return h.Number == n.number })
		if i < 0 {
			continue
		}
		h := m.Held[i]
		returnedTokens := h.Back
		if returnedTokens == Unapplied {
			returnedTokens = n.tokens
		}
		returnedTokens = min(returnedTokens, n.initialCap)
		a.bucket += max(0, returnedTokens-n.returnedTokens)
		n.returnedTokens = max(n.returnedTokens, returnedTokens)
		n.cap = min(n.cap, h.Cap)
		n.rate = min(n.rate, h.Rate)
		if n.cap > 0 || n.rate > 0 {
			kept = append(kept, n)
		}
	}
	br.loans = kept
	a.clipBucket()
}

// surplus is the part of the share that the bank's own domain doesn't need.
func (g *Granter) surplus(a *account, now clock.Time) (capacity, rate identifier.Tokens) {
	if g.leaving {
		return 0, 0
	}
	if a.idle(now) {
		return a.cap - a.reserve(), a.idleRate()
	}
	own := a.demand(now) * 5 / 4
	rate = max(0, a.rate-own)
	if a.rate > 0 {
		capacity = a.cap * rate / a.rate
	}
	return capacity, rate
}

// reserve is the part of the cap that an idle bank keeps for the first calls when traffic moves to its domain;
// without it they would wait for a recall. Pooled teams need none, since all their calls are paid for by one bank.
func (a *account) reserve() identifier.Tokens {
	if a.pooled {
		return 0
	}
	return a.cap / reserveDivisor
}

// idleRate returns the rate that an idle bank may lend: the whole rate only while the reserve is full.
func (a *account) idleRate() identifier.Tokens {
	if a.bucket < a.reserve() {
		return a.rate - a.rate/reserveDivisor
	}
	return a.rate
}

// target returns the borrower's part of the surplus, which is divided among the recent borrowers in proportion to the
// rates that they asked for.
func (g *Granter) target(a *account, br *borrower, now clock.Time) (capacity, rate identifier.Tokens) {
	capacity, rate = g.surplus(a, now)
	var sum identifier.Tokens
	for _, o := range a.borrowers {
		if now < o.askedAt.Add(borrowerTerm) {
			sum += o.wantRate
		}
	}
	if now >= br.askedAt.Add(borrowerTerm) || br.wantRate == 0 {
		return 0, 0
	}
	return scale(capacity, br.wantRate, sum), scale(rate, br.wantRate, sum)
}

// smooth applies exponential smoothing, so that noise in the demand doesn't move loans back and forth.
func smooth(old, v identifier.Tokens) identifier.Tokens {
	if old == 0 || v == 0 {
		return v
	}
	return (3*old + v) / 4
}

// scale returns v×part÷whole; it reduces the precision of large parts to avoid overflow.
func scale(v, part, whole identifier.Tokens) identifier.Tokens {
	const bound = 1 << 20
	for whole > bound {
		whole >>= 1
		part >>= 1
	}
	if whole <= 0 {
		return v
	}
	return v * min(part, whole) / whole
}

func (g *Granter) lend(b *bank, a *account, br *borrower, m LoanRequest, now clock.Time) {
	fairCap, fairRate := g.target(a, br, now)
	targetCap, targetRate := fairCap, fairRate
	heldCap, heldRate := br.held()
	r := Loan{Team: m.Team, Domain: m.Domain, Number: m.Number, Epoch: b.epoch}
	until := now.Add(g.options.LoanTerm)
	if exceeds(heldCap, targetCap, a.cap) || exceeds(heldRate, targetRate, a.rate) {
		g.send(br.node, Recall{Team: m.Team, Domain: m.Domain, Cap: targetCap, Rate: targetRate})
	} else {
		r.Extended = true
		for i := range br.loans {
			br.loans[i].until = until
		}
	}
	surplusCap, surplusRate := g.surplus(a, now)
	freeCap := max(0, min(a.cap-a.outstanding, surplusCap)-a.lentCap())
	freeRate := max(0, surplusRate-a.lentRate())
	if m.Unmet {
		// A borrower with unmet requests gets everything that is free, since tokens that no other bank asks for now
		// would remain unused.
		targetCap = max(targetCap, heldCap+freeCap)
		targetRate = max(targetRate, heldRate+freeRate)
	}
	n := lentLoan{
		number: m.Number,
		cap:    max(0, min(targetCap-heldCap, freeCap)),
		rate:   max(0, min(targetRate-heldRate, freeRate)),
		until:  until,
	}
	worthLending := n.cap > a.cap/minLoanDivisor || n.rate > a.rate/minLoanDivisor
	if worthLending && len(br.loans) < maxLoans {
		n.initialCap = n.cap
		n.tokens = min(max(0, a.bucket-a.reserve()), n.cap)
		a.bucket -= n.tokens
		br.loans = append(br.loans, n)
		r.Cap, r.Rate, r.Tokens = n.cap, n.rate, n.tokens
	}
	g.send(br.node, r)
	heldCap, heldRate = br.held()
	if m.Unmet && (exceeds(fairCap, heldCap, a.cap) || exceeds(fairRate, heldRate, a.rate)) {
		g.recall(a, now)
	}
}

// exceeds reports whether a loan exceeds its target by more than the tolerance; smaller changes of demand aren't
// worth a message.
func exceeds(held, target, share identifier.Tokens) bool {
	return held > target+share/excessToleranceDivisor
}

// recallLent recalls loans when the bank's own domain needs its share.
func (g *Granter) recallLent(a *account, now clock.Time) {
	if len(a.borrowers) > 0 {
		g.recall(a, now)
	}
}

func (g *Granter) recall(a *account, now clock.Time) {
	if now < a.recallAt {
		return
	}
	a.recallAt = now.Add(recallPeriod)
	for _, br := range a.borrowers {
		targetCap, targetRate := g.target(a, br, now)
		heldCap, heldRate := br.held()
		if exceeds(heldCap, targetCap, a.cap) || exceeds(heldRate, targetRate, a.rate) {
			g.send(br.node, Recall{Team: a.team, Domain: g.options.Domain, Cap: targetCap, Rate: targetRate})
		}
	}
}
