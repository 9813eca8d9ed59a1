// A holder has authority only while no other node can have it. Two leases bound it: the witness's promise, renewed
// every few seconds without the log, and the long term since the holder's last record, renewed every few minutes.
//
// Example: a holds epoch 4 with witness b. At 20 s it sends b a request and b answers; a may act until 27.8 s. If b
// fails, a appends a Continuation to epoch 5 with witness c at 24 s, and c may promise before the record is read
// back.

package claimer

import (
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Requests sent in one promise term, and renewals in one long term.
const (
	promisesPerTerm = 4
	renewalsPerTerm = 10
)

func (c *Claimer) renewPeriod() clock.Duration {
	return c.options.LongTerm / renewalsPerTerm
}

// authority checks the leases at the moment of use, so that a process that was paused in the middle of an operation
// finds them expired without any event.
func (c *Claimer) authority(l *claim, now clock.Time) bool {
	switch {
	case l.holder != c.options.Self || l.released || !l.verified:
		return false
	case now < l.actFrom || now >= l.recordUntil:
		return false
	case l.witness != "" && now >= l.promise.until:
		return false
	}
	return !l.nextWitnessMayHaveTakenOver(c, now)
}

// nextWitnessMayHaveTakenOver reports whether the witness named by this node's unconfirmed Continuation may already
// have taken over. That witness may have read the record and waited for the promise term since then. It can't have
// read the record before it was sent; later only its own promise prevents a takeover. Without this check a holder
// that reads the log late would act on the old witness's promises at the same time as its successor.
func (l *claim) nextWitnessMayHaveTakenOver(c *Claimer, now clock.Time) bool {
	if l.nextPromise.witness == "" || now < l.nextPromise.until {
		return false
	}
	return now >= l.continuationSentAt.Add(c.options.shorten(c.options.PromiseTerm))
}

func (c *Claimer) tickHolder(l *claim, now clock.Time, effects []Effect) []Effect {
	if !l.verified {
		return effects
	}
	if c.leaving {
		return c.tickLeaving(l, now, effects)
	}
	effects = c.askPromise(l, &l.promise, false, now, effects)
	effects = c.continueClaim(l, now, effects)
	effects = c.askPromise(l, &l.nextPromise, false, now, effects)
	effects = c.renew(l, now, effects)
	if l.gainedEpoch != l.epoch && c.authority(l, now) {
		l.gainedEpoch = l.epoch
		effects = append(effects, Gained{Name: l.name, Epoch: l.epoch})
	}
	return c.reportLapse(l, now, effects)
}

// reportLapse reports once that a gained epoch has lost its authority.
func (c *Claimer) reportLapse(l *claim, now clock.Time, effects []Effect) []Effect {
	lapsed := l.gainedEpoch == l.epoch && !c.authority(l, now)
	if lapsed == l.lapsed {
		return effects
	}
	l.lapsed = lapsed
	if !lapsed {
		return effects
	}
	e := Lapsed{Name: l.name, Epoch: l.epoch, Lease: WitnessLease, Since: now.Sub(l.promise.sentAt)}
	switch {
	case now >= l.recordUntil:
		e.Lease = RecordLease
		e.Since = now.Sub(l.recordUntil)
	case l.nextWitnessMayHaveTakenOver(c, now):
		e.Lease = NextWitnessLease
		e.Since = now.Sub(l.continuationSentAt)
	}
	return append(effects, e)
}

func (c *Claimer) askPromise(l *claim, a *promiseState, leaving bool, now clock.Time, effects []Effect) []Effect {
	if a.witness == "" || a.number != 0 && now < a.sentAt.Add(c.options.PromiseTerm/promisesPerTerm) {
		return effects
	}
	if a.number != 0 {
		a.earlier = append(a.earlier, sentRequest{number: a.number, sentAt: a.sentAt})
		a.earlier = a.earlier[max(0, len(a.earlier)-promisesPerTerm):]
	}
	c.lastRequest++
	a.number = c.lastRequest
	a.sentAt = now
	r := PromiseRequest{Name: l.name, Epoch: a.epoch, Number: a.number, Leaving: leaving}
	return append(effects, Send{To: a.witness, Message: r})
}

// forgetRequests discards the promises, and the requests whose answers could bring further ones.
func (a *promiseState) forgetRequests() {
	a.until = 0
	a.number = 0
	a.earlier = nil
}

// sentAtOf returns when the request with a number was sent. Each promise counts from the request that it answers, so an
// answer that takes longer than the interval of the requests is worth what is left of its term.
func (a *promiseState) sentAtOf(number uint64) (clock.Time, bool) {
	if number == a.number {
		return a.sentAt, number != 0
	}
	for _, r := range a.earlier {
		if r.number == number {
			return r.sentAt, true
		}
	}
	return 0, false
}

func (c *Claimer) receivePromise(from identifier.Node, p Promise, now clock.Time) []Effect {
	l := c.byName[p.Name]
	if l == nil || l.holder != c.options.Self {
		return nil
	}
	for _, a := range []*promiseState{&l.promise, &l.nextPromise, &l.successor} {
		sentAt, ok := a.sentAtOf(p.Number)
		if !ok || a.witness != from || a.epoch != p.Epoch || a.answered >= p.Number {
			continue
		}
		a.answered = p.Number
		if !p.Given {
			continue
		}
		a.until = max(a.until, sentAt.Add(c.options.shorten(c.options.PromiseTerm)))
		if a == &l.promise {
			l.witnessTimeoutAt = a.until.Add(-c.options.PromiseTerm / 2)
		}
	}
	return c.tickHolder(l, now, nil)
}

// continueClaim names a new witness if the current one hasn't promised for half of the promise term, or is no longer
// a member. It doesn't wait for the timeout of a witness that has left: in a rolling restart the next planned stop
// may come earlier, and the claim would have no successor ready. It names no third witness until the log has shown
// whether the second is in effect, since each named witness may take over.
func (c *Claimer) continueClaim(l *claim, now clock.Time, effects []Effect) []Effect {
	if !c.mayAppend(l, now) {
		return effects
	}
	continuationPending := l.nextPromise.epoch == l.epoch+1
	if !continuationPending {
		w := c.pickWitness(l, c.options.Self, l.witness)
		silent := l.witness != "" && now >= l.witnessTimeoutAt
		missing := l.witness == "" && w != ""
		left := w != "" && w != l.witness && !slices.Contains(c.members, l.witness)
		if !silent && !missing && !left {
			return effects
		}
		l.nextPromise = promiseState{witness: w, epoch: l.epoch + 1}
		l.continuationSentAt = now
	}
	r := Claim{Kind: Continuation, Epoch: l.epoch + 1, Holder: c.options.Self, Witness: l.nextPromise.witness}
	return c.appendRecord(l, r, now, effects)
}

func (c *Claimer) renew(l *claim, now clock.Time, effects []Effect) []Effect {
	due := now >= l.renewAt || l.recordUntil == 0
	if !due || !c.mayAppend(l, now) {
		return effects
	}
	r := Claim{Kind: Renew, Epoch: l.epoch, Holder: c.options.Self, Witness: l.witness}
	return c.appendRecord(l, r, now, effects)
}

// Leave starts the handover of all claims; outstanding is how long anything granted by this node can still be used.
// The handover is complete when Left returns true.
func (c *Claimer) Leave(outstanding clock.Duration, now clock.Time) []Effect {
	if c.leaving {
		return nil
	}
	c.leaving = true
	c.outstanding = outstanding
	var effects []Effect
	for _, l := range c.claims {
		l.candidateAt = clock.Never
		if l.holder != c.options.Self {
			continue
		}
		effects = c.tickLeaving(l, now, effects)
	}
	return effects
}

// Left reports whether this node is leaving and holds no claim, according to the records that it has read.
func (c *Claimer) Left() bool {
	for _, l := range c.claims {
		if l.known && l.holder == c.options.Self {
			return false
		}
	}
	return c.leaving
}

// tickLeaving first notifies the successor, and the holder keeps its authority meanwhile. The successor's long term
// then counts from that notice, which precedes the record; a successor without notice must first append a record of
// its own.
func (c *Claimer) tickLeaving(l *claim, now clock.Time, effects []Effect) []Effect {
	if l.successor.witness == "" {
		l.successor = promiseState{witness: c.pickSuccessor(l), epoch: l.epoch}
		l.successorTimeoutAt = now.Add(c.options.AppendRetry)
	}
	if l.successor.witness == "" || !c.logUp {
		return effects
	}
	if !l.released {
		effects = c.askPromise(l, &l.promise, false, now, effects)
		effects = c.renew(l, now, effects)
		effects = c.askPromise(l, &l.successor, true, now, effects)
		if l.successor.answered == 0 && now < l.successorTimeoutAt {
			return effects
		}
		l.released = true
		l.nextAppendAt = 0
	}
	if l.gainedEpoch != 0 {
		l.gainedEpoch = 0
		effects = append(effects, Lost{Name: l.name})
	}
	if !c.mayAppend(l, now) {
		return effects
	}
	r := Claim{
		Kind: Handover, Epoch: l.epoch + 1, Holder: l.successor.witness,
		Witness: c.pickWitness(l, l.successor.witness, ""), Outstanding: c.outstandingOf(l) + max(0, l.actFrom.Sub(now)),
	}
	return c.appendRecord(l, r, now, effects)
}

func (c *Claimer) outstandingOf(l *claim) clock.Duration {
	if c.options.skipsWaitOut(l.name) {
		return 0
	}
	return c.outstanding
}

// SuccessorOf returns the node that would get a claim of this node if this node left now.
func (c *Claimer) SuccessorOf(n Name) (identifier.Node, bool) {
	l := c.byName[n]
	if l == nil || l.holder != c.options.Self {
		return "", false
	}
	if l.successor.witness != "" {
		return l.successor.witness, true
	}
	successor := c.pickSuccessor(l)
	return successor, successor != ""
}
