// What passes between claimers and onto the log. A record carries who appended it and an attempt number, since
// the answer to an append can be lost: only reading one's own attempt back tells that it took effect.
//
// Example: node a founds Claim{Name: "ids/3", Kind: Found, Epoch: 1, Holder: a, Witness: b}; when a falls silent,
// b appends Claim{Name: "ids/3", Kind: Takeover, Epoch: 2, Holder: b, Witness: c}.

package claimer

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Name names something that one node at a time may act for, such as "rates/alfa/2" or "ids/7".
type Name string

// Kind tells by which right a record was appended.
type Kind uint8

// The rights to append a record.
const (
	// Found claims a name of which the log has no record.
	Found Kind = iota + 1
	// Renew repeats the current epoch, so that neither the log nor other nodes forget it.
	Renew
	// Takeover is the witness's, after its promise to the holder has ended.
	Takeover
	// Continuation is the holder's, with a new witness.
	Continuation
	// Handover is the holder's when it leaves: it names its successor.
	Handover
	// Seizure is any node's, after the long term without a record.
	Seizure
)

var kindNames = [...]string{"none", "found", "renew", "takeover", "continuation", "handover", "seizure"}

// String returns the name of the kind.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unknown"
}

// Claim is the record by which an epoch of a claim begins or is renewed.
type Claim struct {
	Name    Name
	Kind    Kind
	Epoch   identifier.Epoch
	Holder  identifier.Node
	Witness identifier.Node
	// By is the node that appended the record, Attempt its count of appends.
	By      identifier.Node
	Attempt uint64
	// After is, in a seizure, the offset of the last record of the name that By had read.
	After identifier.Offset
	// Start is, in a founding, the first offset that By could read.
	Start identifier.Offset
	// Outstanding is, in a handover, how long anything granted by the old holder can still be used.
	Outstanding clock.Duration
}

// PromiseRequest asks a witness not to take the claim over for the promise term.
type PromiseRequest struct {
	Name   Name
	Epoch  identifier.Epoch
	Number uint64
	// Leaving gives notice that the holder is about to hand over to the node it asks.
	Leaving bool
}

// Promise answers a PromiseRequest.
type Promise struct {
	Name   Name
	Epoch  identifier.Epoch
	Number uint64
	// Given is false when the witness has read of a newer epoch, or has already set out to take over.
	Given bool
}

// Effect is something for the caller to carry out.
type Effect interface{ effect() }

// Append puts a record on the platform's log.
type Append struct{ Record Claim }

// Send passes a PromiseRequest or a Promise to another node.
type Send struct {
	To      identifier.Node
	Message any
}

// Gained tells that this node may act under an epoch; a continuation is told as a further Gained.
type Gained struct {
	Name  Name
	Epoch identifier.Epoch
}

// Lost tells that another node holds the claim now, or that this node has stopped in order to hand it over.
type Lost struct{ Name Name }

func (Append) effect() {}
func (Send) effect()   {}
func (Gained) effect() {}
func (Lost) effect()   {}
