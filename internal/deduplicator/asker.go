// The entry parks a call with an id until the owner has decided. Nothing is sent before Permit, so this attempt of a
// call that gets no verdict in time has not run. An earlier attempt at another node may have run, however, and only
// the owner could know. Such a refusal must not state that the request has not run.
//
// Example: Ask(7, …) returns Send{BeginRequest}; Receive(BeginAnswer{Run}) returns Permit{7}; after Finish(7, …) the
// outcome is sent to the owner until it is acknowledged.

package deduplicator

import (
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// AskerOptions configures an Asker; the zero value of each number means its default.
type AskerOptions struct {
	Node identifier.Node
	// VerdictTimeout is the longest time that a call waits for a verdict.
	VerdictTimeout clock.Duration
	// ReportTerm is how long a report without acknowledgement is repeated.
	ReportTerm clock.Duration
	// MaxReportBytes bounds the bodies in reports that are not acknowledged yet.
	MaxReportBytes int
}

// Defaults of AskerOptions, and the intervals of requests and reports.
const (
	DefaultVerdictTimeout = 5 * clock.Second
	DefaultReportTerm     = 10 * clock.Minute
	DefaultMaxReportBytes = 32 << 20

	askInterval             = 200 * clock.Millisecond
	inProgressRetryInterval = 500 * clock.Millisecond
	movedRetryInterval      = 50 * clock.Millisecond
	reportInterval          = 200 * clock.Millisecond
	maxReportInterval       = 5 * clock.Second
	unreachableRetryAfter   = clock.Second
	fullRetryAfter          = 30 * clock.Second
)

type parked struct {
	call      CallID
	request   BeginRequest
	timeoutAt clock.Time
	nextAskAt clock.Time
	// lastVerdict is the last InProgress verdict, with which a call is refused when its wait times out.
	lastVerdict Verdict
}

// Asker is the state of the entry's side; create it with NewAsker.
type Asker struct {
	options AskerOptions
	number  uint64
	// waiting contains the parked calls in order of arrival.
	waiting []*parked
	// running contains the calls that have a permit and have not ended.
	running     map[CallID]BeginRequest
	reports     []*report
	reportBytes int
}

// NewAsker returns an Asker without calls.
func NewAsker(o AskerOptions) *Asker {
	o.VerdictTimeout = orDefault(o.VerdictTimeout, DefaultVerdictTimeout)
	o.ReportTerm = orDefault(o.ReportTerm, DefaultReportTerm)
	o.MaxReportBytes = orDefault(o.MaxReportBytes, DefaultMaxReportBytes)
	return &Asker{options: o, running: map[CallID]BeginRequest{}}
}

// Ask parks a call until the owner of its id has decided, or until its deadline or the verdict timeout has passed.
func (a *Asker) Ask(call CallID, team identifier.Team, id ID, f Fingerprint, deadline, now clock.Time, wall clock.Wall) []Effect {
	a.number++
	p := &parked{
		call: call,
		request: BeginRequest{
			Claim: ClaimOf(team, id), Team: team, ID: id.Text, Fingerprint: f,
			Attempt: Attempt{Node: a.options.Node, Number: a.number}, Asked: wall,
		},
		timeoutAt: min(deadline, now.Add(a.options.VerdictTimeout)),
		nextAskAt: now.Add(askInterval),
	}
	a.waiting = append(a.waiting, p)
	return []Effect{Send{Claim: p.request.Claim, Message: p.request}}
}

// Receive handles an answer of an owner.
func (a *Asker) Receive(message any, now clock.Time) []Effect {
	switch m := message.(type) {
	case BeginAnswer:
		return a.receiveAnswer(m, now)
	case ReportAnswer:
		a.acknowledgeReport(m.Attempt)
	}
	return nil
}

func (a *Asker) receiveAnswer(m BeginAnswer, now clock.Time) []Effect {
	i := slices.IndexFunc(a.waiting, func(p *parked) bool { return p.request.Attempt == m.Attempt })
	if i < 0 {
		// A late answer: the call has ended or has its permit already, and a second permit would send it twice.
		return nil
	}
	p := a.waiting[i]
	switch m.Verdict {
	case InProgress:
		p.lastVerdict = InProgress
		p.nextAskAt = now.Add(inProgressRetryInterval)
		return nil
	case Moving, NotOwner:
		p.nextAskAt = now.Add(movedRetryInterval)
		return nil
	}
	a.waiting = slices.Delete(a.waiting, i, i+1)
	switch m.Verdict {
	case Run:
		a.running[p.call] = p.request
		return []Effect{Permit{Call: p.call}}
	case Done:
		return []Effect{Replay{Call: p.call, Outcome: m.Outcome}}
	}
	r := refusal(p.call, m.Verdict)
	r.NotRun = m.NotRun
	return []Effect{r}
}

func refusal(call CallID, v Verdict) Refuse {
	r := Refuse{Call: call, Verdict: v}
	switch v {
	case Full:
		r.RetryAfter = fullRetryAfter
	case InProgress, 0:
		r.RetryAfter = unreachableRetryAfter
	}
	return r
}

// Finish reports the outcome of a call that had a permit.
func (a *Asker) Finish(call CallID, outcome Outcome, now clock.Time) []Effect {
	q, ok := a.running[call]
	if !ok {
		return nil
	}
	delete(a.running, call)
	if len(outcome.Body) > MaxBody {
		outcome.Body = nil
		outcome.BodyDropped = true
	}
	return a.report(q.Claim, FinishReport{
		Claim: q.Claim, Team: q.Team, ID: q.ID, Fingerprint: q.Fingerprint, Attempt: q.Attempt, Outcome: outcome,
	}, now)
}

// Abandon ends a call of which nothing was sent and nothing will be sent.
func (a *Asker) Abandon(call CallID, now clock.Time) []Effect {
	q, ok := a.running[call]
	delete(a.running, call)
	if !ok {
		i := slices.IndexFunc(a.waiting, func(p *parked) bool { return p.call == call })
		if i < 0 {
			return nil
		}
		q = a.waiting[i].request
		a.waiting = slices.Delete(a.waiting, i, i+1)
	}
	return a.abandon(q, now)
}

func (a *Asker) abandon(q BeginRequest, now clock.Time) []Effect {
	return a.report(q.Claim, AbandonReport{Claim: q.Claim, Team: q.Team, ID: q.ID, Attempt: q.Attempt}, now)
}

// Tick repeats due requests and reports, and refuses the calls whose wait has timed out.
func (a *Asker) Tick(now clock.Time) []Effect {
	var effects []Effect
	kept := a.waiting[:0]
	for _, p := range a.waiting {
		if now >= p.timeoutAt {
			effects = append(effects, refusal(p.call, p.lastVerdict))
			effects = append(effects, a.abandon(p.request, now)...)
			continue
		}
		if now >= p.nextAskAt {
			p.nextAskAt = now.Add(askInterval)
			effects = append(effects, Send{Claim: p.request.Claim, Message: p.request})
		}
		kept = append(kept, p)
	}
	clear(a.waiting[len(kept):])
	a.waiting = kept
	return append(effects, a.tickReports(now)...)
}

// Waiting returns how many calls wait for a verdict.
func (a *Asker) Waiting() int { return len(a.waiting) }

// Reports returns how many reports are not acknowledged yet.
func (a *Asker) Reports() int { return len(a.reports) }
