// Cases that the simulated fleet seldom produces at the exact millisecond: the times from which terms count, grants
// from replaced holders, and the cost of a decision.

package granter_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/claimer"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/definer"
	"github.com/jackdawtide/jackdawtide/internal/granter"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// fixedAuthority is an authority that never changes; true means that the claim is held.
type fixedAuthority bool

func (a fixedAuthority) Holds(claimer.Name, clock.Time) (identifier.Epoch, bool) { return 5, bool(a) }

func newGranter(teams int, holder identifier.Node, authority fixedAuthority) *granter.Granter {
	g := granter.New(granter.Options{Self: "a", Domain: "alfa", Slots: 1, Authority: authority})
	var list []definer.Team
	for i := range teams {
		list = append(list, definer.Team{Name: teamName(i), Rate: 1e9, Burst: 1e9})
	}
	g.SetTeams(list, []definer.DomainShare{{Domain: "alfa", PerMille: 1000}}, nil, 1, 0)
	g.SetHolder("alfa", 0, holder, 5)
	return g
}

func teamName(i int) identifier.Team {
	return identifier.Team(fmt.Sprintf("team%d", i))
}

// A grant that was delayed for long, or that comes from a holder that the log has replaced, consists of tokens that
// the bank has already granted to another purse; the team would exceed its rate for half a second.
func TestPurseIgnoresLateAndForeignGrants(t *testing.T) {
	tables := map[string]struct {
		from     identifier.Node
		epoch    identifier.Epoch
		number   uint64
		received clock.Time
		spent    clock.Time
		verdict  granter.Verdict
	}{
		"in time":             {"b", 5, 1, 1050, 1480, granter.Spent},
		"spent after the end": {"b", 5, 1, 1050, 1488, granter.Wait},
		"epoch replaced":      {"b", 4, 1, 1050, 1060, granter.Wait},
		"other node":          {"c", 5, 1, 1050, 1060, granter.Wait},
		"other number":        {"b", 5, 2, 1050, 1060, granter.Wait},
	}
	for name, c := range tables {
		t.Run(name, func(t *testing.T) {
			g := newGranter(1, "b", false)
			assert.Equal(t, g.Spend("team0", 1, 1000).Verdict, granter.Wait)
			assert.Equal(t, g.Tick(1000)[0].(granter.Send).Message.(granter.Ask).Number, uint64(1))
			m := granter.Grant{Team: "team0", Domain: "alfa", Number: c.number, Epoch: c.epoch, Amount: 9000}
			g.Receive(c.from, m, c.received)
			g.Receive(c.from, m, c.received)
			assert.Equal(t, g.Spend("team0", 2, c.spent).Verdict, c.verdict)
		})
	}
}

// A bank whose lease has ended may already have a successor; what it still granted would exceed the rate.
func TestBankGrantsOnlyWithAuthority(t *testing.T) {
	for _, held := range []fixedAuthority{true, false} {
		g := newGranter(1, "a", held)
		g.OpenBank(0, 5, 0)
		m := granter.Ask{Team: "team0", Domain: "alfa", Number: 1, Want: 1000}
		r := g.Receive("b", m, 1000)[0].(granter.Send).Message.(granter.Grant)
		assert.Equal(t, r.Amount > 0, bool(held))
		assert.Equal(t, len(g.Receive("b", m, 1001)) == 0, bool(held), "a repeated request must not be granted twice")
	}
}

// A lender has its share back two seconds after its answer. A borrower that counted from the arrival of the answer
// would still grant from the loan, and both would spend the same share.
func TestLoanTermCountsFromRequest(t *testing.T) {
	for arrival, loanUsable := range map[clock.Time]bool{1010: true, 2449: true, 2451: false} {
		g := newGranter(1, "a", true)
		g.SetTeams([]definer.Team{{Name: "team0", Rate: 1000, Burst: 8000}},
			[]definer.DomainShare{{Domain: "alfa", PerMille: 500}, {Domain: "bravo", PerMille: 500}}, nil, 2, 0)
		g.SetHolder("bravo", 0, "b", 5)
		g.OpenBank(0, 5, 1000)
		ask := granter.Ask{Team: "team0", Domain: "alfa", Number: 1, Want: 4000, Demand: 4000}
		q := g.Receive("c", ask, 1000)[0].(granter.Send).Message.(granter.LoanRequest)
		m := granter.Loan{Team: "team0", Domain: "bravo", Number: q.Number, Epoch: 5, Cap: 4000, Rate: 500, Tokens: 4000}
		g.Receive("b", m, arrival)
		g.Receive("b", m, arrival)
		a := g.Dump(arrival).Accounts[0]
		assert.Equal(t, a.BorrowedCap == 4000, loanUsable, "after a loan that arrived at %d ms: %+v", arrival, a)
		assert.Check(t, a.Bucket <= 8000)
	}
}

// The decision precedes every call, so it must be cheap, and its cost must not grow with the number of teams.
func BenchmarkSpend(b *testing.B) {
	for _, teams := range []int{8, 1000} {
		b.Run(fmt.Sprint(teams), func(b *testing.B) {
			g := newGranter(teams, "a", true)
			g.OpenBank(0, 5, 0)
			names := make([]identifier.Team, teams)
			for i := range names {
				names[i] = teamName(i)
			}
			now := clock.Time(10_000)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if i%50 == 0 {
					b.StopTimer()
					now++
					g.Tick(now)
					b.StartTimer()
				}
				g.Spend(names[i%teams], 1, now)
			}
		})
	}
}
