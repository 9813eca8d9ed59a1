// Changes are judged by every reader alike, from the log's order alone: the first change made against a
// version of a subject wins, and each later one made against the same version is refused with a Conflict.
//
// Example: two operators read that the in-force pointer is at version 7, and both append SwitchPreset with
// Base 7. The first on the log becomes version 8; the second gets Conflict{Base: 7, Current: 8}.

package configurer

import (
	"fmt"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/definer"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// ChangeID is the UUID under which an operator's change is looked for on the log.
type ChangeID string

// Change is what all changes have in common.
type Change struct {
	ID       ChangeID
	Operator string
	Wall     clock.Wall
	// Base is the version of the subject that the change was made against; 0 where there is none yet.
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

// WithdrawKey ends a key for good.
type WithdrawKey struct {
	Change
	Hash identifier.KeyHash
}

// SubjectKind tells what a change is about.
type SubjectKind uint8

// The kinds of subject.
const (
	SubjectPreset SubjectKind = iota + 1
	SubjectInForce
	SubjectKey
)

// Subject is what one change is about; the in-force pointer has no name.
type Subject struct {
	Kind SubjectKind
	Name string
}

// String names the subject as operators know it.
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

// Reason tells why a change was refused.
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

// String says the reason in words.
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

// Error names the subject, the version wanted and the current one.
func (c Conflict) Error() string {
	return fmt.Sprintf("%s: %s (made against version %d, now at %d)", c.Subject, c.Reason, c.Base, c.Current)
}

// Outcome is the judgement on one change: Version where it was accepted, else Conflict.
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

// Effect is something that the caller has to do.
type Effect interface{ effect() }

// Send passes a message to another node; it may get lost.
type Send struct {
	To      identifier.Node
	Message any
}

// ReadLog asks for the log's records from an offset on; answer by LogRead or LogFailed.
type ReadLog struct {
	From identifier.Offset
	// Asked goes back in the Batch.
	Asked clock.Time
}

// Append puts a record on the log; its answer doesn't matter.
type Append struct {
	Record any
}

// Deliver hands over a record of another matter, in the log's order and once.
type Deliver struct {
	Offset identifier.Offset
	Value  any
}

// Skipped tells that the records From up to, not including, To can't be had any more.
type Skipped struct {
	From, To identifier.Offset
}

// Changed tells that the configuration has changed; open and queued calls must be checked again.
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
