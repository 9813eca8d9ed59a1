// Wire types of the granter's messages. Ask and Grant are the most frequent control messages, so they consist of numbers
// only, except for the names of the team and the failure domain.
//
// Example: an Ask without returned slices takes about thirty bytes.

package encoder

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/granter"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Kinds of the granter's messages.
const (
	kindAsk           Kind = 200
	kindGrant         Kind = 201
	kindLoanRequest   Kind = 202
	kindLoan          Kind = 203
	kindRecall        Kind = 204
	kindSharesQuery   Kind = 205
	kindSharesConfirm Kind = 206
)

type returnedWire struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Unspent int64
}

type askWire struct {
	_        struct{} `cbor:",toarray"`
	Team     string
	Domain   string
	Number   uint64
	Want     int64
	Demand   int64
	Returned []returnedWire
}

type grantWire struct {
	_         struct{} `cbor:",toarray"`
	Team      string
	Domain    string
	Number    uint64
	Epoch     int64
	Amount    int64
	RetryIn   int64
	NotHolder bool
}

type heldLoanWire struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Cap    int64
	Rate   int64
	Back   int64
}

type loanRequestWire struct {
	_        struct{} `cbor:",toarray"`
	Team     string
	Domain   string
	Number   uint64
	WantRate int64
	Unmet    bool
	Held     []heldLoanWire
}

type loanWire struct {
	_        struct{} `cbor:",toarray"`
	Team     string
	Domain   string
	Number   uint64
	Epoch    int64
	Extended bool
	Cap      int64
	Rate     int64
	Tokens   int64
}

type recallWire struct {
	_      struct{} `cbor:",toarray"`
	Team   string
	Domain string
	Cap    int64
	Rate   int64
}

type sharesWire struct {
	_        struct{} `cbor:",toarray"`
	Slot     int
	Domain   string
	Version  int64
	PerMille int
}

func init() {
	register(kindAsk, askToWire, askFromWire)
	register(kindGrant, grantToWire, grantFromWire)
	register(kindLoanRequest, loanRequestToWire, loanRequestFromWire)
	register(kindLoan, loanToWire, loanFromWire)
	register(kindRecall, recallToWire, recallFromWire)
	register(kindSharesQuery, sharesQueryToWire, sharesQueryFromWire)
	register(kindSharesConfirm, sharesConfirmToWire, sharesConfirmFromWire)
}

func askToWire(m granter.Ask) askWire {
	w := askWire{
		Team: string(m.Team), Domain: string(m.Domain), Number: m.Number,
		Want: int64(m.Want), Demand: int64(m.Demand),
	}
	for _, r := range m.Returned {
		w.Returned = append(w.Returned, returnedWire{Number: r.Number, Unspent: int64(r.Unspent)})
	}
	return w
}

func askFromWire(w askWire) granter.Ask {
	m := granter.Ask{
		Team: identifier.Team(w.Team), Domain: identifier.FailureDomain(w.Domain), Number: w.Number,
		Want: identifier.Tokens(w.Want), Demand: identifier.Tokens(w.Demand),
	}
	for _, r := range w.Returned {
		m.Returned = append(m.Returned, granter.Returned{Number: r.Number, Unspent: identifier.Tokens(r.Unspent)})
	}
	return m
}

func grantToWire(m granter.Grant) grantWire {
	return grantWire{
		Team: string(m.Team), Domain: string(m.Domain), Number: m.Number, Epoch: int64(m.Epoch),
		Amount: int64(m.Amount), RetryIn: int64(m.RetryIn), NotHolder: m.NotHolder,
	}
}

func grantFromWire(w grantWire) granter.Grant {
	return granter.Grant{
		Team: identifier.Team(w.Team), Domain: identifier.FailureDomain(w.Domain), Number: w.Number,
		Epoch: identifier.Epoch(w.Epoch), Amount: identifier.Tokens(w.Amount),
		RetryIn: clock.Duration(w.RetryIn), NotHolder: w.NotHolder,
	}
}

func loanRequestToWire(m granter.LoanRequest) loanRequestWire {
	w := loanRequestWire{
		Team: string(m.Team), Domain: string(m.Domain), Number: m.Number, WantRate: int64(m.WantRate), Unmet: m.Unmet,
	}
	for _, h := range m.Held {
		w.Held = append(w.Held, heldLoanWire{
			Number: h.Number, Cap: int64(h.Cap), Rate: int64(h.Rate), Back: int64(h.Back),
		})
	}
	return w
}

func loanRequestFromWire(w loanRequestWire) granter.LoanRequest {
	m := granter.LoanRequest{
		Team: identifier.Team(w.Team), Domain: identifier.FailureDomain(w.Domain), Number: w.Number,
		WantRate: identifier.Tokens(w.WantRate), Unmet: w.Unmet,
	}
	for _, h := range w.Held {
		m.Held = append(m.Held, granter.HeldLoan{
			Number: h.Number, Cap: identifier.Tokens(h.Cap), Rate: identifier.Tokens(h.Rate),
			Back: identifier.Tokens(h.Back),
		})
	}
	return m
}

func loanToWire(m granter.Loan) loanWire {
	return loanWire{
		Team: string(m.Team), Domain: string(m.Domain), Number: m.Number, Epoch: int64(m.Epoch),
		Extended: m.Extended, Cap: int64(m.Cap), Rate: int64(m.Rate), Tokens: int64(m.Tokens),
	}
}

func loanFromWire(w loanWire) granter.Loan {
	return granter.Loan{
		Team: identifier.Team(w.Team), Domain: identifier.FailureDomain(w.Domain), Number: w.Number,
		Epoch: identifier.Epoch(w.Epoch), Extended: w.Extended, Cap: identifier.Tokens(w.Cap),
		Rate: identifier.Tokens(w.Rate), Tokens: identifier.Tokens(w.Tokens),
	}
}

func recallToWire(m granter.Recall) recallWire {
	return recallWire{Team: string(m.Team), Domain: string(m.Domain), Cap: int64(m.Cap), Rate: int64(m.Rate)}
}

func recallFromWire(w recallWire) granter.Recall {
	return granter.Recall{
		Team: identifier.Team(w.Team), Domain: identifier.FailureDomain(w.Domain),
		Cap: identifier.Tokens(w.Cap), Rate: identifier.Tokens(w.Rate),
	}
}

func sharesQueryToWire(m granter.SharesQuery) sharesWire {
	return sharesWire{Slot: m.Slot, Domain: string(m.Domain), Version: int64(m.Version), PerMille: m.PerMille}
}

func sharesQueryFromWire(w sharesWire) granter.SharesQuery {
	return granter.SharesQuery{
		Slot: w.Slot, Domain: identifier.FailureDomain(w.Domain), Version: identifier.Version(w.Version),
		PerMille: w.PerMille,
	}
}

func sharesConfirmToWire(m granter.SharesConfirm) sharesWire {
	return sharesQueryToWire(granter.SharesQuery{Slot: m.Slot, Domain: m.Domain, Version: m.Version})
}

func sharesConfirmFromWire(w sharesWire) granter.SharesConfirm {
	q := sharesQueryFromWire(w)
	return granter.SharesConfirm{Slot: q.Slot, Domain: q.Domain, Version: q.Version}
}
