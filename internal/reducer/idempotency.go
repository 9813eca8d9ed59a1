// A call that must not run twice requests a permit from the owner of its idempotency id before it is sent, and reports
// its outcome to the owner. A call without an id is not sent again once it may have started.
//
// Example: POST /bookings with an id → BeginRequest to the owner → Permit → Forward → FinishReport with the answer.

package reducer

import (
	"github.com/zeebo/xxh3"

	"github.com/jackdawtide/jackdawtide/internal/claimer"
	"github.com/jackdawtide/jackdawtide/internal/deduplicator"
)

func (s *State) requestPermit(c *call) {
	if c.idempotent || c.idempotency == "" {
		s.forward(c)
		return
	}
	id, err := deduplicator.ParseID(string(c.idempotency))
	if err != nil {
		s.refuse(c, Refusal{Reason: BadRequest, Detail: "Idempotency-Key: " + err.Error()})
		return
	}
	c.awaitingOwner = true
	s.applyIdempotency(s.asker.Ask(deduplicator.CallID(c.id), c.team, id, fingerprint(c), c.deadline, s.now, s.wall))
}

func fingerprint(c *call) deduplicator.Fingerprint {
	return deduplicator.Fingerprint(xxh3.HashString(c.method + " " + string(c.service) + " " + c.path))
}

func (s *State) applyIdempotency(effects []deduplicator.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case deduplicator.Send:
			s.sendToOwner(e)
		case deduplicator.Permit:
			s.permitGranted(CallID(e.Call))
		case deduplicator.Replay:
			s.outcomeReplayed(CallID(e.Call), e.Outcome)
		case deduplicator.Refuse:
			s.idRefused(e)
		}
	}
}

func (s *State) sendToOwner(e deduplicator.Send) {
	to := e.To
	if to == "" {
		holder, _, ok := s.claimer.HolderOf(claimer.Name(e.Claim))
		if !ok {
			return
		}
		to = holder
	}
	s.send(to, "", e.Message)
}

func (s *State) permitGranted(id CallID) {
	c, ok := s.calls[id]
	if !ok {
		return
	}
	c.awaitingOwner = false
	c.hasPermit = true
	s.forward(c)
}

func (s *State) outcomeReplayed(id CallID, o *deduplicator.Outcome) {
	c, ok := s.calls[id]
	if !ok {
		return
	}
	c.awaitingOwner = false
	s.record(c, "replayed", s.options.Self)
	s.emit(Replay{Call: id, Outcome: toRecorded(o)})
	s.forgetCall(c)
}

func (s *State) idRefused(e deduplicator.Refuse) {
	c, ok := s.calls[CallID(e.Call)]
	if !ok {
		return
	}
	c.awaitingOwner = false
	c.mayHaveRun = !e.NotRun
	after := e.RetryAfter
	if after == 0 && retriable(e.Verdict) {
		after = s.randomRetryAfter()
	}
	s.refuse(c, Refusal{Reason: idReason(e.Verdict), RetryAfter: after})
}

func retriable(v deduplicator.Verdict) bool {
	return v == deduplicator.InProgress || idReason(v) == OwnerUnknown
}

func idReason(v deduplicator.Verdict) Reason {
	switch v {
	case deduplicator.InProgress:
		return InProgress
	case deduplicator.Unknown, deduplicator.Done:
		return OutcomeUnknown
	case deduplicator.Expired:
		return IDExpired
	case deduplicator.Mismatch:
		return IDMismatch
	case deduplicator.FromFuture:
		return IDFromFuture
	default:
		return OwnerUnknown
	}
}

// reportOutcome reports the outcome of a call with a permit to the owner; nil stands for an unknown outcome.
func (s *State) reportOutcome(c *call, o *RecordedOutcome) {
	if !c.hasPermit {
		return
	}
	c.hasPermit = false
	s.applyIdempotency(s.asker.Finish(deduplicator.CallID(c.id), fromRecorded(o), s.now))
}

// abandonPermit releases the id of a call that can't have run, so that the caller's next attempt may run. If the call
// may have run, it reports an unknown outcome at once: otherwise the owner would answer "in progress" until its own
// timeout.
func (s *State) abandonPermit(c *call) {
	if c.mayHaveRun {
		s.reportOutcome(c, nil)
		return
	}
	if !c.hasPermit && !c.awaitingOwner {
		return
	}
	c.hasPermit = false
	c.awaitingOwner = false
	s.applyIdempotency(s.asker.Abandon(deduplicator.CallID(c.id), s.now))
}

func toRecorded(o *deduplicator.Outcome) RecordedOutcome {
	r := RecordedOutcome{Status: o.Status, Body: o.Body, Kept: !o.BodyDropped && !o.Unknown}
	for _, h := range o.Headers {
		r.Header = append(r.Header, Field(h))
	}
	return r
}

func fromRecorded(r *RecordedOutcome) deduplicator.Outcome {
	if r == nil {
		return deduplicator.Outcome{Unknown: true}
	}
	o := deduplicator.Outcome{Status: r.Status, Body: r.Body, BodyDropped: !r.Kept}
	for _, f := range r.Header {
		o.Headers = append(o.Headers, deduplicator.Header(f))
	}
	return o
}
