// The terms and bounds of slices and loans. Slices are short, so that little is lost when a node fails and a
// successor waits only briefly; loans are longer, since a loan must outlast the slices granted from it.
//
// Example: with a slice term of 500 ms and a loan term of 2 s a borrower grants from a loan for 1.45 s unless it is
// extended, and a successor of a bank waits 3 s until everything that the previous holder may have granted or lent
// has ended.

package granter

import (
	"fmt"

	"github.com/zeebo/xxh3"

	"github.com/jackdawtide/jackdawtide/internal/claimer"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Authority reports whether this node may act for a claim at the given time, and under which epoch.
type Authority interface {
	Holds(n claimer.Name, now clock.Time) (identifier.Epoch, bool)
}

// Options configures a Granter; a zero term or bound takes its default.
type Options struct {
	Self   identifier.Node
	Domain identifier.FailureDomain
	// Slots is the number of rate claims of each domain; it must be the same at all nodes.
	Slots     int
	Authority Authority
	// SliceTerm is how long a slice may be outstanding.
	SliceTerm clock.Duration
	// LoanTerm is how long a loan may be outstanding unless it is extended.
	LoanTerm clock.Duration
	// WaitBound is the longest time that a call is parked.
	WaitBound clock.Duration
	// Lookahead is the time whose expected demand a purse keeps in tokens.
	Lookahead clock.Duration
	// RenewBefore is how long before its end a purse returns a slice and requests a new one.
	RenewBefore clock.Duration
	// AnswerBound is how long a purse waits for a grant before it asks again.
	AnswerBound clock.Duration
	// ShareTerm is how long an increased share waits for confirmation by the other domains. After the claimer's long
	// term their holders have stopped or have read of the change.
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

// ClaimName returns the name of the claim whose holder keeps the bank of a slot in a failure domain.
func ClaimName(d identifier.FailureDomain, slot int) claimer.Name {
	return claimer.Name(fmt.Sprintf("rates/%s/%d", d, slot))
}

// SlotOf returns the slot to which a team belongs.
func SlotOf(t identifier.Team, slots int) int {
	return int(xxh3.HashString(string(t)) % uint64(slots))
}
