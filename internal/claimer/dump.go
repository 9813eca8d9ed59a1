// The dump shows an operator the state of claims, for instance when one seems stuck: its holder, the record behind
// it, and when the promises end.
//
// Example: a state {Name: "ids/3", Epoch: 2, Holder: "b", PromiseUntil: 27800} at 27 s means that the promise lasts
// for another 0.8 s.

package claimer

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// State is this node's view of one claim.
type State struct {
	Name    Name
	Known   bool
	Epoch   identifier.Epoch
	Holder  identifier.Node
	Witness identifier.Node
	Offset  identifier.Offset
	// Authority is set if this node may act for the name now.
	Authority bool
	// PromiseUntil, RecordUntil and ActFrom bound the authority of this node as the holder.
	PromiseUntil clock.Time
	RecordUntil  clock.Time
	ActFrom      clock.Time
	// PromisedUntil is the end of this node's promise as the witness.
	PromisedUntil clock.Time
}

// Dump returns the state of all claims by name.
func (c *Claimer) Dump(now clock.Time) []State {
	states := make([]State, 0, len(c.claims))
	for _, l := range c.claims {
		states = append(states, State{
			Name: l.name, Known: l.known, Epoch: l.epoch, Holder: l.holder, Witness: l.witness,
			Offset: l.lastOffset, Authority: c.authority(l, now), PromiseUntil: l.promise.until,
			RecordUntil: l.recordUntil, ActFrom: l.actFrom, PromisedUntil: l.promisedUntil,
		})
	}
	return states
}
