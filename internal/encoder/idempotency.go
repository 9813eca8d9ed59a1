// Wire types of the messages about idempotency ids. Requests carry the claim's name, since the claim's holder may change
// while a message is on its way.
//
// Example: Encode(deduplicator.BeginRequest{…}) gives about 110 bytes, Encode(deduplicator.BeginAnswer{…}) 30.

package encoder

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/deduplicator"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	kindBeginRequest Kind = 300 + iota
	kindBeginAnswer
	kindFinishReport
	kindAbandonReport
	kindReportAnswer
	kindHandover
	kindHandoverAnswer
)

type attemptWire struct {
	_      struct{} `cbor:",toarray"`
	Node   string
	Number uint64
}

type headerWire struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Value string
}

type recordedOutcomeWire struct {
	_           struct{} `cbor:",toarray"`
	Unknown     bool
	Status      int
	Headers     []headerWire
	Body        []byte
	BodyDropped bool
}

type beginRequestWire struct {
	_           struct{} `cbor:",toarray"`
	Claim       string
	Team        string
	ID          string
	Fingerprint uint64
	Attempt     attemptWire
	Asked       int64
}

type beginAnswerWire struct {
	_       struct{} `cbor:",toarray"`
	Attempt attemptWire
	Verdict uint8
	Outcome *recordedOutcomeWire
	NotRun  bool
}

type finishReportWire struct {
	_           struct{} `cbor:",toarray"`
	Claim       string
	Team        string
	ID          string
	Fingerprint uint64
	Attempt     attemptWire
	Outcome     recordedOutcomeWire
}

type abandonReportWire struct {
	_       struct{} `cbor:",toarray"`
	Claim   string
	Team    string
	ID      string
	Attempt attemptWire
}

type reportAnswerWire struct {
	_       struct{} `cbor:",toarray"`
	Attempt attemptWire
}

type handoverRecordWire struct {
	_           struct{} `cbor:",toarray"`
	Team        string
	ID          string
	Fingerprint uint64
	Attempt     attemptWire
	State       uint8
	Age         int64
	Expires     int64
	Outcome     *recordedOutcomeWire
}

type handoverWire struct {
	_           struct{} `cbor:",toarray"`
	Claim       string
	Epoch       int64
	Part        int
	Parts       int
	Records     []handoverRecordWire
	UnknownUpTo int64
	OpaqueUntil int64
	LatestWall  int64
	RefusedAt   int64
}

type handoverAnswerWire struct {
	_     struct{} `cbor:",toarray"`
	Claim string
	Epoch int64
}

func init() {
	register(kindBeginRequest, beginRequestToWire, beginRequestFromWire)
	register(kindBeginAnswer, beginAnswerToWire, beginAnswerFromWire)
	register(kindFinishReport, finishReportToWire, finishReportFromWire)
	register(kindAbandonReport, abandonReportToWire, abandonReportFromWire)
	register(kindReportAnswer, reportAnswerToWire, reportAnswerFromWire)
	register(kindHandover, handoverToWire, handoverFromWire)
	register(kindHandoverAnswer, handoverAnswerToWire, handoverAnswerFromWire)
}

func attemptToWire(a deduplicator.Attempt) attemptWire {
	return attemptWire{Node: string(a.Node), Number: a.Number}
}

func attemptFromWire(w attemptWire) deduplicator.Attempt {
	return deduplicator.Attempt{Node: identifier.Node(w.Node), Number: w.Number}
}

func recordedOutcomeToWire(o deduplicator.Outcome) recordedOutcomeWire {
	return recordedOutcomeWire{
		Unknown: o.Unknown,
		Status:  o.Status,
		Headers: mapSlice(o.Headers, func(h deduplicator.Header) headerWire {
			return headerWire{Name: h.Name, Value: h.Value}
		}),
		Body:        o.Body,
		BodyDropped: o.BodyDropped,
	}
}

func recordedOutcomeFromWire(w recordedOutcomeWire) deduplicator.Outcome {
	return deduplicator.Outcome{
		Unknown: w.Unknown,
		Status:  w.Status,
		Headers: mapSlice(w.Headers, func(h headerWire) deduplicator.Header {
			return deduplicator.Header{Name: h.Name, Value: h.Value}
		}),
		Body:        w.Body,
		BodyDropped: w.BodyDropped,
	}
}

// mapPointer keeps nil as nil.
func mapPointer[A, B any](in *A, f func(A) B) *B {
	if in == nil {
		return nil
	}
	out := f(*in)
	return &out
}

func beginRequestToWire(m deduplicator.BeginRequest) beginRequestWire {
	return beginRequestWire{
		Claim:       string(m.Claim),
		Team:        string(m.Team),
		ID:          string(m.ID),
		Fingerprint: uint64(m.Fingerprint),
		Attempt:     attemptToWire(m.Attempt),
		Asked:       int64(m.Asked),
	}
}

func beginRequestFromWire(w beginRequestWire) deduplicator.BeginRequest {
	return deduplicator.BeginRequest{
		Claim:       deduplicator.Claim(w.Claim),
		Team:        identifier.Team(w.Team),
		ID:          identifier.Idempotency(w.ID),
		Fingerprint: deduplicator.Fingerprint(w.Fingerprint),
		Attempt:     attemptFromWire(w.Attempt),
		Asked:       clock.Wall(w.Asked),
	}
}

