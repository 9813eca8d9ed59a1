// The verdicts say no more than what the owner knows. "Run" is given to one attempt only; all that can't be
// told apart from "may have run" is Unknown or Expired, which lead to no run.
//
// Example: the entry of a retried booking gets Done with the outcome of the first attempt and replays it.

package deduplicator

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// CallID is the caller's handle of a call that waits for a verdict.
type CallID uint64

// Fingerprint is a hash of what the request asks for.
type Fingerprint uint64

// Attempt names one attempt to run an id: the entry node and a number of its own.
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
	// InProgress tells that another attempt was allowed to run and hasn't ended.
	InProgress
	// Done tells that the request has run; the outcome comes with it.
	Done
	// Unknown tells that the request may have run.
	Unknown
	// Expired tells that the id is too old for anyone to know; it may have run.
	Expired
	// Mismatch tells that the id was used for another request.
	Mismatch
	// FromFuture tells that the id's time is ahead of the owner's clock.
	FromFuture
	// Full tells that the owner can't remember more ids.
	Full
	// Moving tells that the claim is being handed over; ask again.
	Moving
	// NotOwner tells that the node asked doesn't hold the claim; ask again.
	NotOwner
)

var verdictNames = [...]string{
	Run: "run", InProgress: "inProgress", Done: "done", Unknown: "outcomeUnknown", Expired: "expired",
	Mismatch: "mismatch", FromFuture: "fromFuture", Full: "full", Moving: "moving", NotOwner: "notOwner",
}

// String names the verdict as refusals and the dump do.
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
	// Unknown tells that the request was sent and its end wasn't seen.
	Unknown bool
	Status  int
	Headers []Header
	Body    []byte
	// BodyDropped tells that the body was too large to keep, or had to give way.
	BodyDropped bool
}

// MaxBody is the largest body kept with an outcome.
const MaxBody = 64 << 10

// Hold is the owner's hold on a claim at the moment of use.
type Hold struct {
	Claim Claim
	Epoch identifier.Epoch
	// SinceEpoch is the first of the epochs that the owner has held without a break; 0 stands for Epoch.
	SinceEpoch identifier.Epoch
	// Gained is the owner's wall clock when it gained the claim.
	Gained clock.Wall
	// FirstHolder tells that nobody can have held the claim before.
	FirstHolder bool
}

// beginEpoch is the epoch in which the unbroken hold began.
func (h Hold) beginEpoch() identifier.Epoch {
	if h.SinceEpoch == 0 {
		return h.Epoch
	}
	return h.SinceEpoch
}

// Judgement is a Verdict with what belongs to it.
type Judgement struct {
	Verdict Verdict
	Outcome *Outcome
	// NotRun tells that no attempt with this id has run, and none that was asked for until now will.
	NotRun bool
}

// Effect is something that the caller has to do.
type Effect interface{ effect() }

// Send passes a message to the present holder of a claim, or, where To is set, to that node.
type Send struct {
	To      identifier.Node
	Claim   Claim
	Message any
}

// Permit allows the call to be sent, once.
type Permit struct {
	Call CallID
}

// Replay ends the call with a recorded outcome.
type Replay struct {
	Call    CallID
	Outcome *Outcome
}

// Refuse ends the call without sending anything.
type Refuse struct {
	Call CallID
	// Verdict is the reason; zero where no owner could be asked.
	Verdict Verdict
	// NotRun tells that no attempt with this id has run, and none that was asked for until now will. Without it
	// only this attempt is known not to have run; another one of the same id may have, or may yet.
	NotRun     bool
	RetryAfter clock.Duration
}

func (Send) effect()   {}
func (Permit) effect() {}
func (Replay) effect() {}
func (Refuse) effect() {}
