// A verdict states only what the owner knows. Run is given to one attempt only; if the owner can't exclude that the
// request has run, the verdict is Unknown or Expired, and the request is not run.
//
// Example: the entry of a retried booking gets Done with the outcome of the first attempt and replays it.

package deduplicator

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// CallID identifies a call that waits for a verdict.
type CallID uint64

// Fingerprint is a hash of what the request asks for.
type Fingerprint uint64

// Attempt identifies one attempt to run an id: the entry node and a number assigned by it.
type Attempt struct {
	Node   identifier.Node
	Number uint64
}

// Verdict is the owner's answer to an attempt to begin.
type Verdict uint8

// The verdicts.
const (
	// Run allows this attempt, and no other, to send the request.
	Run Verdict = iota + 1
	// InProgress means that another attempt was allowed to run and hasn't ended.
	InProgress
	// Done means that the request has run; the outcome is included.
	Done
	// Unknown means that the request may have run.
	Unknown
	// Expired means that the id is older than the window; the request may have run.
	Expired
	// Mismatch means that the id was used for another request.
	Mismatch
	// FromFuture means that the id's time is too far ahead of the owner's clock.
	FromFuture
	// Full means that the owner has no room for the record of another id.
	Full
	// Moving means that the claim is being handed over and the entry should ask again.
	Moving
	// NotOwner means that the node asked doesn't hold the claim and the entry should ask again.
	NotOwner
)

var verdictNames = [...]string{
	Run: "run", InProgress: "inProgress", Done: "done", Unknown: "outcomeUnknown", Expired: "expired",
	Mismatch: "mismatch", FromFuture: "fromFuture", Full: "full", Moving: "moving", NotOwner: "notOwner",
}

// String returns the verdict's name in refusals and in the dump.
func (v Verdict) String() string {
	if v > 0 && int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "unreachable"
}

// Header is one header field of an answer.
type Header struct {
	Name, Value string
}

// Outcome is how a request ended.
type Outcome struct {
	// Unknown is set if the request was sent and its end wasn't observed.
	Unknown bool
	Status  int
	Headers []Header
	Body    []byte
	// BodyDropped is set if the body was larger than MaxBody or was dropped to free memory.
	BodyDropped bool
}

// MaxBody is the largest body kept with an outcome.
const MaxBody = 64 << 10

// Hold describes the owner's hold on a claim at the time of use.
type Hold struct {
	Claim Claim
	Epoch identifier.Epoch
	// SinceEpoch is the first of the epochs that the owner has held without interruption; 0 means Epoch.
	SinceEpoch identifier.Epoch
	// Gained is the owner's wall clock when it gained the claim.
	Gained clock.Wall
	// FirstHolder is set if no other node can have held the claim before.
	FirstHolder bool
}

// beginEpoch returns the epoch in which the unbroken hold began.
func (h Hold) beginEpoch() identifier.Epoch {
	if h.SinceEpoch == 0 {
		return h.Epoch
	}
	return h.SinceEpoch
}

// Judgement is a Verdict with its outcome, if any.
type Judgement struct {
	Verdict Verdict
	Outcome *Outcome
	// NotRun is set if no attempt with this id has run, and none that was asked for until now will run.
	NotRun bool
}

// Effect is an action that the caller of this package must carry out.
type Effect interface{ effect() }

// Send asks the caller to send a message to the current holder of a claim, or to the node To if that is set.
type Send struct {
	To      identifier.Node
	Claim   Claim
	Message any
}

// Permit allows the call to be sent once.
type Permit struct {
	Call CallID
}

// Replay ends the call with a recorded outcome.
type Replay struct {
	Call    CallID
	Outcome *Outcome
}

// Refuse ends the call without sending it.
type Refuse struct {
	Call CallID
	// Verdict is the reason; zero if no owner answered.
	Verdict Verdict
	// NotRun is set if no attempt with this id has run, and none that was asked for until now will run. If it is not
	// set, only this attempt is known not to have run; another one of the same id may have run, or may yet run.
	NotRun     bool
	RetryAfter clock.Duration
}

func (Send) effect()   {}
func (Permit) effect() {}
func (Replay) effect() {}
func (Refuse) effect() {}
