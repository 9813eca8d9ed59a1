// Every reader applies the records of a name in log order by the same rules, so all agree on the holder of each epoch
// without further messages.
//
// Example: after Claim{Epoch: 4, Holder: a, Witness: b} the records Takeover{Epoch: 5, By: b} and then
// Continuation{Epoch: 5, By: a} make b the holder of epoch 5; a reads them in this order and stops.

package claimer

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// isEffective reports whether the record takes effect after the records read before it.
func (l *claim) isEffective(r Claim) bool {
	if !l.known {
		return true
	}
	if r.Kind == Renew {
		return l.isRenewalEffective(r)
	}
	if r.Kind == Found {
		return l.lastOffset < r.Start && r.Epoch > l.epoch
	}
	if r.Epoch != l.epoch+1 {
		return false
	}
	switch r.Kind {
	case Takeover:
		return r.By == l.witness
	case Continuation, Handover:
		return r.By == l.holder
	case Seizure:
		// A renewal that precedes the seizure on the log defeats it, even if the seizing node read the renewal later.
		return r.After == l.lastOffset
	}
	return false
}

// isRenewalEffective accepts a renewal by the current holder. It also lets a renewal correct a reader that started in
// the middle of the log and may have applied a record that lost its epoch. Only a node that has read that its own
// record took effect renews, so a renewal of the same or a newer epoch is correct.
func (l *claim) isRenewalEffective(r Claim) bool {
	if r.Epoch == l.epoch && r.Holder == l.holder {
		return true
	}
	return r.Epoch > l.epoch || r.Epoch == l.epoch && !l.verified
}

// ReadRecord handles the next record of the log. Records come in order of their offsets; repeated records are
// ignored.
func (c *Claimer) ReadRecord(offset identifier.Offset, r Claim, now clock.Time) []Effect {
	l := c.byName[r.Name]
	if l == nil {
		l = c.add(r.Name, true)
	}
	if offset <= l.lastReadOffset {
		return nil
	}
	l.lastReadOffset = offset
	if !l.isEffective(r) {
		return c.dropLostContinuation(l, r)
	}
	return c.applyRecord(l, offset, r, now)
}

func (c *Claimer) applyRecord(l *claim, offset identifier.Offset, r Claim, now clock.Time) []Effect {
	var effects []Effect
	self := c.options.Self
	wasHolder := l.known && l.holder == self
	changed := !l.known || r.Epoch != l.epoch || r.Holder != l.holder
	if c.verifiesChain(l, r) {
		l.verified = true
	}
	l.known = true
	l.epoch = r.Epoch
	l.holder = r.Holder
	l.witness = r.Witness
	l.lastOffset = offset
	l.readAt = now
	l.candidateAt = clock.Never
	if wasHolder && r.Holder != self {
		effects = c.loseClaim(l, effects)
	}
	if changed {
		l.epochReadAt = now
		l.nextAppendAt = 0
		c.startEpoch(l, r, wasHolder, now)
	}
	if r.Holder == self {
		c.extendRecordLease(l, r)
		return c.tickHolder(l, now, effects)
	}
	return effects
}

// verifiesChain reports whether the record is a safe start of a chain of records: a Found record before which the
// reader would have seen any other record of the name, or a renewal, by which a node confirms that its record took
// effect. Without this check a node that skipped its rival's record would act on its own losing record.
func (c *Claimer) verifiesChain(l *claim, r Claim) bool {
	if r.Kind == Renew {
		return true
	}
	return r.Kind == Found && (l.known || c.logStart <= r.Start)
}

// startEpoch resets the state that belongs to the previous epoch.
func (c *Claimer) startEpoch(l *claim, r Claim, wasHolder bool, now clock.Time) {
	if r.Holder != c.options.Self {
		l.promise = promiseState{}
		l.nextPromise = promiseState{}
		return
	}
	l.witnessTimeoutAt = now.Add(c.options.PromiseTerm / 2)
	l.promise = promiseState{witness: r.Witness, epoch: r.Epoch}
	if l.nextPromise.witness == r.Witness && l.nextPromise.epoch == r.Epoch {
		l.promise = l.nextPromise
	}
	// The witness that a record names waits a promise term from its reading of the record, so the sending of the record
	// counts like a request that was answered.
	if sentAt, ok := l.sentAt(r, c.options.Self); ok && sentAt >= c.pauseSeenAt {
		l.promise.until = max(l.promise.until, min(sentAt, now).Add(c.options.shorten(c.options.PromiseTerm)))
	}
	l.nextPromise = promiseState{}
	l.successor = promiseState{}
	l.released = l.released && c.leaving
	if !wasHolder {
		l.actFrom = now.Add(c.waitOut(r))
		l.recordUntil = 0
	}
}

func (c *Claimer) waitOut(r Claim) clock.Duration {
	switch {
	case r.Kind == Handover:
		return r.Outstanding
	case r.Kind == Found && r.Start == 0:
		return 0 // the log is complete, so the name never had a holder
	case c.options.skipsWaitOut(r.Name):
		return c.options.Margin
	}
	return c.options.WaitOut + c.options.Margin
}

// extendRecordLease extends the holder's long term. It counts from the sending of the record, since the long term of
// the other nodes starts when they read it, which is later.
func (c *Claimer) extendRecordLease(l *claim, r Claim) {
	sentAt, ok := l.sentAt(r, c.options.Self)
	if r.Kind == Handover && l.handoverNoticeEpoch == r.Epoch-1 {
		sentAt, ok = l.handoverNoticeAt, true
	}
	if !ok {
		return
	}
	l.recordUntil = max(l.recordUntil, sentAt.Add(c.options.shorten(c.options.LongTerm)))
	l.renewAt = max(l.renewAt, sentAt.Add(c.renewPeriod()))
}

func (l *claim) sentAt(r Claim, self identifier.Node) (clock.Time, bool) {
	if r.By != self {
		return 0, false
	}
	for _, a := range l.attempts {
		if a.number == r.Attempt {
			return a.sentAt, true
		}
	}
	return 0, false
}

// dropLostContinuation discards this node's Continuation if another record of its epoch took effect first; that
// record has been applied already.
func (c *Claimer) dropLostContinuation(l *claim, r Claim) []Effect {
	if r.By == c.options.Self && r.Epoch == l.nextPromise.epoch && r.Epoch <= l.epoch {
		l.nextPromise = promiseState{}
	}
	return nil
}

func (c *Claimer) loseClaim(l *claim, effects []Effect) []Effect {
	l.promise = promiseState{}
	l.nextPromise = promiseState{}
	l.recordUntil = 0
	if l.gainedEpoch == 0 {
		return effects
	}
	l.gainedEpoch = 0
	return append(effects, Lost{Name: l.name})
}
