// The terms depend on one another: each must end for the holder before it ends for all other nodes, whatever their
// clocks do. The slack covers clocks that run at different rates, and the margin covers rounding to milliseconds.
//
// Example: with a term of 8 s and a slack of 25 per mille the holder counts 7.8 s from its request, the witness 8 s
// from its answer. In true time that is 7.88 s for a holder's clock that is 1% slow, and 7.92 s for a witness's clock
// that is 1% fast.

package claimer

import (
	"math/rand/v2"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Options configures a Claimer; a zero term takes its default.
type Options struct {
	Self   identifier.Node
	Domain identifier.FailureDomain
	// Names are the claims for which the members of this node's domain are candidates.
	Names []Name
	// PromiseTerm is how long a witness doesn't take the claim over after a promise.
	PromiseTerm clock.Duration
	// LongTerm is how long a holder may act after its last record on the log.
	LongTerm clock.Duration
	// WaitOut is the longest time that anything granted by a previous holder can still be used.
	WaitOut clock.Duration
	// SkipsWaitOut reports whether nothing granted under a name outlives its holder's authority, so that a successor
	// may act without WaitOut; nil means that there is no such name.
	SkipsWaitOut func(Name) bool
	// Margin is added to every wait for the end of another node's term.
	Margin clock.Duration
	// AppendRetry is how long a record that has not been read back is waited for before it is appended again.
	AppendRetry clock.Duration
	// PauseBound is the gap between two ticks above which the process counts as paused.
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

// shorten returns the part of a term that has certainly not ended on any other node's clock.
func (o *Options) shorten(d clock.Duration) clock.Duration {
	return d - d*clock.Duration(o.SlackPerMille)/1000
}
