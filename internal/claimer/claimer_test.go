// Tests of the rules by which all readers agree on the holder of a claim, and of the times from which leases count.
// Claims under faults are fuzzed together with the rates, in package granter.

package claimer

import (
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

func newClaimer(self identifier.Node) *Claimer {
	c := New(Options{Self: self, Names: []Name{"n"}, Rand: rand.New(rand.NewPCG(1, 1))})
	c.SetMembers([]identifier.Node{"a", "b", "c"}, 0)
	c.SetLog(true, 0, 0)
	return c
}

// If readers disagreed, two nodes could act for one claim, and operators would see different holders. All readers
// must derive the same holder from the same records, whatever was appended late, twice, or by a node that had missed
// records.
func TestRecordsTakeEffectInLogOrder(t *testing.T) {
	found := Claim{Name: "n", Kind: Found, Epoch: 1, Holder: "x", Witness: "y", By: "x"}
	second := Claim{Name: "n", Kind: Takeover, Epoch: 2, Holder: "y", Witness: "z", By: "y"}
	tables := map[string]struct {
		records []Claim
		holder  identifier.Node
		epoch   identifier.Epoch
	}{
		"witness takes over":             {[]Claim{found, second}, "y", 2},
		"second record of an epoch":      {[]Claim{found, second, {Kind: Continuation, Epoch: 2, Holder: "x", By: "x"}}, "y", 2},
		"continuation first":             {[]Claim{found, {Kind: Continuation, Epoch: 2, Holder: "x", Witness: "z", By: "x"}, second}, "x", 2},
		"takeover by another":            {[]Claim{found, {Kind: Takeover, Epoch: 2, Holder: "z", By: "z"}}, "x", 1},
		"renewal of a lost epoch":        {[]Claim{found, second, {Kind: Renew, Epoch: 1, Holder: "x", By: "x"}}, "y", 2},
		"epoch skipped":                  {[]Claim{found, {Kind: Takeover, Epoch: 3, Holder: "y", By: "y"}}, "x", 1},
		"repeated takeover":              {[]Claim{found, second, second}, "y", 2},
		"handover":                       {[]Claim{found, {Kind: Handover, Epoch: 2, Holder: "z", By: "x"}}, "z", 2},
		"handover by another":            {[]Claim{found, {Kind: Handover, Epoch: 2, Holder: "z", By: "y"}}, "x", 1},
		"seizure":                        {[]Claim{found, {Kind: Seizure, Epoch: 2, Holder: "z", By: "z", After: 0}}, "z", 2},
		"seizure, but renewed":           {[]Claim{found, {Kind: Renew, Epoch: 1, Holder: "x", Witness: "y", By: "x"}, {Kind: Seizure, Epoch: 2, Holder: "z", By: "z", After: 0}}, "x", 1},
		"found again":                    {[]Claim{found, {Kind: Found, Epoch: 1, Holder: "z", By: "z"}}, "x", 1},
		"found, earlier records dropped": {[]Claim{found, {Kind: Found, Epoch: 9, Holder: "z", By: "z", Start: 8}}, "z", 9},
	}
	for name, c := range tables {
		t.Run(name, func(t *testing.T) {
			r := newClaimer("a")
			for i, record := range c.records {
				record.Name = "n"
				r.ReadRecord(identifier.Offset(i), record, 0)
				r.ReadRecord(0, second, 0) // repeated in the log tail sent by a peer
			}
			holder, epoch, _ := r.HolderOf("n")
			assert.Equal(t, holder, c.holder)
			assert.Equal(t, epoch, c.epoch)
		})
	}
}

// A busy witness answers late. Its promise may end soon after, and then the witness takes the claim over; a holder
// that counted from the answer would act at the same time.
func TestPromiseTermCountsFromRequest(t *testing.T) {
	for answered, held := range map[clock.Time]bool{2000: true, 9000: false} {
		c := newClaimer("a")
		var record Claim
		for now := clock.Time(0); record.Name == ""; now += 100 {
			for _, e := range c.Tick(now) {
				record = e.(Append).Record
			}
			assert.Check(t, now < 20_000)
		}
		q := c.ReadRecord(0, record, 1000)[0].(Send)
		p := Promise{Name: "n", Epoch: 1, Number: q.Message.(PromiseRequest).Number, Given: true}
		c.Receive(q.To, p, answered)
		_, ok := c.Holds("n", answered)
		assert.Equal(t, ok, held)
		_, ok = c.Holds("n", 8799)
		assert.Check(t, ok, "the promise lasts 7.8 s from the request at 1 s")
		_, ok = c.Holds("n", 8800)
		assert.Check(t, !ok)
	}
}

// A node that starts to read in the middle of the log may apply a record that lost its epoch, until the winner
// renews. It must not act on, or promise wrongly from, a chain of records that it hasn't verified.
func TestUnverifiedReaderHasNoAuthority(t *testing.T) {
	c := newClaimer("a")
	c.ReadRecord(0, Claim{Name: "n", Kind: Found, Epoch: 1, Holder: "x", Witness: "a", By: "x"}, 0)
	takeover := c.Tick(20_000)[0].(Append).Record
	c.SkipRecords(50, 20_100)
	assert.Equal(t, len(c.ReadRecord(50, takeover, 20_200)), 0)
	c.Receive(takeover.Witness, Promise{Name: "n", Epoch: 2, Number: 1, Given: true}, 20_300)
	_, ok := c.Holds("n", 24_000)
	assert.Check(t, !ok)
	c.ReadRecord(51, Claim{Name: "n", Kind: Renew, Epoch: 2, Holder: "x", Witness: "b", By: "x"}, 24_100)
	holder, _, _ := c.HolderOf("n")
	assert.Equal(t, holder, identifier.Node("x"))
}

// newHolder returns a claimer at a that took n over and has a promise that counts from 9100.
func newHolder(t *testing.T) (c *Claimer, witness identifier.Node, number uint64) {
	c = newClaimer("a")
	c.ReadRecord(0, Claim{Name: "n", Kind: Found, Epoch: 1, Holder: "x", Witness: "a", By: "x"}, 0)
	takeover := c.Tick(9000)[0].(Append).Record
	q := c.ReadRecord(1, takeover, 9100)[0].(Send)
	number = q.Message.(PromiseRequest).Number
	c.Receive(q.To, Promise{Name: "n", Epoch: 2, Number: number, Given: true}, 9110)
	_, ok := c.Holds("n", 13_000)
	assert.Check(t, ok, "the holder has authority after the wait-out")
	return c, q.To, number
}

// The holder replaces a slow witness, but its Continuation is delayed as well. The new witness may read the record
// first and take over eight seconds later, while the old witness answers again; both nodes would act.
func TestOldWitnessPromisesEndAfterContinuation(t *testing.T) {
	c, witness, firstNumber := newHolder(t)
	var continuationSentAt clock.Time
	for now := clock.Time(13_000); now < 30_000; now += 100 {
		for _, e := range c.Tick(now) {
			s, ok := e.(Send)
			switch {
			case !ok && continuationSentAt == 0 && e.(Append).Record.Kind == Continuation:
				continuationSentAt = now
			case ok && s.To == witness && now > 13_500:
				c.Receive(witness, Promise{Name: "n", Epoch: 2, Number: s.Message.(PromiseRequest).Number, Given: true}, now)
			}
		}
		c.Receive(witness, Promise{Name: "n", Epoch: 2, Number: firstNumber, Given: true}, now)
		_, ok := c.Holds("n", now)
		assert.Equal(t, ok, continuationSentAt == 0 || now < continuationSentAt+7800, "at %d ms; continuation sent at %d ms", now, continuationSentAt)
	}
	assert.Check(t, continuationSentAt > 0)
}

// A late answer to an earlier request must not extend the lease as if it answered a later one.
func TestPromiseForEarlierRequestIsIgnored(t *testing.T) {
	c, witness, firstNumber := newHolder(t)
	c.Tick(14_000)
	c.Receive(witness, Promise{Name: "n", Epoch: 2, Number: firstNumber, Given: true}, 14_010)
	_, ok := c.Holds("n", 17_000)
	assert.Check(t, !ok)
}

// A successor that reads the handover late would count its long term from a later time than the nodes that may seize
// the claim. Without a notice that precedes the record it has to append a record of its own.
func TestSuccessorTermCountsFromHandoverNotice(t *testing.T) {
	for _, noticed := range []bool{true, false} {
		c := newClaimer("a")
		c.ReadRecord(0, Claim{Name: "n", Kind: Found, Epoch: 1, Holder: "x", Witness: "a", By: "x"}, 0)
		c.Receive("x", PromiseRequest{Name: "n", Epoch: 1, Number: 1, Leaving: noticed}, 500)
		e := c.ReadRecord(1, Claim{Name: "n", Kind: Handover, Epoch: 2, Holder: "a", Witness: "b", By: "x"}, 5000)
		number := e[0].(Send).Message.(PromiseRequest).Number
		c.Receive("b", Promise{Name: "n", Epoch: 2, Number: number, Given: true}, 5001)
		_, ok := c.Holds("n", 5002)
		assert.Equal(t, ok, noticed)
		if noticed {
			assert.Equal(t, c.Dump(5000)[0].RecordUntil, clock.Time(500+3_510_000))
		} else {
			assert.Equal(t, e[len(e)-1].(Append).Record.Kind, Renew)
		}
	}
}

// Guards against holders that stop acting, and banks that refuse within the rate, from the reading of their own record
// until the first answer of the witness that it names.
func TestHolderActsFromRecordThatNamesWitness(t *testing.T) {
	c, witness, _ := newHolder(t)
	c.SetMembers(slices.DeleteFunc([]identifier.Node{"a", "b", "c"}, func(n identifier.Node) bool { return n == witness }), 14_000)
	var continuation Claim
	for _, e := range c.Tick(14_000) {
		if a, ok := e.(Append); ok {
			continuation = a.Record
		}
	}
	assert.Equal(t, continuation.Kind, Continuation)
	c.ReadRecord(2, continuation, 14_100)
	for now, held := range map[clock.Time]bool{14_100: true, 14_000 + 7799: true, 14_000 + 7800: false} {
		_, ok := c.Holds("n", now)
		assert.Equal(t, ok, held, "at %d ms; record sent at 14000 ms", now)
	}
}

// Guards against holders that stop acting because each promise arrives after the next request was sent.
func TestPromiseCountsAfterNextRequest(t *testing.T) {
	c, witness, _ := newHolder(t)
	numbers := map[clock.Time]uint64{}
	for now := clock.Time(9200); now <= 16_000; now += 100 {
		for _, e := range c.Tick(now) {
			if s, ok := e.(Send); ok && s.To == witness {
				numbers[now] = s.Message.(PromiseRequest).Number
			}
		}
		const roundTrip = 2500
		if n, ok := numbers[now.Add(-roundTrip)]; ok {
			c.Receive(witness, Promise{Name: "n", Epoch: 2, Number: n, Given: true}, now)
		}
	}
	assert.Check(t, len(numbers) >= 3)
	_, ok := c.Holds("n", 18_000)
	assert.Check(t, ok, "requests were answered until 16000 ms")
}
