// Every message may be lost, duplicated or delayed. Requests are repeated with the same attempt until they are
// answered, and the owner gives the same attempt the same answer.
//
// Example: BeginRequest{Attempt: {"n1", 7}} sent twice gets Run twice; {"n2", 3} for the same id gets InProgress.

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
	// Asked is the entry's wall clock when it first sent the request for this attempt.
	Asked clock.Wall
}

// BeginAnswer is the owner's verdict on an attempt.
type BeginAnswer struct {
	Attempt Attempt
	Verdict Verdict
	Outcome *Outcome
	NotRun  bool
}

// FinishReport reports to the owner how an attempt ended.
type FinishReport struct {
	Claim       Claim
	Team        identifier.Team
	ID          identifier.Idempotency
	Fingerprint Fingerprint
	Attempt     Attempt
	Outcome     Outcome
}

// AbandonReport reports to the owner that an attempt has sent nothing and never will.
type AbandonReport struct {
	Claim   Claim
	Team    identifier.Team
	ID      identifier.Idempotency
	Attempt Attempt
}

// ReportAnswer acknowledges a report on an attempt.
type ReportAnswer struct {
	Attempt Attempt
}

// RecordState is the state of an id's record at its owner.
type RecordState uint8

// The states of a record.
const (
	StateRunning RecordState = iota + 1
	StateDone
	StateUnknown
	// StateAbandoned keeps the attempt that sent nothing, so that a delayed request of it gets no permit.
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
	// Epoch is the sender's epoch; only the holder of the next epoch may use the records.
	Epoch       identifier.Epoch
	Part, Parts int
	Records     []HandoverRecord
	// UnknownUpTo, OpaqueUntil, LatestWall and RefusedAt are the sender's values of the fields of its heldClaim.
	UnknownUpTo clock.Wall
	OpaqueUntil clock.Wall
	LatestWall  clock.Wall
	RefusedAt   clock.Wall
}

// HandoverAnswer reports that all parts of a handover have arrived.
type HandoverAnswer struct {
	Claim Claim
	Epoch identifier.Epoch
}
