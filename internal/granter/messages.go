// The messages between granters. A right to call exists in one place at a time: the giver deducts it before sending,
// and the receiver counts the term from the sending of its own request. Each node numbers its requests and accepts
// only the answer to the latest, so late, repeated and reordered answers add nothing.
//
// Example: Ask{Number: 7, Want: 3000} is answered by Grant{Number: 7, Amount: 2000}. If the answer is lost, Ask 8
// contains Returned{Number: 7, Unspent: Unapplied}, and the bank takes the tokens of the two calls back.

package granter

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Unapplied as an amount means that the answer with this number was not used and will not be used.
const Unapplied identifier.Tokens = -1

// Ask is a purse's request for a slice; one with Want 0 only returns slices and is not answered.
type Ask struct {
	Team identifier.Team
	// Domain is the domain whose bank is asked.
	Domain identifier.FailureDomain
	Number uint64
	Want   identifier.Tokens
	// Demand is the team's demand at this node, in tokens a second.
	Demand   identifier.Tokens
	Returned []Returned
}

// Returned reports that the purse has stopped spending a slice, and the tokens left of it.
type Returned struct {
	Number  uint64
	Unspent identifier.Tokens
}

// Grant answers an Ask.
type Grant struct {
	Team   identifier.Team
	Domain identifier.FailureDomain
	Number uint64
	Epoch  identifier.Epoch
	Amount identifier.Tokens
	// RetryIn is how long the purse should wait before the next request if it got less than it asked for.
	RetryIn clock.Duration
	// NotHolder is set if the node that was asked has no authority over the bank.
	NotHolder bool
}

// LoanRequest is a bank's request for rate and burst from another domain's bank; it also reports the loans held.
type LoanRequest struct {
	Team   identifier.Team
	Domain identifier.FailureDomain
	Number uint64
	// WantRate is the rate missing, in tokens a second; 0 asks for nothing and is not answered.
	WantRate identifier.Tokens
	// Unmet is set if requests of purses could not be fully met just now.
	Unmet bool
	Held  []HeldLoan
}

// HeldLoan is the part of a loan that the borrower still holds; Back is the sum of the tokens that it has returned.
type HeldLoan struct {
	Number uint64
	Cap    identifier.Tokens
	Rate   identifier.Tokens
	Back   identifier.Tokens
}

// Loan answers a LoanRequest: it may extend the loans held, and may start a further one.
type Loan struct {
	Team     identifier.Team
	Domain   identifier.FailureDomain
	Number   uint64
	Epoch    identifier.Epoch
	Extended bool
	Cap      identifier.Tokens
	Rate     identifier.Tokens
	Tokens   identifier.Tokens
}

// Recall asks a borrower to hold no more than this cap and rate in all its loans from the sender.
type Recall struct {
	Team   identifier.Team
	Domain identifier.FailureDomain
	Cap    identifier.Tokens
	Rate   identifier.Tokens
}

// SharesQuery asks another domain's holder to confirm that it uses no more than the given share.
type SharesQuery struct {
	Slot    int
	Domain  identifier.FailureDomain
	Version identifier.Version
	// PerMille is the share of the domain asked.
	PerMille int
}

// SharesConfirm confirms a SharesQuery; there is no negative answer.
type SharesConfirm struct {
	Slot    int
	Domain  identifier.FailureDomain
	Version identifier.Version
}

// Paid identifies the slice that paid for a call.
type Paid struct {
	Holder identifier.Node
	Domain identifier.FailureDomain
	Epoch  identifier.Epoch
	Slice  uint64
}

// Verdict is the kind of a Decision.
type Verdict uint8

// The verdicts on a call.
const (
	// Spent means that a token was spent and the call may proceed.
	Spent Verdict = iota + 1
	// Wait means that the call is parked until a Resume or Refuse effect names it.
	Wait
	// Refused means that the call is rejected.
	Refused
)

// Decision is the result of Spend.
type Decision struct {
	Verdict    Verdict
	Paid       Paid
	RetryAfter clock.Duration
	// Cause is why a refused call got no token.
	Cause Cause
}

// Call identifies a parked call.
type Call uint64

// Effect is an action that the caller of this package must carry out.
type Effect interface{ effect() }

// Send asks the caller to send a message to another node.
type Send struct {
	To      identifier.Node
	Message any
}

// Resume lets a parked call proceed.
type Resume struct {
	Call Call
	Paid Paid
}

// Refuse rejects a parked call.
type Refuse struct {
	Call       Call
	RetryAfter clock.Duration
	Cause      Cause
}

func (Send) effect()   {}
func (Resume) effect() {}
func (Refuse) effect() {}
