// The owner of a claim remembers every id that it allowed to run. It decides only while it holds the claim,
// and a later holder takes each id that may have been allowed before its time for unknown. That needs no
// record on the log: the id's own time, or for opaque ids the window, draws the line.
//
// Why no id is allowed twice. An owner allows an id only if its time is at most CallerSkew ahead of the
// owner's wall clock, at a moment when it holds the claim. The next holder gains the claim after that moment,
// and its clock differs by NodeSkew at most. So the id's time is at most Gained + CallerSkew + NodeSkew, and
// all those ids are Unknown to it. An owner paused between decision and answer changes nothing: the
// decision was made before the claim was lost.
//
// Example: gained at 12:00:00.0 with skews of 1 s and 0.5 s: an id of 12:00:01.4 is Unknown, one of
// 12:00:01.6 runs.

package deduplicator

import (
	"container/heap"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// OwnerOptions are the parameters of an Owner; the zero value of each number means its default.
type OwnerOptions struct {
	// Window is how long an id is remembered, counted from its time, or from its beginning where it has none.
	Window clock.Duration
	// RunLimit is how long an attempt may stay without a report before its outcome counts as unknown.
	RunLimit clock.Duration
	// CallerSkew is how far an id's time may be ahead of this node's wall clock.
	CallerSkew clock.Duration
	// NodeSkew is the largest difference between the wall clocks of two nodes.
	NodeSkew clock.Duration
	// VerdictTimeout is how long an entry lets an attempt wait, as in AskerOptions.
	VerdictTimeout clock.Duration
	// MaxRecords bounds the ids remembered; at the bound new ids are refused.
	MaxRecords int
	// MaxBodyBytes bounds the bodies remembered; at the bound the oldest bodies are dropped.
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
	slot        *slot
	fingerprint Fingerprint
	attempt     Attempt
	state       RecordState
	beganAt     clock.Time
	expires     clock.Wall
	outcome     *Outcome
}

// slot is what the owner knows about one claim in one epoch.
type slot struct {
	claim   Claim
	epoch   identifier.Epoch
	records map[recordKey]*record
	// unknownUpTo is the latest time of an id that an earlier holder may have allowed.
	unknownUpTo clock.Wall
	// opaqueUntil is when opaque ids that an earlier holder allowed are out of the window.
	opaqueUntil clock.Wall
	// latestWall is the latest wall time seen. A clock that is set back must not make an id fresh again whose
	// record was dropped as too old.
	latestWall clock.Wall
	// refusedAt is when an id was last refused as not run for want of room.
	refusedAt clock.Wall
	frozen    bool
}

// Owner is the reducer of the claims' holder.
type Owner struct {
	options OwnerOptions
	slots   map[Claim]*slot
	staged  map[Claim]*staged
	expiry  expiryHeap
	bodies  bodyQueue
	records int
}

// NewOwner returns an Owner that remembers nothing.
func NewOwner(o OwnerOptions) *Owner {
	o.Window = orDefault(o.Window, DefaultWindow)
	o.RunLimit = orDefault(o.RunLimit, DefaultRunLimit)
	o.CallerSkew = orDefault(o.CallerSkew, DefaultCallerSkew)
	o.NodeSkew = orDefault(o.NodeSkew, DefaultNodeSkew)
	o.VerdictTimeout = orDefault(o.VerdictTimeout, DefaultVerdictTimeout)
	o.MaxRecords = orDefault(o.MaxRecords, DefaultMaxRecords)
	o.MaxBodyBytes = orDefault(o.MaxBodyBytes, DefaultMaxBodyBytes)
	return &Owner{options: o, slots: map[Claim]*slot{}, staged: map[Claim]*staged{}}
}

func orDefault[T int | clock.Duration](v, d T) T {
	if v == 0 {
		return d
	}
	return v
}

// slotOf returns the state for a hold, and starts anew where the hold was broken: in between another node may have
// allowed ids that this one knows nothing of. Epochs of one hold keep the state, for else the ids that this very owner
// allowed in the epoch before would be forgotten and run again.
func (o *Owner) slotOf(h Hold) *slot {
	s := o.slots[h.Claim]
	if s != nil && s.epoch >= h.beginEpoch() && s.epoch <= h.Epoch {
		s.epoch = h.Epoch
		return s
	}
	if s != nil {
		o.dropSlot(s)
	}
	s = &slot{claim: h.Claim, epoch: h.Epoch, records: map[recordKey]*record{}}
	o.slots[h.Claim] = s
	if o.adoptStaged(s, h.beginEpoch()) {
		return s
	}
	if !h.FirstHolder {
		s.unknownUpTo = h.Gained.Add(o.options.CallerSkew + o.options.NodeSkew)
		s.opaqueUntil = o.opaqueExpiry(h.Gained).Add(o.options.NodeSkew)
	}
	return s
}

// Release forgets a claim that is not held any more.
func (o *Owner) Release(c Claim) {
	if s := o.slots[c]; s != nil {
		o.dropSlot(s)
	}
}

func (o *Owner) dropSlot(s *slot) {
	for k, r := range s.records {
		o.records--
		o.dropBody(r)
		r.slot = nil
		delete(s.records, k)
	}
	delete(o.slots, s.claim)
}

// Begin judges an attempt to run an id, first asked for at that time; h must be held at this very moment.
func (o *Owner) Begin(h Hold, team identifier.Team, id ID, f Fingerprint, a Attempt, asked clock.Wall, now clock.Time, wall clock.Wall) Judgement {
	s := o.slotOf(h)
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
	r := &record{key: key, slot: s, fingerprint: f, attempt: a, state: StateRunning, beganAt: now}
	r.expires = o.expiresAt(id, s.latestWall)
	o.addRecord(r)
	return Judgement{Verdict: Run}
}

// judgeCapacity refuses new ids at the bound as not run. An attempt asked for before such a refusal may be of the
// refused id, delayed on its way; allowed later, when there is room, it would make that refusal untrue. An
// opaque id may have run before the window, so nothing is said of it.
func (o *Owner) judgeCapacity(s *slot, id ID, asked, wall clock.Wall) Judgement {
	if o.records >= o.options.MaxRecords {
		s.refusedAt = max(s.refusedAt, wall)
		return Judgement{Verdict: Full, NotRun: id.Timed}
	}
	if s.refusedAt > 0 && asked <= s.refusedAt.Add(o.options.NodeSkew) {
		return Judgement{Verdict: Full}
	}
	return Judgement{Verdict: Run}
}

// beyondPendingAttempts tells that no attempt that waits at an entry now can still wait when the id's time is acceptable.
func (o *Owner) beyondPendingAttempts(id ID, wall clock.Wall) bool {
	return id.Time > wall.Add(o.options.CallerSkew+o.options.NodeSkew+o.options.VerdictTimeout)
}

func (o *Owner) expiresAt(id ID, latestWall clock.Wall) clock.Wall {
	if id.Timed {
		return id.Time.Add(o.options.Window)
	}
	return o.opaqueExpiry(latestWall)
}

// opaqueExpiry lets the window begin when the permit reaches the entry, at the latest.
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
		// The entry asks again since the answer was lost; it holds the call, so it may run it once.
		return Judgement{Verdict: Run}
	}
	// The entry that got the permit may be gone, and then nobody will ever report.
	if now.Sub(r.beganAt) > o.options.RunLimit {
		r.state = StateUnknown
		return Judgement{Verdict: Unknown}
	}
	return Judgement{Verdict: InProgress}
}

