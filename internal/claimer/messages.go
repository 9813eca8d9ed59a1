// Messages between claimers, and records on the log. A record contains the node that appended it and an attempt
// number, since the answer to an append can be lost: only reading its own attempt back shows a node that the append
// took effect.
//
// Example: node a appends Claim{Name: "ids/3", Kind: Found, Epoch: 1, Holder: a, Witness: b}; when a stops renewing
// b's promise, b appends Claim{Name: "ids/3", Kind: Takeover, Epoch: 2, Holder: b, Witness: c}.

package claimer

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Name is the name of a claim, for which one node at a time may act, such as "rates/alfa/2" or "ids/7".
type Name string

// Kind is the right by which a record was appended.
type Kind uint8

// The rights to append a record.
const (
	// Found founds a claim: the appending node has read no record of the name.
	Found Kind = iota + 1
	// Renew repeats the current epoch, so that the log doesn't drop its last record and other nodes don't seize the
	// claim.
	Renew
	// Takeover is appended by the witness after its promise to the holder has expired.
	Takeover
	// Continuation is appended by the holder to name a new witness.
	Continuation
	// Handover is appended by a leaving holder and names its successor.
	Handover
	// Seizure is appended by any candidate after the long term without a record.
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
	// By is the node that appended the record, and Attempt is that node's number of the append.
	By      identifier.Node
	Attempt uint64
	// In a Seizure, After is the offset of the last effective record of the name that By had read.
	After identifier.Offset
	// In a Found record, Start is the first offset that By could read.
	Start identifier.Offset
	// In a Handover, Outstanding is how long anything granted by the old holder can still be used.
	Outstanding clock.Duration
}

// PromiseRequest asks a witness not to take the claim over for the promise term.
type PromiseRequest struct {
	Name   Name
	Epoch  identifier.Epoch
	Number uint64
	// Leaving notifies the receiver that the holder is about to hand the claim over to it.
	Leaving bool
}

// Promise answers a PromiseRequest.
type Promise struct {
	Name   Name
	Epoch  identifier.Epoch
	Number uint64
	// Given is false if the witness has read a newer epoch, or has already tried to append a Takeover.
	Given bool
}

// Effect is an action that the caller of this package must carry out.
type Effect interface{ effect() }

// Append asks the caller to append a record to the platform's log.
type Append struct{ Record Claim }

// Send asks the caller to send a PromiseRequest or a Promise to another node.
type Send struct {
	To      identifier.Node
	Message any
}

// Gained reports that this node may act under an epoch; a Continuation is reported as a further Gained.
type Gained struct {
	Name  Name
	Epoch identifier.Epoch
}

// Lost reports that another node holds the claim now, or that this node has stopped acting in order to hand it over.
type Lost struct{ Name Name }

// Lapsed reports that a lease of this holder has ended: it may not act until the lease is renewed, although the log
// still names it as the holder.
type Lapsed struct {
	Name  Name
	Epoch identifier.Epoch
	Lease Lease
	// Since is how long ago the last request was sent whose answer would have renewed the lease.
	Since clock.Duration
}

// Lease is one of the leases that a holder needs.
type Lease string

// The leases of a holder.
const (
	// WitnessLease is the promise of the witness.
	WitnessLease Lease = "witness"
	// NextWitnessLease is the promise of the witness that a record not yet read back names.
	NextWitnessLease Lease = "nextWitness"
	// RecordLease is the long term since the holder's last record.
	RecordLease Lease = "record"
)

func (Append) effect() {}
func (Send) effect()   {}
func (Gained) effect() {}
func (Lost) effect()   {}
func (Lapsed) effect() {}
