// Nodes send the log's tail to each other as raw bytes, so that a node of an older version also relays the records that
// it can't decode. A Hint costs a few bytes, and only nodes that are behind request the records themselves, so that
// each record's bytes reach each node about once.
//
// Example: A reads offset 41 and sends Hint{Next: 42}; B, whose next is 40, answers TailRequest{From: 40}
// and gets Tail{From: 40, Next: 42, …}.

package configurer

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Record is one record of the log in its encoded form.
type Record struct {
	Offset identifier.Offset
	Raw    []byte
}

// Batch is the log's answer to a read.
type Batch struct {
	// Earliest is the oldest offset that the log still keeps.
	Earliest identifier.Offset
	// Next is the offset that the log will assign to its next record.
	Next    identifier.Offset
	Records []Record
	// Asked is copied from the ReadLog that this batch answers.
	Asked clock.Time
}

// Hint carries the position up to which a node has read and the newest contact with the log that it knows of.
type Hint struct {
	Next    identifier.Offset
	Contact Contact
}

// TailRequest requests the records from an offset on.
type TailRequest struct {
	From identifier.Offset
	// State requests the whole configuration, because the sender can't build it from the records that it has.
	State bool
	// Skip allows the answer to begin after From, because the log can't be read.
	Skip bool
}

// Tail holds all records from From up to, but not including, Next.
type Tail struct {
	From, Next identifier.Offset
	Records    []Record
	// End is the position up to which the sender has read.
	End     identifier.Offset
	Contact Contact
}

// State is the whole configuration from a peer.
type State struct {
	Snapshot Snapshot
}

// Snapshot is the whole configuration after the record at Through; it is a record on the log or part of a State.
type Snapshot struct {
	Through        identifier.Offset
	Wall           clock.Wall
	Version        identifier.Version
	InForce        identifier.Preset
	InForceVersion identifier.Version
	Presets        []VersionedPreset
	Keys           []VersionedKey
	Outcomes       []Outcome
}
