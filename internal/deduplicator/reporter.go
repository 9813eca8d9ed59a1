// A report is repeated until the owner acknowledges it; otherwise the caller's retry would get InProgress and later
// Unknown. If many owners are unreachable, bodies are dropped from reports, so that a long outage doesn't fill the
// memory.
//
// Example: the owner crashed after Run; the report goes to the next holder of the claim, where the id was unknown and
// becomes done.

package deduplicator

import (
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

type report struct {
	attempt    Attempt
	claim      Claim
	message    any
	until      clock.Time
	nextSendAt clock.Time
	interval   clock.Duration
}

func (a *Asker) report(claim Claim, message any, now clock.Time) []Effect {
	r := &report{claim: claim, message: message, until: now.Add(a.options.ReportTerm), interval: reportInterval}
	r.nextSendAt = now.Add(r.interval)
	switch m := message.(type) {
	case FinishReport:
		r.attempt = m.Attempt
		a.reportBytes += len(m.Outcome.Body)
	case AbandonReport:
		r.attempt = m.Attempt
	}
	a.reports = append(a.reports, r)
	a.dropBodies()
	return []Effect{Send{Claim: claim, Message: r.message}}
}

func (a *Asker) dropBodies() {
	for _, r := range a.reports {
		if a.reportBytes <= a.options.MaxReportBytes {
			return
		}
		m, ok := r.message.(FinishReport)
		if !ok || len(m.Outcome.Body) == 0 {
			continue
		}
		a.reportBytes -= len(m.Outcome.Body)
		m.Outcome.Body = nil
		m.Outcome.BodyDropped = true
		r.message = m
	}
}

func (a *Asker) acknowledgeReport(attempt Attempt) {
	i := slices.IndexFunc(a.reports, func(r *report) bool { return r.attempt == attempt })
	if i >= 0 {
		a.releaseReportBytes(a.reports[i])
		a.reports = slices.Delete(a.reports, i, i+1)
	}
}

func (a *Asker) releaseReportBytes(r *report) {
	if m, ok := r.message.(FinishReport); ok {
		a.reportBytes -= len(m.Outcome.Body)
	}
}

func (a *Asker) tickReports(now clock.Time) []Effect {
	var effects []Effect
	kept := a.reports[:0]
	for _, r := range a.reports {
		if now >= r.until {
			a.releaseReportBytes(r)
			continue
		}
		if now >= r.nextSendAt {
			r.interval = min(2*r.interval, maxReportInterval)
			r.nextSendAt = now.Add(r.interval)
			effects = append(effects, Send{Claim: r.claim, Message: r.message})
		}
		kept = append(kept, r)
	}
	clear(a.reports[len(kept):])
	a.reports = kept
	return effects
}
