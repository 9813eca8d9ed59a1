// The owner of a claim keeps a record of every id that it allowed to run. It decides only while it holds the claim,
// and a later holder treats each id that may have been allowed earlier as Unknown. This needs no record on the log:
// the id's own time, or the window for opaque ids, separates the ids that an earlier holder may have allowed from new
// ones.
//
// No id is allowed twice, for the following reason. An owner allows an id only if the id's time is at most CallerSkew
// ahead of the owner's wall clock, and while it holds the claim. The next holder gains the claim later, and its clock
// differs by at most NodeSkew. So the id's time is at most Gained + CallerSkew + NodeSkew, and the next holder treats
// all those ids as Unknown. A pause of the owner between decision and answer makes no difference, since the decision
// was made before the claim was lost.
//
// Example: gained at 12:00:00.0 with skews of 1 s and 0.5 s, an id of 12:00:01.4 is Unknown and one of 12:00:01.6
// runs.

package deduplicator

import (
	"container/heap"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// OwnerOptions configures an Owner; the zero value of each number means its default.
type OwnerOptions struct {
	// Window is how long an id is kept, counted from its time, or from when it was allowed if it has none.
	Window clock.Duration
	// RunLimit is how long an attempt may remain without a report before its outcome counts as unknown.
	RunLimit clock.Duration
	// CallerSkew is how far an id's time may be ahead of this node's wall clock.
	CallerSkew clock.Duration
	// NodeSkew is the largest difference between the wall clocks of two nodes.
	NodeSkew clock.Duration
	// VerdictTimeout is how long an entry lets an attempt wait for a verdict, as in AskerOptions.
	VerdictTimeout clock.Duration
	// MaxRecords bounds the records of ids; at the bound new ids are refused.
	MaxRecords int
	// MaxBodyBytes bounds the bodies of recorded outcomes; at the bound the oldest bodies are dropped.
	MaxBodyBytes int
}

// Defaults of OwnerOptions.
const (
	DefaultWindow       = 10 * clock.Minute
	DefaultRunLimit     = 2 * clock.Minute
	DefaultCallerSkew   = clock.Second
	DefaultNodeSkew     = 500 * clock.Millisecond
	DefaultMaxRecords   = 200_000
	DefaultMaxBodyBytes = 32 << 20
)

type recordKey struct {
	team identifier.Team
	id   identifier.Idempotency
}

type record struct {
	key         recordKey
	heldClaim   *heldClaim
	fingerprint Fingerprint
	attempt     Attempt
	state       RecordState
	beganAt     clock.Time
	expires     clock.Wall
	outcome     *Outcome
}

// heldClaim is the owner's state of one claim in one unbroken hold.
type heldClaim struct {
	claim   Claim
	epoch   identifier.Epoch
	records map[recordKey]*record
	// unknownUpTo is the latest time of an id that an earlier holder may have allowed.
	unknownUpTo clock.Wall
	// opaqueUntil is when the window has passed for all opaque ids that an earlier holder may have allowed.
	opaqueUntil clock.Wall
	// latestWall is the latest wall time seen. Without it an id whose record was dropped as expired would become
	// valid again when the clock is set back.
	latestWall clock.Wall
	// refusedAt is when an id was last refused because MaxRecords was reached.
	refusedAt clock.Wall
	frozen    bool
}

// Owner is the state of the holder's side for all claims; create it with NewOwner.
type Owner struct {
	options    OwnerOptions
	heldClaims map[Claim]*heldClaim
	staged     map[Claim]*staged
	expiry     expiryHeap
	bodies     bodyQueue
	records    int
}

// NewOwner returns an Owner without records.
func NewOwner(o OwnerOptions) *Owner {
	o.Window = orDefault(o.Window, DefaultWindow)
	o.RunLimit = orDefault(o.RunLimit, DefaultRunLimit)
	o.CallerSkew = orDefault(o.CallerSkew, DefaultCallerSkew)
	o.NodeSkew = orDefault(o.NodeSkew, DefaultNodeSkew)
	o.VerdictTimeout = orDefault(o.VerdictTimeout, DefaultVerdictTimeout)
	o.MaxRecords = orDefault(o.MaxRecords, DefaultMaxRecords)
	o.MaxBodyBytes = orDefault(o.MaxBodyBytes, DefaultMaxBodyBytes)
	return &Owner{options: o, heldClaims: map[Claim]*heldClaim{}, staged: map[Claim]*staged{}}
}

func orDefault[T int | clock.Duration](v, d T) T {
	if v == 0 {
		return d
	}
	return v
}

// heldClaimOf returns the state for a hold. It starts with empty state if the hold was interrupted, since another
// node may have allowed ids in between. Epochs of one unbroken hold share the state; otherwise ids that this owner
// allowed in the previous epoch would run again.
func (o *Owner) heldClaimOf(h Hold) *heldClaim {
	s := o.heldClaims[h.Claim]
	if s != nil && s.epoch >= h.beginEpoch() && s.epoch <= h.Epoch {
		s.epoch = h.Epoch
		return s
	}
	if s != nil {
		o.dropHeldClaim(s)
	}
	s = &heldClaim{claim: h.Claim, epoch: h.Epoch, records: map[recordKey]*record{}}
	o.heldClaims[h.Claim] = s
	if o.adoptStaged(s, h.beginEpoch()) {
		return s
	}
	if !h.FirstHolder {
		s.unknownUpTo = h.Gained.Add(o.options.CallerSkew + o.options.NodeSkew)
		s.opaqueUntil = o.opaqueExpiry(h.Gained).Add(o.options.NodeSkew)
	}
	return s
}

// Release drops the state of a claim that is no longer held.
func (o *Owner) Release(c Claim) {
	if s := o.heldClaims[c]; s != nil {
		o.dropHeldClaim(s)
	}
}

func (o *Owner) dropHeldClaim(s *heldClaim) {
	for k, r := range s.records {
		o.records--
		o.dropBody(r)
		r.heldClaim = nil
		delete(s.records, k)
	}
	delete(o.heldClaims, s.claim)
}

// Begin decides on an attempt to run an id. asked is when its entry first asked; h must be held at this time.
func (o *Owner) Begin(h Hold, team identifier.Team, id ID, f Fingerprint, a Attempt, asked clock.Wall, now clock.Time, wall clock.Wall) Judgement {
	s := o.heldClaimOf(h)
	s.latestWall = max(s.latestWall, wall)
	if s.frozen {
		return Judgement{Verdict: Moving}
	}
	o.dropExpired(s.latestWall)
	key := recordKey{team: team, id: id.Text}
	if r := s.records[key]; r != nil {
		return o.judgeKnown(r, f, a, now, s.latestWall)
	}
	if v := o.judgeNew(s, id, wall); v != Run {
		return Judgement{Verdict: v, NotRun: v == FromFuture && o.beyondPendingAttempts(id, wall)}
	}
	if j := o.judgeCapacity(s, id, asked, wall); j.Verdict != Run {
		return j
	}
	r := &record{key: key, heldClaim: s, fingerprint: f, attempt: a, state: StateRunning, beganAt: now}
	r.expires = o.expiresAt(id, s.latestWall)
	o.addRecord(r)
	return Judgement{Verdict: Run}
}

// judgeCapacity refuses new ids as not run once MaxRecords is reached. An attempt whose entry asked before such a
// refusal may be a delayed one of the refused id; if it were allowed later, when there is room, the refusal would
// become untrue. An opaque id may have run so long ago that its record has expired, so its refusal doesn't state that
// it has not run.
func (o *Owner) judgeCapacity(s *heldClaim, id ID, asked, wall clock.Wall) Judgement {
	if o.records >= o.options.MaxRecords {
		s.refusedAt = max(s.refusedAt, wall)
		return Judgement{Verdict: Full, NotRun: id.Timed}
	}
	if s.refusedAt > 0 && asked <= s.refusedAt.Add(o.options.NodeSkew) {
		return Judgement{Verdict: Full}
	}
	return Judgement{Verdict: Run}
}

// beyondPendingAttempts reports whether no attempt that now waits at an entry can still be waiting when the id's time
// becomes acceptable.
func (o *Owner) beyondPendingAttempts(id ID, wall clock.Wall) bool {
	return id.Time > wall.Add(o.options.CallerSkew+o.options.NodeSkew+o.options.VerdictTimeout)
}

func (o *Owner) expiresAt(id ID, latestWall clock.Wall) clock.Wall {
	if id.Timed {
		return id.Time.Add(o.options.Window)
	}
	return o.opaqueExpiry(latestWall)
}

// opaqueExpiry returns when the window of an opaque id ends. The verdict timeout is added because the window begins
// when the permit reaches the entry, at the latest after that time.
func (o *Owner) opaqueExpiry(latestWall clock.Wall) clock.Wall {
	return latestWall.Add(o.options.Window + o.options.VerdictTimeout)
}

func (o *Owner) judgeKnown(r *record, f Fingerprint, a Attempt, now clock.Time, latestWall clock.Wall) Judgement {
	if r.state == StateAbandoned {
		return o.judgeAbandoned(r, f, a, now, latestWall)
	}
	if r.fingerprint != f {
		return Judgement{Verdict: Mismatch}
	}
	switch r.state {
	case StateDone:
		return Judgement{Verdict: Done, Outcome: r.outcome}
	case StateUnknown:
		return Judgement{Verdict: Unknown}
	}
	if r.attempt == a {
		// The entry repeats the request because the answer was lost. It still holds the call, so it may run it once.
		return Judgement{Verdict: Run}
	}
	// The entry that got the permit may have failed, in which case no report will arrive.
	if now.Sub(r.beganAt) > o.options.RunLimit {
		r.state = StateUnknown
		return Judgement{Verdict: Unknown}
	}
	return Judgement{Verdict: InProgress}
}

func (o *Owner) judgeAbandoned(r *record, f Fingerprint, a Attempt, now clock.Time, latestWall clock.Wall) Judgement {
	if r.attempt == a {
		// The request is a late copy from an entry that has abandoned the attempt; after a permit no report would
		// ever arrive.
		return Judgement{Verdict: Moving}
	}
	r.attempt = a
	r.fingerprint = f
	r.state = StateRunning
	r.beganAt = now
	if id, err := ParseID(string(r.key.id)); err == nil && !id.Timed {
		r.expires = o.opaqueExpiry(latestWall)
	}
	return Judgement{Verdict: Run}
}

// judgeNew returns Run for an id without a record if it can be allowed, otherwise the reason against it.
func (o *Owner) judgeNew(s *heldClaim, id ID, wall clock.Wall) Verdict {
	if !id.Timed {
		if s.latestWall <= s.opaqueUntil {
			return Unknown
		}
		return Run
	}
	switch {
	case id.Time.Add(o.options.Window) < s.latestWall:
		return Expired
	case id.Time <= s.unknownUpTo:
		return Unknown
	case id.Time > wall.Add(o.options.CallerSkew):
		// If allowed, the id would be later than the next holder's unknownUpTo and could run again there.
		return FromFuture
	}
	return Run
}

// Finish records how an attempt ended; a holder without a record of the id creates one. It reports whether the report
// can be acknowledged.
func (o *Owner) Finish(h Hold, team identifier.Team, id ID, f Fingerprint, a Attempt, outcome Outcome, now clock.Time, wall clock.Wall) bool {
	s := o.heldClaimOf(h)
	s.latestWall = max(s.latestWall, wall)
	if s.frozen {
		// The records are being handed over; the next holder gets the report when it is repeated.
		return false
	}
	o.dropExpired(s.latestWall)
	key := recordKey{team: team, id: id.Text}
	r := s.records[key]
	if r == nil {
		expires := o.expiresAt(id, s.latestWall)
		if expires < s.latestWall || o.records >= o.options.MaxRecords {
			return true
		}
		r = &record{key: key, heldClaim: s, fingerprint: f, attempt: a, state: StateRunning, beganAt: now, expires: expires}
		o.addRecord(r)
	}
	if r.attempt != a && r.state != StateUnknown {
		return true
	}
	o.recordOutcome(r, outcome)
	return true
}

func (o *Owner) recordOutcome(r *record, outcome Outcome) {
	if r.state == StateDone {
		return
	}
	if outcome.Unknown {
		r.state = StateUnknown
		return
	}
	if len(outcome.Body) > MaxBody {
		outcome.Body = nil
		outcome.BodyDropped = true
	}
	r.state = StateDone
	r.outcome = &outcome
	o.keepBody(r)
}

// Abandon records that an attempt sent nothing, so that another attempt may run. It reports whether the report can be
// acknowledged.
func (o *Owner) Abandon(h Hold, team identifier.Team, id ID, a Attempt, wall clock.Wall) bool {
	s := o.heldClaimOf(h)
	s.latestWall = max(s.latestWall, wall)
	if s.frozen {
		return false
	}
	r := s.records[recordKey{team: team, id: id.Text}]
	if r != nil && r.attempt == a && (r.state == StateRunning || r.state == StateUnknown) {
		r.state = StateAbandoned
	}
	return true
}

// Tick drops expired records, and handovers that were not adopted in time.
func (o *Owner) Tick(now clock.Time, wall clock.Wall) {
	o.dropExpired(wall)
	o.dropStaged(now)
}

// Records returns the number of ids with a record.
func (o *Owner) Records() int {
	return o.records
}

func (o *Owner) addRecord(r *record) {
	r.heldClaim.records[r.key] = r
	o.records++
	heap.Push(&o.expiry, expiryEntry{at: r.expires, record: r})
}
