// A witness promises not to take a claim over for a term, and takes it over when the holder has let the promise
// expire. This needs no record, so regular heartbeats don't load the log.
//
// Example: b promised a at 20.0 s. No further request arrives, so at 28.2 s b appends the Takeover; from then on it
// refuses a's requests, since the record may take effect at any later time, even if the append seemed to fail.

package claimer

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

func (c *Claimer) receiveRequest(from identifier.Node, r PromiseRequest, now clock.Time) []Effect {
	l := c.byName[r.Name]
	given := l != nil && c.mayPromise(l, from, r)
	if given {
		l.promisedUntil = max(l.promisedUntil, now.Add(c.options.PromiseTerm))
	}
	if given && r.Leaving && l.handoverNoticeEpoch != r.Epoch {
		l.handoverNoticeEpoch = r.Epoch
		l.handoverNoticeAt = now
	}
	p := Promise{Name: r.Name, Epoch: r.Epoch, Number: r.Number, Given: given}
	return []Effect{Send{To: from, Message: p}}
}

// A promise may be given for an epoch that this node hasn't read yet, since not taking over is always safe.
func (c *Claimer) mayPromise(l *claim, from identifier.Node, r PromiseRequest) bool {
	if l.takeoverEpoch > r.Epoch {
		return false
	}
	if l.known && l.epoch == r.Epoch {
		return l.holder == from
	}
	return !l.known || l.epoch < r.Epoch
}

func (c *Claimer) tickWitness(l *claim, now clock.Time, effects []Effect) []Effect {
	// A holder that has just named this node as its witness acts on the time since it sent the record, which is
	// before epochReadAt.
	takeoverFrom := max(l.promisedUntil, l.epochReadAt.Add(c.options.PromiseTerm))
	if c.leaving || now <= takeoverFrom.Add(c.options.Margin) || !c.mayAppend(l, now) {
		return effects
	}
	l.takeoverEpoch = l.epoch + 1
	r := Claim{
		Kind: Takeover, Epoch: l.epoch + 1, Holder: c.options.Self,
		Witness: c.pickWitness(l, c.options.Self, l.holder),
	}
	return c.appendRecord(l, r, now, effects)
}