func beginAnswerToWire(m deduplicator.BeginAnswer) beginAnswerWire {
	return beginAnswerWire{
		Attempt: attemptToWire(m.Attempt),
		Verdict: uint8(m.Verdict),
		Outcome: mapPointer(m.Outcome, recordedOutcomeToWire),
		NotRun:  m.NotRun,
	}
}

func beginAnswerFromWire(w beginAnswerWire) deduplicator.BeginAnswer {
	return deduplicator.BeginAnswer{
		Attempt: attemptFromWire(w.Attempt),
		Verdict: deduplicator.Verdict(w.Verdict),
		Outcome: mapPointer(w.Outcome, recordedOutcomeFromWire),
		NotRun:  w.NotRun,
	}
}

func finishReportToWire(m deduplicator.FinishReport) finishReportWire {
	return finishReportWire{
		Claim:       string(m.Claim),
		Team:        string(m.Team),
		ID:          string(m.ID),
		Fingerprint: uint64(m.Fingerprint),
		Attempt:     attemptToWire(m.Attempt),
		Outcome:     recordedOutcomeToWire(m.Outcome),
	}
}

func finishReportFromWire(w finishReportWire) deduplicator.FinishReport {
	return deduplicator.FinishReport{
		Claim:       deduplicator.Claim(w.Claim),
		Team:        identifier.Team(w.Team),
		ID:          identifier.Idempotency(w.ID),
		Fingerprint: deduplicator.Fingerprint(w.Fingerprint),
		Attempt:     attemptFromWire(w.Attempt),
		Outcome:     recordedOutcomeFromWire(w.Outcome),
	}
}

func abandonReportToWire(m deduplicator.AbandonReport) abandonReportWire {
	return abandonReportWire{
		Claim:   string(m.Claim),
		Team:    string(m.Team),
		ID:      string(m.ID),
		Attempt: attemptToWire(m.Attempt),
	}
}

func abandonReportFromWire(w abandonReportWire) deduplicator.AbandonReport {
	return deduplicator.AbandonReport{
		Claim:   deduplicator.Claim(w.Claim),
		Team:    identifier.Team(w.Team),
		ID:      identifier.Idempotency(w.ID),
		Attempt: attemptFromWire(w.Attempt),
	}
}

func reportAnswerToWire(m deduplicator.ReportAnswer) reportAnswerWire {
	return reportAnswerWire{Attempt: attemptToWire(m.Attempt)}
}

func reportAnswerFromWire(w reportAnswerWire) deduplicator.ReportAnswer {
	return deduplicator.ReportAnswer{Attempt: attemptFromWire(w.Attempt)}
}

func handoverToWire(m deduplicator.Handover) handoverWire {
	return handoverWire{
		Claim: string(m.Claim),
		Epoch: int64(m.Epoch),
		Part:  m.Part,
		Parts: m.Parts,
		Records: mapSlice(m.Records, func(r deduplicator.HandoverRecord) handoverRecordWire {
			return handoverRecordWire{
				Team:        string(r.Team),
				ID:          string(r.ID),
				Fingerprint: uint64(r.Fingerprint),
				Attempt:     attemptToWire(r.Attempt),
				State:       uint8(r.State),
				Age:         int64(r.Age),
				Expires:     int64(r.Expires),
				Outcome:     mapPointer(r.Outcome, recordedOutcomeToWire),
			}
		}),
		UnknownUpTo: int64(m.UnknownUpTo),
		OpaqueUntil: int64(m.OpaqueUntil),
		LatestWall:  int64(m.LatestWall),
		RefusedAt:   int64(m.RefusedAt),
	}
}

func handoverFromWire(w handoverWire) deduplicator.Handover {
	return deduplicator.Handover{
		Claim: deduplicator.Claim(w.Claim),
		Epoch: identifier.Epoch(w.Epoch),
		Part:  w.Part,
		Parts: w.Parts,
		Records: mapSlice(w.Records, func(r handoverRecordWire) deduplicator.HandoverRecord {
			return deduplicator.HandoverRecord{
				Team:        identifier.Team(r.Team),
				ID:          identifier.Idempotency(r.ID),
				Fingerprint: deduplicator.Fingerprint(r.Fingerprint),
				Attempt:     attemptFromWire(r.Attempt),
				State:       deduplicator.RecordState(r.State),
				Age:         clock.Duration(r.Age),
				Expires:     clock.Wall(r.Expires),
				Outcome:     mapPointer(r.Outcome, recordedOutcomeFromWire),
			}
		}),
		UnknownUpTo: clock.Wall(w.UnknownUpTo),
		OpaqueUntil: clock.Wall(w.OpaqueUntil),
		LatestWall:  clock.Wall(w.LatestWall),
		RefusedAt:   clock.Wall(w.RefusedAt),
	}
}

func handoverAnswerToWire(m deduplicator.HandoverAnswer) handoverAnswerWire {
	return handoverAnswerWire{Claim: string(m.Claim), Epoch: int64(m.Epoch)}
}

func handoverAnswerFromWire(w handoverAnswerWire) deduplicator.HandoverAnswer {
	return deduplicator.HandoverAnswer{Claim: deduplicator.Claim(w.Claim), Epoch: identifier.Epoch(w.Epoch)}
}
