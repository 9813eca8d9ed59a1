package conductor

// The node beside an endpoint is the only one that can tell the endpoint's end from a broken connection, and from its own end. It
// reports the requests that ran then to all nodes before their callers learn of it, so that a request that comes again finds
// every node informed.
//
// Example: i-7 breaks off r-1 and refuses a connection: ReportEnd names r-1, unless an endpoint has answered the same before.

import (
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/quarantiner"
)

// endpointEnded counts and reports the end of the local endpoint under the requests that it runs.
func (c *Conductor) endpointEnded(e EndpointEnded, now clock.Time) {
	report := ReportEnd{ID: e.ID}
	var all []identifier.Fingerprint
	for _, d := range c.deliveries {
		if !d.running || d.endReported {
			continue
		}
		d.endReported = true
		suspected := c.quarantiner.Suspected(d.fingerprints, now)
		if len(suspected) == 0 {
			report.Innocent++
			continue
		}
		report.Requests = append(report.Requests, EndedRequest{Request: d.request, Fingerprints: d.fingerprints})
		all = append(all, suspected...)
	}
	slices.Sort(all)
	c.endsSeen++
	report.End = quarantiner.End{
		ID:           quarantiner.EndID{Node: c.self.Node, Incarnation: c.options.Self.Incarnation, Number: c.endsSeen},
		Endpoint:     e.Endpoint,
		Fingerprints: slices.Compact(all),
	}
	c.quarantiner.Ended(report.End, now)
	c.emit(report)
	c.endpointUnreachable(EndpointUnreachable{Endpoint: e.Endpoint}, now)
}

// requestRecognized refuses a request that is quarantined; the attempt that was to be made is not.
func (c *Conductor) requestRecognized(e RequestRecognized, now clock.Time) {
	r, ok := c.calls[e.ID]
	if !ok {
		return
	}
	r.quarantineLeft = c.quarantiner.Judge(e.Fingerprints, now).Left
	c.dropUnsent(r, now)
	c.rejectCall(r, Quarantined, now)
}

// deadlineSlack is how much earlier than here a deadline may pass at the node where the request entered, which then leaves.
const deadlineSlack = 50 * clock.Millisecond

// survivedRun reports whether the local endpoint has run the request to its answer, or to its deadline, without ending under it. At
// the deadline it must have given a sign of life meanwhile: it may have ended without a word.
func (c *Conductor) survivedRun(d *delivery, o Outcome, now clock.Time) bool {
	switch {
	case o == Answered:
		return true
	case o == Late, o == Abandoned && now.Add(deadlineSlack) >= d.deadline:
		return c.aliveDuring(d, now)
	default:
		return false
	}
}

// aliveDuring reports whether the local endpoint has given a sign of life in the second half of a run.
func (c *Conductor) aliveDuring(d *delivery, now clock.Time) bool {
	return c.aliveAt >= d.started.Add(now.Sub(d.started)/2)
}

// SilentDuring reports whether the local endpoint has given no sign of life in the second half of the time for which it has run a
// delivery.
func (c *Conductor) SilentDuring(id CallID, now clock.Time) bool {
	d, ok := c.deliveries[id]
	return ok && d.running && !c.aliveDuring(d, now)
}

// runsSuspect reports whether the local endpoint runs, or has queued, a request that may run only apart from others like it.
func (c *Conductor) runsSuspect(now clock.Time) bool {
	for _, d := range c.deliveries {
		if c.quarantiner.Judge(d.fingerprints, now).Alone {
			return true
		}
	}
	return false
}

// Verdict returns what is known of a request with the given fingerprints.
func (c *Conductor) Verdict(fingerprints []identifier.Fingerprint, now clock.Time) quarantiner.Verdict {
	return c.quarantiner.Judge(fingerprints, now)
}

// RootFingerprint returns that of the root request of a run at the local endpoint, 0 if it is not known.
func (c *Conductor) RootFingerprint(run identifier.Request) identifier.Fingerprint {
	return c.parents[run].fingerprint
}

// Others returns the records of all other nodes that are not lost.
func (c *Conductor) Others() (others []exchanger.Member) {
	for node, m := range c.members {
		if node != c.self.Node && !c.detector.Lost(node) {
			others = append(others, m)
		}
	}
	return others
}

// rootFingerprint is the first fingerprint of a root request, and the second one of a nested call.
func (d *delivery) rootFingerprint() identifier.Fingerprint {
	if len(d.fingerprints) == 0 {
		return 0
	}
	return d.fingerprints[len(d.fingerprints)-1]
}
