// The terms hang together: a holder's view of each must end before everybody else's, whatever their clocks do.
// The slack takes care of clocks that run at different rates, and the margin of rounding to milliseconds.
//
// Example: with 8 s and a slack of 25 per mille the holder counts 7.8 s from its request, the witness 8 s from
// its answer. A clock that is 1% slow at the holder and 1% fast at the witness makes that 7.88 s and 7.92 s.

package claimer

import (
	"math/rand/v2"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Options fixes what a Claimer is for; a zero term takes its default.
type Options struct {
	Self   identifier.Node
	Domain identifier.FailureDomain
	// Names are the claims for which the members of the own domain are candidates.
	Names []Name
	// PromiseTerm is how long a witness keeps still after a promise.
	PromiseTerm clock.Duration
	// LongTerm is how long a holder may act after its last record on the log.
	LongTerm clock.Duration
	// WaitOut is the longest that anything granted by an old holder can still be used.
	WaitOut clock.Duration
	// SkipsWaitOut tells which names stand for nothing that outlives its holder's authority, so that a successor may act
	// at once; nil means none.
	SkipsWaitOut func(Name) bool
	// Margin is added to every wait for somebody else's term.
	Margin clock.Duration
	// AppendRetry is how long a record may stay unread before it is appended anew.
	AppendRetry clock.Duration
	// PauseBound is the gap between two ticks that counts as a pause of the process.
	PauseBound clock.Duration
	// SlackPerMille bounds how much faster one node's clock may run than another's.
	SlackPerMille int
	Rand          *rand.Rand
}

func (o *Options) setDefaults() {
	setDefault(&o.PromiseTerm, 8*clock.Second)
	setDefault(&o.LongTerm, clock.Hour)
	setDefault(&o.WaitOut, 3*clock.Second)
	setDefault(&o.Margin, 200*clock.Millisecond)
	setDefault(&o.AppendRetry, 2*clock.Second)
	setDefault(&o.PauseBound, o.PromiseTerm/2)
	setDefault(&o.SlackPerMille, 25)
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

func (o *Options) skipsWaitOut(n Name) bool { return o.SkipsWaitOut != nil && o.SkipsWaitOut(n) }

// shorten returns the part of a term that has certainly not ended on anybody else's clock.
func (o *Options) shorten(d clock.Duration) clock.Duration {
	return d - d*clock.Duration(o.SlackPerMille)/1000
}
