// A Claimer handles all claims at its node: as reader of the log, as holder, as witness and as candidate. These four
// parts are in reader.go, holder.go, witness.go and candidate.go; this file contains the state and the event
// handlers.
//
// Example: New at node a, SetLog(true, 0, 0), SetMembers([a b], 0) and some ticks return Append{Claim{Kind: Found}};
// ReadRecord of that record returns a PromiseRequest to b, and Receive of b's Promise returns Gained.

package claimer

import (
	"slices"
	"strings"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// promiseState is the state of the promise requests to one witness.
type promiseState struct {
	witness identifier.Node
	epoch   identifier.Epoch
	// number and sentAt are of the latest request, earlier holds those before it whose promises could still count.
	number  uint64
	sentAt  clock.Time
	earlier []sentRequest
	// answered is the number of the last request that was answered.
	answered uint64
	// until is the latest end of a promise received.
	until clock.Time
}

// sentRequest is a promise request that was followed by another one.
type sentRequest struct {
	number uint64
	sentAt clock.Time
}

type attempt struct {
	number uint64
	sentAt clock.Time
}

// claim is the state of one name at this node.
type claim struct {
	name    Name
	watched bool

	// According to the log.
	known bool
	// verified means that the records read form a chain from a safe start (see verifiesChain), so that no
	// other record has won the epoch.
	verified bool
	epoch    identifier.Epoch
	holder   identifier.Node
	witness  identifier.Node
	// lastOffset is the offset of the last record that took effect, lastReadOffset that of the last record read; readAt
	// and epochReadAt are when the last effective record and the first one of the epoch were read.
	lastOffset     identifier.Offset
	lastReadOffset identifier.Offset
	readAt         clock.Time
	epochReadAt    clock.Time

	// As holder. It may act from actFrom, when nothing granted by the previous holder can be used any more, until
	// recordUntil, when the long term since its last record ends; the next record is due at renewAt.
	recordUntil clock.Time
	actFrom     clock.Time
	renewAt     clock.Time
	promise     promiseState
	// witnessTimeoutAt is when a witness that doesn't answer is replaced, successorTimeoutAt when a successor's
	// answer is no longer waited for.
	witnessTimeoutAt   clock.Time
	successor          promiseState
	successorTimeoutAt clock.Time
	gainedEpoch        identifier.Epoch
	// lapsed is set while a gained epoch is without authority.
	lapsed bool
	// released is set once this holder has stopped acting in order to hand the claim over.
	released bool
	// nextPromise is for the witness named by a Continuation of this node that it has not yet read back.
	nextPromise        promiseState
	continuationSentAt clock.Time

	// As a node that appends records.
	attempts     []attempt
	nextAppendAt clock.Time

	// As witness.
	promisedUntil       clock.Time
	takeoverEpoch       identifier.Epoch
	handoverNoticeEpoch identifier.Epoch
	handoverNoticeAt    clock.Time

	// As candidate.
	candidateAt clock.Time
	jitter      clock.Duration
}

// Claimer is the state of all claims at one node; create it with New.
type Claimer struct {
	options     Options
	claims      []*claim
	byName      map[Name]*claim
	members     []identifier.Node
	logUp       bool
	logUpAt     clock.Time
	logStart    identifier.Offset
	leaving     bool
	outstanding clock.Duration
	lastTick    clock.Time
	// pauseSeenAt is when a pause of the process was last detected.
	pauseSeenAt clock.Time
	// lastAttempt and lastRequest are the numbers last given to an append and to a promise request.
	lastAttempt uint64
	lastRequest uint64
}

// New returns a Claimer that has read no record and knows no members.
func New(o Options) *Claimer {
	o.setDefaults()
	c := &Claimer{options: o, byName: map[Name]*claim{}}
	for _, n := range o.Names {
		c.add(n, false)
	}
	for _, l := range c.claims {
		l.jitter = clock.Duration(o.Rand.Int64N(int64(maxJitter)))
	}
	return c
}

// Names that are not configured at this node can appear on the log, since the failure domains are only known from the
// preset. Such a claim is watched: this node is no candidate, but knows its holder and can send requests to it.
func (c *Claimer) add(n Name, watched bool) *claim {
	if l := c.byName[n]; l != nil {
		return l
	}
	l := &claim{name: n, watched: watched, lastOffset: -1, lastReadOffset: -1, candidateAt: clock.Never}
	c.byName[n] = l
	i, _ := slices.BinarySearchFunc(c.claims, n, func(l *claim, n Name) int {
		return strings.Compare(string(l.name), string(n))
	})
	c.claims = slices.Insert(c.claims, i, l)
	return l
}

// Holds reports whether this node may act for the name at this time, and under which epoch.
func (c *Claimer) Holds(n Name, now clock.Time) (identifier.Epoch, bool) {
	l := c.byName[n]
	if l == nil || !c.authority(l, now) {
		return 0, false
	}
	return l.epoch, true
}

// HolderOf returns the holder and epoch according to the log; the holder need not have authority at this time.
func (c *Claimer) HolderOf(n Name) (identifier.Node, identifier.Epoch, bool) {
	l := c.byName[n]
	if l == nil || !l.known {
		return "", 0, false
	}
	return l.holder, l.epoch, true
}

// SetMembers sets the live members of this node's domain, sorted and including this node.
func (c *Claimer) SetMembers(m []identifier.Node, now clock.Time) []Effect {
	c.members = slices.Clone(m)
	for _, l := range c.claims {
		c.scheduleCandidate(l, now)
	}
	return nil
}

// SetLog sets whether the log can be read to its end and appended to, and the first offset that it still contained when
// this process began to read.
func (c *Claimer) SetLog(up bool, start identifier.Offset, now clock.Time) []Effect {
	if up == c.logUp {
		return nil
	}
	c.logUp = up
	c.logUpAt = now
	c.logStart = start
	for _, l := range c.claims {
		c.scheduleCandidate(l, now)
	}
	return nil
}

// SkipRecords must be called when the log has dropped records which this node had not read. The node's state may be
// outdated, so it gives up authority over all claims, and accepts the next renewal of each as correct.
func (c *Claimer) SkipRecords(start identifier.Offset, now clock.Time) []Effect {
	var effects []Effect
	c.logStart = start
	for _, l := range c.claims {
		l.verified = false
		l.known = false
		if l.holder == c.options.Self {
			effects = c.loseClaim(l, effects)
		}
		l.holder = ""
		l.witness = ""
		c.scheduleCandidate(l, now)
	}
	return effects
}

// Receive handles a PromiseRequest or a Promise from another node.
func (c *Claimer) Receive(from identifier.Node, message any, now clock.Time) []Effect {
	switch m := message.(type) {
	case PromiseRequest:
		return c.receiveRequest(from, m, now)
	case Promise:
		return c.receivePromise(from, m, now)
	}
	return nil
}

// Tick performs all due work; call it several times a second.
func (c *Claimer) Tick(now clock.Time) []Effect {
	c.detectPause(now)
	var effects []Effect
	for _, l := range c.claims {
		switch {
		case l.known && l.holder == c.options.Self:
			effects = c.tickHolder(l, now, effects)
		case l.known && l.witness == c.options.Self:
			effects = c.tickWitness(l, now, effects)
		}
		effects = c.tickCandidate(l, now, effects)
	}
	return effects
}

// detectPause discards promises after a pause of the process. Leases are checked against the clock in any case; but
// if the machine was suspended and its clock stood still for part of that time, the gap between ticks is the only
// sign, and a promise received before it must not count.
func (c *Claimer) detectPause(now clock.Time) {
	gap := now.Sub(c.lastTick)
	c.lastTick = now
	if gap <= c.options.PauseBound {
		return
	}
	c.pauseSeenAt = now
	for _, l := range c.claims {
		l.promise.forgetRequests()
		l.nextPromise.forgetRequests()
		l.witnessTimeoutAt = now.Add(c.options.PromiseTerm / 2)
	}
}

// appendRecord assigns the record an attempt number and stores when it was sent.
func (c *Claimer) appendRecord(l *claim, r Claim, now clock.Time, effects []Effect) []Effect {
	const attemptsKept = 16
	c.lastAttempt++
	r.Name = l.name
	r.By = c.options.Self
	r.Attempt = c.lastAttempt
	if len(l.attempts) == attemptsKept {
		l.attempts = slices.Delete(l.attempts, 0, 1)
	}
	l.attempts = append(l.attempts, attempt{number: c.lastAttempt, sentAt: now})
	l.nextAppendAt = now.Add(c.options.AppendRetry)
	return append(effects, Append{Record: r})
}

func (c *Claimer) mayAppend(l *claim, now clock.Time) bool {
	return c.logUp && now >= l.nextAppendAt
}
