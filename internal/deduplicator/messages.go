// Every message may be lost, doubled or late. Requests are repeated with the same attempt until they are
// answered, and the owner gives the same attempt the same answer.
//
// Example: BeginRequest{Attempt: {"n1", 7}} twice gives Run twice; {"n2", 3} for the same id, InProgress.

package deduplicator

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// BeginRequest asks the owner whether an attempt may run.
type BeginRequest struct {
	Claim       Claim
	Team        identifier.Team
	ID          identifier.Idempotency
	Fingerprint Fingerprint
	Attempt     Attempt
	// Asked is the entry's wall clock when the attempt was first asked for.
	Asked clock.Wall
}

// BeginAnswer is the owner's verdict on an attempt.
type BeginAnswer struct {
	Attempt Attempt
	Verdict Verdict
	Outcome *Outcome
	NotRun  bool
}

// FinishReport tells the owner how an attempt ended.
type FinishReport struct {
	Claim       Claim
	Team        identifier.Team
	ID          identifier.Idempotency
	Fingerprint Fingerprint
	Attempt     Attempt
	Outcome     Outcome
}

// AbandonReport tells the owner that an attempt has sent nothing and never will.
type AbandonReport struct {
	Claim   Claim
	Team    identifier.Team
	ID      identifier.Idempotency
	Attempt Attempt
}

// ReportAnswer tells that a report on an attempt was taken in.
type ReportAnswer struct {
	Attempt Attempt
}

// RecordState is what the owner knows of an id.
type RecordState uint8

// The states of a record.
const (
	StateRunning RecordState = iota + 1
	StateDone
	StateUnknown
	// StateAbandoned remembers the attempt that sent nothing, so that its late request gets no permit.
	StateAbandoned
)

// HandoverRecord is one id within a Handover.
type HandoverRecord struct {
	Team        identifier.Team
	ID          identifier.Idempotency
	Fingerprint Fingerprint
	Attempt     Attempt
	State       RecordState
	// Age is how long ago the attempt began.
	Age     clock.Duration
	Expires clock.Wall
	Outcome *Outcome
}

// Handover carries part of a claim's records to the next holder.
type Handover struct {
	Claim Claim
	// Epoch is the sender's; only the holder of the next one may use the records.
	Epoch       identifier.Epoch
	Part, Parts int
	Records     []HandoverRecord
	// UnknownUpTo, OpaqueUntil and High are the bounds of the sender's own knowledge.
	UnknownUpTo clock.Wall
	OpaqueUntil clock.Wall
	LatestWall  clock.Wall
	RefusedAt   clock.Wall
}

// HandoverAnswer tells that the parts of a handover have all arrived.
type HandoverAnswer struct {
	Claim Claim
	Epoch identifier.Epoch
}
