// The terms and bounds of the rates. Slices are short, so that little is lost with a node and a successor needs to
// wait little; loans are longer than slices, since a loan must outlast the slices granted from it.
//
// Example: with a slice term of 500 ms and a loan term of 2 s a borrower grants from a loan for 1.45 s unless it
// is extended, and a successor of a bank waits 3 s for all that the old holder may have given away.

package granter

import (
	"fmt"

	"github.com/zeebo/xxh3"

	"github.com/jackdawtide/jackdawtide/internal/claimer"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Authority tells whether this node may act for a claim at the moment of asking.
type Authority interface {
	Holds(n claimer.Name, now clock.Time) (identifier.Epoch, bool)
}

// Options fixes what a Granter is for; a zero term takes its default.
type Options struct {
	Self   identifier.Node
	Domain identifier.FailureDomain
	// Slots is the number of rate claims of each domain, the same everywhere.
	Slots     int
	Authority Authority
	// SliceTerm is how long a slice may be outstanding.
	SliceTerm clock.Duration
	// LoanTerm is how long a loan may be outstanding unless extended.
	LoanTerm clock.Duration
	// WaitBound is the longest that a call is parked.
	WaitBound clock.Duration
	// Lookahead is the demand that a purse keeps in store.
	Lookahead clock.Duration
	// RenewBefore is how long before its end a purse returns a slice for a new one.
	RenewBefore clock.Duration
	// AnswerBound is how long a purse waits for a grant before it asks anew.
	AnswerBound clock.Duration
	// ShareTerm is when a grown share comes into force without confirmation by the domains whose shares shrank:
	// after the claimer's long term their holders have stopped or read of the change.
	ShareTerm clock.Duration
	// SlackPerMille bounds how much faster one node's clock may run than another's.
	SlackPerMille int
	// MaxWaiters bounds the calls parked for one team.
	MaxWaiters int
}

func (o *Options) setDefaults() {
	setDefault(&o.Slots, 4)
	setDefault(&o.SliceTerm, 500*clock.Millisecond)
	setDefault(&o.LoanTerm, 2*clock.Second)
	setDefault(&o.WaitBound, 100*clock.Millisecond)
	setDefault(&o.Lookahead, 100*clock.Millisecond)
	setDefault(&o.RenewBefore, 100*clock.Millisecond)
	setDefault(&o.AnswerBound, 100*clock.Millisecond)
	setDefault(&o.ShareTerm, clock.Hour+10*clock.Second)
	setDefault(&o.SlackPerMille, 25)
	setDefault(&o.MaxWaiters, 64)
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

func (o *Options) shorten(d clock.Duration) clock.Duration {
	return d - d*clock.Duration(o.SlackPerMille)/1000
}

// ClaimName is the claim whose holder keeps the bank of a slot in a failure domain.
func ClaimName(d identifier.FailureDomain, slot int) claimer.Name {
	return claimer.Name(fmt.Sprintf("rates/%s/%d", d, slot))
}

// SlotOf returns the slot to which a team belongs.
func SlotOf(t identifier.Team, slots int) int {
	return int(xxh3.HashString(string(t)) % uint64(slots))
}
