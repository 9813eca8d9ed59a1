// The owner's side of the messages. A node that doesn't hold the claim answers NotOwner, and the entry asks again,
// since its knowledge of the holder may have been outdated.
//
// Example: Receive("n1", BeginRequest{…}, hold, true, now, wall) returns Send{To: "n1", BeginAnswer{Run}}.

package deduplicator

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Receive answers a message to the holder of a claim; held is set if h is held at this time.
func (o *Owner) Receive(from identifier.Node, message any, h Hold, held bool, now clock.Time, wall clock.Wall) []Effect {
	switch m := message.(type) {
	case BeginRequest:
		return []Effect{Send{To: from, Message: o.answerBegin(m, h, held, now, wall)}}
	case FinishReport:
		id, err := ParseID(string(m.ID))
		if err != nil || (held && o.Finish(h, m.Team, id, m.Fingerprint, m.Attempt, m.Outcome, now, wall)) {
			return []Effect{Send{To: from, Message: ReportAnswer{Attempt: m.Attempt}}}
		}
	case AbandonReport:
		id, err := ParseID(string(m.ID))
		if err != nil || (held && o.Abandon(h, m.Team, id, m.Attempt, wall)) {
			return []Effect{Send{To: from, Message: ReportAnswer{Attempt: m.Attempt}}}
		}
	case Handover:
		if answer, complete := o.Import(m, now); complete {
			return []Effect{Send{To: from, Message: answer}}
		}
	}
	return nil
}

func (o *Owner) answerBegin(m BeginRequest, h Hold, held bool, now clock.Time, wall clock.Wall) BeginAnswer {
	answer := BeginAnswer{Attempt: m.Attempt, Verdict: NotOwner}
	id, err := ParseID(string(m.ID))
	if !held || err != nil {
		return answer
	}
	j := o.Begin(h, m.Team, id, m.Fingerprint, m.Attempt, m.Asked, now, wall)
	answer.Verdict = j.Verdict
	answer.Outcome = j.Outcome
	answer.NotRun = j.NotRun
	return answer
}

// ClaimOfMessage returns the claim that a message refers to.
func ClaimOfMessage(message any) (Claim, bool) {
	switch m := message.(type) {
	case BeginRequest:
		return m.Claim, true
	case FinishReport:
		return m.Claim, true
	case AbandonReport:
		return m.Claim, true
	}
	return "", false
}
