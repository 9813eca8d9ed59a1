// Every reader decides on a change from the order of the log alone, so that all readers agree. The first change made
// against a version of a subject is accepted, and each later one made against the same version is refused with a
// Conflict.
//
// Example: two operators read that the in-force pointer, which selects the preset in force, is at version 7, and both
// append SwitchPreset with Base 7. The first on the log becomes version 8; the second gets
// Conflict{Base: 7, Current: 8}.

package configurer

import (
	"fmt"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/definer"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// ChangeID is the UUID that identifies an operator's change on the log.
type ChangeID string

// Change holds the fields that all kinds of change have.
type Change struct {
	ID       ChangeID
	Operator string
	Wall     clock.Wall
	// Base is the version of the subject that the change was made against; 0 if the subject has no version yet.
	Base identifier.Version
}

// PublishPreset sets the content of a preset.
type PublishPreset struct {
	Change
	Preset definer.Preset
}

// SwitchPreset puts a preset in force.
type SwitchPreset struct {
	Change
	Preset identifier.Preset
}

// IssueKey makes a key valid.
type IssueKey struct {
	Change
	Key definer.Key
}

// WithdrawKey makes a key permanently invalid.
type WithdrawKey struct {
	Change
	Hash identifier.KeyHash
}

// SubjectKind is the kind of object that a change applies to.
type SubjectKind uint8

// The kinds of subject.
const (
	SubjectPreset SubjectKind = iota + 1
	SubjectInForce
	SubjectKey
)

// Subject is the object that one change applies to; the in-force pointer has no name.
type Subject struct {
	Kind SubjectKind
	Name string
}

// String returns the subject in the words that operators see.
func (s Subject) String() string {
	switch s.Kind {
	case SubjectPreset:
		return "preset " + s.Name
	case SubjectInForce:
		return "the preset in force"
	case SubjectKey:
		return "key " + s.Name
	}
	return "unknown subject " + s.Name
}

// Reason is why a change was refused.
type Reason uint8

// The reasons for refusing a change.
const (
	ReasonChanged Reason = iota + 1
	ReasonUnknownPreset
	ReasonUnknownKey
	ReasonWithdrawn
	ReasonInvalid
)

var reasonTexts = [...]string{
	ReasonChanged:       "it was changed meanwhile",
	ReasonUnknownPreset: "the preset was never published",
	ReasonUnknownKey:    "the key was never issued",
	ReasonWithdrawn:     "the key was withdrawn",
	ReasonInvalid:       "the change has no name or no id",
}

// String returns the reason as a clause for an error message.
func (r Reason) String() string {
	if r > 0 && int(r) < len(reasonTexts) {
		return reasonTexts[r]
	}
	return fmt.Sprintf("reason(%d)", uint8(r))
}

// Conflict reports a refused change.
type Conflict struct {
	Subject Subject
	Reason  Reason
	Base    identifier.Version
	Current identifier.Version
}

// Error names the subject, the reason, the version that the change was made against and the current one.
func (c Conflict) Error() string {
	return fmt.Sprintf("%s: %s (made against version %d, now at %d)", c.Subject, c.Reason, c.Base, c.Current)
}

// Outcome is the decision on one change: Version is set if it was accepted, Conflict if it was refused.
type Outcome struct {
	ID       ChangeID
	Version  identifier.Version
	Conflict *Conflict
}

// VersionedPreset is a preset with the version of its last change.
type VersionedPreset struct {
	Preset  *definer.Preset
	Version identifier.Version
}

// VersionedKey is a key with the version of its last change.
type VersionedKey struct {
	Key       definer.Key
	Version   identifier.Version
	Withdrawn bool
}

// Effect is an action that the caller of the Configurer must perform.
type Effect interface{ effect() }

// Send sends a message to another node; the message may be lost.
type Send struct {
	To      identifier.Node
	Message any
}

// ReadLog requests the log's records from an offset on; the caller reports the result with LogRead or LogFailed.
type ReadLog struct {
	From identifier.Offset
	// Asked is the time of the request; the caller returns it in the Batch.
	Asked clock.Time
}

// Append appends a record to the log; the result of the append is not reported back.
type Append struct {
	Record any
}

// Deliver passes on a record that is not a configuration change, in the log's order and exactly once.
type Deliver struct {
	Offset identifier.Offset
	Value  any
}

// Skipped reports that the records from From up to, but not including, To are no longer available.
type Skipped struct {
	From, To identifier.Offset
}

// Changed reports that the configuration has changed; running and queued calls must be checked again.
type Changed struct {
	Version   identifier.Version
	InForce   bool
	Withdrawn []identifier.KeyHash
}

func (Send) effect()    {}
func (ReadLog) effect() {}
func (Append) effect()  {}
func (Deliver) effect() {}
func (Skipped) effect() {}
func (Changed) effect() {}
