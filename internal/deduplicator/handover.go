// A planned stop must leave no id unknown, so the holder sends its records to its successor before it gives the claim
// up. Once the first part is exported it decides nothing more in this epoch, whatever becomes of the handover; if it
// continued, the successor could use records that lack the ids allowed since.
//
// Example: parts := o.Export(hold, now) freezes the claim; the parts are sent until HandoverAnswer arrives. Then the
// claim is handed over, and the successor's first Begin at the next epoch adopts the records.

package deduplicator

import (
	"cmp"
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	// partBytes is the approximate size of the bodies in one part.
	partBytes      = 128 << 10
	maxPartRecords = 1000
	// stagedTimeout is how long received parts are kept for the claim to be handed over.
	stagedTimeout = clock.Minute
)

type staged struct {
	epoch   identifier.Epoch
	parts   map[int]Handover
	count   int
	arrived clock.Time
}

// Export freezes a claim and returns its records in parts; repeated calls return the same records.
func (o *Owner) Export(h Hold, now clock.Time) []Handover {
	s := o.heldClaimOf(h)
	s.frozen = true
	records := make([]*record, 0, len(s.records))
	for _, r := range s.records {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b *record) int {
		return cmp.Or(cmp.Compare(a.key.team, b.key.team), cmp.Compare(a.key.id, b.key.id))
	})
	part := Handover{
		Claim: s.claim, Epoch: s.epoch,
		UnknownUpTo: s.unknownUpTo, OpaqueUntil: s.opaqueUntil, LatestWall: s.latestWall, RefusedAt: s.refusedAt,
	}
	var parts []Handover
	bytes := 0
	for _, r := range records {
		if len(part.Records) == maxPartRecords || bytes > partBytes {
			parts = append(parts, part)
			part.Records = nil
			bytes = 0
		}
		part.Records = append(part.Records, handoverRecordOf(r, now))
		if r.outcome != nil {
			bytes += len(r.outcome.Body)
		}
	}
	parts = append(parts, part)
	for i := range parts {
		parts[i].Part = i
		parts[i].Parts = len(parts)
	}
	return parts
}

func handoverRecordOf(r *record, now clock.Time) HandoverRecord {
	return HandoverRecord{
		Team: r.key.team, ID: r.key.id, Fingerprint: r.fingerprint, Attempt: r.attempt, State: r.state,
		Age: now.Sub(r.beganAt), Expires: r.expires, Outcome: r.outcome,
	}
}

// Import stores one part and reports whether all parts have arrived.
func (o *Owner) Import(m Handover, now clock.Time) (HandoverAnswer, bool) {
	if m.Part < 0 || m.Part >= m.Parts {
		return HandoverAnswer{}, false
	}
	g := o.staged[m.Claim]
	if g == nil || g.epoch < m.Epoch {
		g = &staged{epoch: m.Epoch, parts: map[int]Handover{}, count: m.Parts}
		o.staged[m.Claim] = g
	}
	if g.epoch != m.Epoch || g.count != m.Parts {
		return HandoverAnswer{}, false
	}
	if _, duplicate := g.parts[m.Part]; !duplicate {
		g.parts[m.Part] = m
	}
	g.arrived = now
	return HandoverAnswer{Claim: m.Claim, Epoch: m.Epoch}, len(g.parts) == g.count
}

// adoptStaged adopts the records of a complete handover from the epoch just before; any other handover lacks what was
// decided in between. It reports whether records were adopted.
func (o *Owner) adoptStaged(s *heldClaim, beginEpoch identifier.Epoch) bool {
	g := o.staged[s.claim]
	if g == nil || g.epoch+1 > beginEpoch {
		return false
	}
	delete(o.staged, s.claim)
	if g.epoch+1 != beginEpoch || len(g.parts) != g.count {
		return false
	}
	for i := range g.count {
		part := g.parts[i]
		s.unknownUpTo = part.UnknownUpTo
		s.opaqueUntil = part.OpaqueUntil
		s.latestWall = max(s.latestWall, part.LatestWall)
		s.refusedAt = part.RefusedAt
		for _, r := range part.Records {
			o.adoptRecord(s, r, g.arrived)
		}
	}
	return true
}

// adoptRecord adds a record even beyond MaxRecords, since without it the id could run again.
func (o *Owner) adoptRecord(s *heldClaim, h HandoverRecord, arrived clock.Time) {
	r := &record{
		key:       recordKey{team: h.Team, id: h.ID},
		heldClaim: s, fingerprint: h.Fingerprint, attempt: h.Attempt, state: h.State,
		beganAt: arrived.Add(-h.Age), expires: h.Expires, outcome: h.Outcome,
	}
	o.addRecord(r)
	if r.outcome != nil {
		o.keepBody(r)
	}
}

func (o *Owner) dropStaged(now clock.Time) {
	for c, g := range o.staged {
		if now.Sub(g.arrived) > stagedTimeout {
			delete(o.staged, c)
		}
	}
}
