// The log's tail travels between nodes as raw bytes, so that a node of an older version passes on also the
// records that it can't read. A Hint costs a few bytes and only those who are behind ask for the records
// themselves, so that each record's bytes reach each node about once.
//
// Example: A reads offset 41 and sends Hint{Next: 42}; B, whose next is 40, answers TailRequest{From: 40}
// and gets Tail{From: 40, Next: 42, …}.

package configurer

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Record is one record of the log as its bytes.
type Record struct {
	Offset identifier.Offset
	Raw    []byte
}

// Batch is the log's answer to a read.
type Batch struct {
	// Earliest is the oldest offset that the log still has.
	Earliest identifier.Offset
	// Next is the offset that the log will give to its next record.
	Next    identifier.Offset
	Records []Record
	// Asked is the moment in the ReadLog that this answers.
	Asked clock.Time
}

// Hint tells how far a node has read, and the newest contact with the log that it knows of.
type Hint struct {
	Next    identifier.Offset
	Contact Contact
}

// TailRequest asks for the records from an offset on.
type TailRequest struct {
	From identifier.Offset
	// State asks for the whole configuration, as the sender can't fold its own.
	State bool
	// Skip allows the answer to begin later than From, as the log can't be read.
	Skip bool
}

// Tail holds all the records from From up to, not including, Next.
type Tail struct {
	From, Next identifier.Offset
	Records    []Record
	// End is how far the sender has read.
	End     identifier.Offset
	Contact Contact
}

// State is the whole configuration from a peer.
type State struct {
	Snapshot Snapshot
}

// Snapshot is the whole configuration after the record at Through, as a record on the log or in a State.
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
