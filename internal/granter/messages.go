// What passes between granters. A right to call exists in one place at a time: whoever gives deducts first, and
// whoever takes counts the term from the sending of its own request. Each node numbers its requests and takes only
// the answer to its latest, so late, repeated and crossed answers add nothing.
//
// Example: Ask{Number: 7, Want: 3000} is answered by Grant{Number: 7, Amount: 2000}. If the answer is lost, Ask 8
// says Returned{Number: 7, Unspent: Unapplied}, and the bank takes the two calls back.

package granter

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Unapplied is an amount that says that the answer with this number was not and will not be used.
const Unapplied identifier.Tokens = -1

// Ask is a purse's request for a slice; one with Want 0 only returns slices and is not answered.
type Ask struct {
	Team identifier.Team
	// Domain is the domain whose bank is asked.
	Domain identifier.FailureDomain
	Number uint64
	Want   identifier.Tokens
	// Demand is what the team offers at this node, in tokens a second.
	Demand   identifier.Tokens
	Returned []Returned
}

// Returned ends a slice: the purse has stopped spending it.
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
	// RetryIn is when the purse should ask again if it got nothing.
	RetryIn clock.Duration
	// NotHolder tells that the node asked has no authority.
	NotHolder bool
}

// LoanRequest is a bank's request for rate and burst of another domain's bank; it also reports what is held.
type LoanRequest struct {
	Team   identifier.Team
	Domain identifier.FailureDomain
	Number uint64
	// WantRate is the rate missing, in tokens a second; 0 asks for nothing and is not answered.
	WantRate identifier.Tokens
	// Unmet tells that purses found too little just now.
	Unmet bool
	Held  []HeldLoan
}

// HeldLoan is what the borrower still has of a loan; Back is what it has given back of its tokens in all.
type HeldLoan struct {
	Number uint64
	Cap    identifier.Tokens
	Rate   identifier.Tokens
	Back   identifier.Tokens
}

// Loan answers a LoanRequest: the loans held are extended or not, and a further one may begin.
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

// Recall asks a borrower to keep no more than this of all loans from the sender.
type Recall struct {
	Team   identifier.Team
	Domain identifier.FailureDomain
	Cap    identifier.Tokens
	Rate   identifier.Tokens
}

// SharesQuery asks another domain's holder whether it uses no more than its share in this version.
type SharesQuery struct {
	Slot    int
	Domain  identifier.FailureDomain
	Version identifier.Version
	// PerMille is the share of the domain asked.
	PerMille int
}

// SharesConfirm answers a SharesQuery with yes.
type SharesConfirm struct {
	Slot    int
	Domain  identifier.FailureDomain
	Version identifier.Version
}

// Paid says which slice paid for a call.
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
	// Spent lets the call go on.
	Spent Verdict = iota + 1
	// Wait parks the call until a Resume or a Refuse effect names it.
	Wait
	// Refused turns the call away.
	Refused
)

// Decision answers Spend.
type Decision struct {
	Verdict    Verdict
	Paid       Paid
	RetryAfter clock.Duration
}

// Call names a parked call.
type Call uint64

// Effect is something for the caller to carry out.
type Effect interface{ effect() }

// Send passes a message to another node.
type Send struct {
	To      identifier.Node
	Message any
}

// Resume lets a parked call go on.
type Resume struct {
	Call Call
	Paid Paid
}

// Refuse turns a parked call away.
type Refuse struct {
	Call       Call
	RetryAfter clock.Duration
}

func (Send) effect()   {}
func (Resume) effect() {}
func (Refuse) effect() {}