func (o *Owner) judgeAbandoned(r *record, f Fingerprint, a Attempt, now clock.Time, latestWall clock.Wall) Judgement {
	if r.attempt == a {
		// A late copy of a request whose entry has given up: a permit would wait for a report in vain.
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

// judgeNew tells whether an id without a record can be allowed.
func (o *Owner) judgeNew(s *slot, id ID, wall clock.Wall) Verdict {
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
		// Allowed, it would be later than the line that the next holder draws, and could run again there.
		return FromFuture
	}
	return Run
}

// Finish takes in how an attempt ended. A holder that never heard of the id learns it from that.
func (o *Owner) Finish(h Hold, team identifier.Team, id ID, f Fingerprint, a Attempt, outcome Outcome, now clock.Time, wall clock.Wall) bool {
	s := o.slotOf(h)
	s.latestWall = max(s.latestWall, wall)
	if s.frozen {
		// The records are under way to the next holder, who gets the report when it is repeated.
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
		r = &record{key: key, slot: s, fingerprint: f, attempt: a, state: StateRunning, beganAt: now, expires: expires}
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

// Abandon takes in that an attempt sent nothing, so that another one may run.
func (o *Owner) Abandon(h Hold, team identifier.Team, id ID, a Attempt, wall clock.Wall) bool {
	s := o.slotOf(h)
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

// Tick drops what is out of the window.
func (o *Owner) Tick(now clock.Time, wall clock.Wall) {
	o.dropExpired(wall)
	o.dropStaged(now)
}

// Records returns how many ids are remembered.
func (o *Owner) Records() int {
	return o.records
}

func (o *Owner) addRecord(r *record) {
	r.slot.records[r.key] = r
	o.records++
	heap.Push(&o.expiry, expiryEntry{at: r.expires, record: r})
}
