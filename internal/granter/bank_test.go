// Tokens that a bank grants or lends must stay deducted until the slice or loan has certainly ended. Each case here
// would otherwise let a team spend the same share twice within a second or two, which delays other teams' calls and
// makes the team's bill wrong.

package granter_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/definer"
	"github.com/jackdawtide/jackdawtide/internal/granter"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// newBank returns a granter that has kept a bank with half of 8 calls a second and of a burst of 8 since time 0.
func newBank() *granter.Granter {
	g := newGranter(0, "a", true)
	shares := []definer.DomainShare{{Domain: "alfa", PerMille: 500}, {Domain: "bravo", PerMille: 500}}
	g.SetTeams([]definer.Team{{Name: "team0", Rate: 8000, Burst: 8000}}, shares, nil, 2, 0)
	g.SetHolder("bravo", 0, "b", 5)
	g.OpenBank(0, 5, 0)
	return g
}

func firstMessage[T any](effects []granter.Effect) (m T, ok bool) {
	for _, e := range effects {
		if s, sends := e.(granter.Send); sends {
			if m, ok = s.Message.(T); ok {
				return m, true
			}
		}
	}
	return m, false
}

func askFor(g *granter.Granter, number uint64, want identifier.Tokens, now clock.Time) identifier.Tokens {
	m := granter.Ask{Team: "team0", Domain: "alfa", Number: number, Want: want, Demand: 1000}
	r, _ := firstMessage[granter.Grant](g.Receive("c", m, now))
	return r.Amount
}

func TestBankStartsEmpty(t *testing.T) {
	assert.Equal(t, askFor(newBank(), 1, 1000, 0), identifier.Tokens(0))
}

func TestOutstandingSlicesOccupyCapUntilExpiry(t *testing.T) {
	g := newBank()
	for n := range uint64(4) {
		assert.Equal(t, askFor(g, n+1, 1000, 10_000), identifier.Tokens(1000))
	}
	assert.Equal(t, askFor(g, 5, 1000, 10_499), identifier.Tokens(0), "slices for the whole cap of 4 calls are outstanding")
	assert.Equal(t, askFor(g, 6, 1000, 12_000), identifier.Tokens(0), "no refill for time in which the account was full")
	assert.Equal(t, askFor(g, 7, 1000, 12_300), identifier.Tokens(1000))
}

func TestLoanMovesCapRateAndTokensToBorrower(t *testing.T) {
	g := newBank()
	g.Tick(10_000)
	q := granter.LoanRequest{Team: "team0", Domain: "alfa", Number: 1, WantRate: 8000, Unmet: true}
	m, _ := firstMessage[granter.Loan](g.Receive("b", q, 10_000))
	assert.Equal(t, m.Cap, identifier.Tokens(3000))
	assert.Equal(t, m.Tokens, identifier.Tokens(3000))
	a := g.Dump(10_000).Accounts[0]
	assert.Check(t, a.Bucket == 1000 && a.LentCap == m.Cap && a.LentRate == m.Rate, "%+v", a)
	for _, now := range []clock.Time{10_010, 11_900} {
		// The borrower has returned the rate but not the cap, so a refill finds no room.
		q := granter.LoanRequest{Team: "team0", Domain: "alfa", Number: uint64(now)}
		q.Held = []granter.HeldLoan{{Number: 1, Cap: m.Cap}}
		g.Receive("b", q, now)
		a := g.Dump(now).Accounts[0]
		assert.Check(t, a.Bucket == 1000 && a.LentCap == m.Cap && a.LentRate == 0, "%+v", a)
	}
}

// The borrower may not grant from a loan in its last half second, yet slices granted before still rely on it. The
// loan must be reported until they end; otherwise the lender takes its share back while they can still be spent.
func TestEndedLoanIsReportedUntilItsSlicesExpire(t *testing.T) {
	m := granter.Ask{Team: "team0", Domain: "alfa", Number: 1, Want: 9000, Demand: 9000}
	for at, held := range map[clock.Time]int{1500: 1, 1600: 1, 2040: 1, 2060: 0} {
		h := newBank()
		q, _ := firstMessage[granter.LoanRequest](h.Receive("c", m, 100))
		h.Receive("b", granter.Loan{Team: "team0", Domain: "bravo", Number: q.Number, Epoch: 5, Cap: 3000, Rate: 3000}, 110)
		m.Number = 2
		q, ok := firstMessage[granter.LoanRequest](h.Receive("c", m, at))
		assert.Check(t, ok)
		assert.Equal(t, len(q.Held), held, "held loans reported at %d ms", at)
		m.Number = 1
	}
}

// A domain that skipped a preset may have read the newest version and still use more than the asker's preset allows.
func TestSharesAreConfirmedByShareInUse(t *testing.T) {
	for perMille, confirmed := range map[int]bool{500: true, 499: false} {
		m := granter.SharesQuery{Domain: "alfa", Version: 1, PerMille: perMille}
		_, ok := firstMessage[granter.SharesConfirm](newBank().Receive("b", m, 100))
		assert.Equal(t, ok, confirmed)
	}
}
