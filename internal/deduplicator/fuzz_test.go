package deduplicator_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/deduplicator"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

type fuzz struct {
	w   *simulation
	ids []deduplicator.ID
}

func (f *fuzz) node(t *rapid.T) *node {
	return f.w.nodes[rapid.IntRange(0, len(f.w.nodes)-1).Draw(t, "node")]
}

func (f *fuzz) claimState(t *rapid.T) *claimState {
	if len(f.ids) == 0 {
		t.Skip("no ids")
	}
	id := rapid.SampledFrom(f.ids).Draw(t, "id")
	return f.w.claimState(deduplicator.ClaimOf("team", id))
}

func (f *fuzz) takePermit(t *rapid.T) deduplicator.CallID {
	if len(f.w.permits) == 0 {
		t.Skip("no permit")
	}
	i := rapid.IntRange(0, len(f.w.permits)-1).Draw(t, "permit")
	id := f.w.permits[i]
	f.w.permits = slices.Delete(f.w.permits, i, i+1)
	return id
}

func (f *fuzz) retry(t *rapid.T, fingerprint deduplicator.Fingerprint) {
	if len(f.ids) == 0 {
		t.Skip("no ids")
	}
	f.w.call(f.node(t), rapid.SampledFrom(f.ids).Draw(t, "id"), fingerprint)
}

func (f *fuzz) actions() map[string]func(*rapid.T) {
	w := f.w
	return map[string]func(*rapid.T){
		"call": func(t *rapid.T) {
			ahead := clock.Duration(rapid.IntRange(-3000, 3000).Draw(t, "ahead"))
			id := w.newID(ahead, rapid.IntRange(0, 2).Draw(t, "kind"))
			f.ids = append(f.ids, id)
			w.call(f.node(t), id, 1)
		},
		"retry":       func(t *rapid.T) { f.retry(t, 1) },
		"retry again": func(t *rapid.T) { f.retry(t, 1) },
		"other body":  func(t *rapid.T) { f.retry(t, 2) },
		"run": func(t *rapid.T) {
			id := f.takePermit(t)
			w.run(id)
			if rapid.Bool().Draw(t, "ends") {
				w.finish(id, rapid.IntRange(0, 4).Draw(t, "unknown") == 0)
			}
		},
		"nothing sent": func(t *rapid.T) {
			id := f.takePermit(t)
			e := w.calls[id].entry
			w.performEffects(e, e.asker.Abandon(id, w.now))
		},
		"take over": func(t *rapid.T) { w.takeOver(f.claimState(t), f.node(t)) },
		"hand over": func(t *rapid.T) {
			h := f.claimState(t)
			if next := f.node(t); next != h.holder {
				h.next = next
				w.export(h)
			}
		},
		"replace": func(t *rapid.T) {
			i := rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")
			old := w.nodes[i]
			w.nodes[i] = w.start()
			for _, c := range append(deduplicator.Claims(""), deduplicator.Claims("north")...) {
				if h := w.claims[c]; h != nil && h.holder == old {
					w.takeOver(h, f.node(t))
				}
			}
			w.permits = slices.DeleteFunc(w.permits, func(c deduplicator.CallID) bool { return w.calls[c].entry == old })
		},
		"clock": func(t *rapid.T) {
			f.node(t).skew = clock.Duration(rapid.IntRange(-250, 250).Draw(t, "skew"))
		},
		"loss":      func(t *rapid.T) { w.loss = rapid.SampledFrom([]float64{0, 0.2, 0.5}).Draw(t, "loss") },
		"wait":      func(t *rapid.T) { w.wait(clock.Duration(rapid.IntRange(1, 1000).Draw(t, "span"))) },
		"wait long": func(t *rapid.T) { w.wait(clock.Duration(rapid.IntRange(1000, 25_000).Draw(t, "span"))) },
		"":          func(t *rapid.T) { f.check(t) },
	}
}

func (f *fuzz) check(t *rapid.T) {
	assert.Equal(t, f.w.fault, "")
	for _, m := range f.w.nodes {
		// A handover may exceed the bound, since no id that ran may be dropped.
		assert.Assert(t, f.w.recordBound > 100 || m.owner.Records() <= f.w.recordBound*len(f.w.nodes)*2)
	}
}

// checkRecovery ends the faults. A new id must then run, its retry must get the outcome, and a planned handover must
// leave no id unknown.
func (f *fuzz) checkRecovery(t *rapid.T) {
	w := f.w
	w.loss = 0
	w.wait(2*window + 25*clock.Second)
	for _, kind := range []int{0, 1, 2} {
		id := w.newID(0, kind)
		h := w.claimState(deduplicator.ClaimOf("team", id))
		w.takeOver(h, w.nodes[0])
		// An opaque id runs only after the window has passed for all ids that an earlier holder allowed.
		w.wait(2 * clock.Second)
		if kind == 2 {
			w.wait(window + 5*clock.Second)
		} else {
			id = w.newIDFor(h.hold.Claim, kind)
		}
		first := w.call(w.nodes[1], id, 1)
		w.wait(clock.Second)
		assert.Equal(t, w.verdicts[first], "permit", "kind %d", kind)
		w.permits = slices.DeleteFunc(w.permits, func(c deduplicator.CallID) bool { return c == first })
		w.run(first)
		w.finish(first, false)
		// A report may be sent to a node that isn't the owner, more than once.
		w.wait(4 * clock.Second)
		h.next = w.nodes[1]
		w.export(h)
		w.wait(clock.Second)
		assert.Equal(t, h.holder, w.nodes[1])
		again := w.call(w.nodes[2], id, 1)
		w.wait(4 * clock.Second)
		assert.Equal(t, w.verdicts[again], "replay", "kind %d", kind)
	}
	f.check(t)
}

func (w *simulation) newIDFor(c deduplicator.Claim, kind int) deduplicator.ID {
	for {
		if id := w.newID(0, kind); deduplicator.ClaimOf("team", id) == c {
			return id
		}
	}
}

// Callers retry at other nodes while owners crash, are paused and hand over, entries fail, clocks differ, and answers
// are lost. A fault would run a request twice, or refuse it as not run although it has run.
func TestFuzzAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := rapid.SampledFrom([]int{4, 1000}).Draw(t, "bound")
		f := &fuzz{w: newSimulation(rapid.Uint64().Draw(t, "seed"), 4, bound)}
		t.Repeat(f.actions())
		f.checkRecovery(t)
	})
}

// An owner at its bound must refuse new ids: if it dropped a record to make room, a retry of that id would run again.
func TestFullOwnerRefusesNewIDs(t *testing.T) {
	w := newSimulation(1, 1, 2)
	o := w.nodes[0].owner
	begin := func(id deduplicator.ID, attempt uint64) deduplicator.Verdict {
		h := deduplicator.Hold{Claim: "ids/0", Epoch: 1, FirstHolder: true}
		a := deduplicator.Attempt{Node: "n1", Number: attempt}
		wall := w.wall(w.nodes[0])
		return o.Begin(h, "team", id, 1, a, wall, w.now, wall).Verdict
	}
	ids := []deduplicator.ID{w.newID(0, 0), w.newID(0, 0), w.newID(0, 0)}
	assert.Equal(t, begin(ids[0], 1), deduplicator.Run)
	assert.Equal(t, begin(ids[1], 2), deduplicator.Run)
	assert.Equal(t, begin(ids[2], 3), deduplicator.Full)
	assert.Equal(t, begin(ids[0], 4), deduplicator.InProgress)
	w.now += clock.Time(window + clock.Second)
	assert.Equal(t, begin(ids[0], 5), deduplicator.Expired)
	assert.Equal(t, begin(w.newID(0, 0), 6), deduplicator.Run)
}

// An owner with a fast clock allows an id that is ahead of its time, and crashes; the next owner's clock is slow. If
// unknownUpTo ignored the difference of the clocks, the id would run again.
func TestClockSkewBetweenOwners(t *testing.T) {
	for name, ahead := range map[string]clock.Duration{"callers ahead": deduplicator.DefaultCallerSkew, "on time": 0} {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(1, 2, 10)
			w.nodes[0].skew, w.nodes[1].skew = 250, -250
			id := w.newID(250+ahead, 0)
			h := w.claimState(deduplicator.ClaimOf("team", id))
			first := w.call(w.nodes[0], id, 1)
			request := w.messages[0]
			w.messages = nil
			w.deliver(request)
			w.takeOver(h, w.nodes[1])
			w.wait(200)
			assert.Equal(t, w.verdicts[first], "permit")
			again := w.call(w.nodes[1], id, 1)
			w.wait(clock.Second)
			assert.Equal(t, w.verdicts[again], "outcomeUnknown")
		})
	}
}

// A handover is complete, but another node takes the claim first and allows an id. The records handed over lack that
// id, and using them at a later epoch would run it again.
func TestHandoverOfOlderEpochIsNotUsed(t *testing.T) {
	w := newSimulation(1, 3, 10)
	id := w.newID(0, 0)
	h := w.claimState(deduplicator.ClaimOf("team", id))
	for _, part := range h.holder.owner.Export(h.hold, w.now) {
		_, complete := w.nodes[1].owner.Import(part, w.now)
		assert.Assert(t, complete)
	}
	w.takeOver(h, w.nodes[2])
	w.wait(3 * clock.Second)
	id = w.newIDFor(h.hold.Claim, 0)
	first := w.call(w.nodes[0], id, 1)
	w.wait(clock.Second)
	assert.Equal(t, w.verdicts[first], "permit")
	w.takeOver(h, w.nodes[1])
	again := w.call(w.nodes[0], id, 1)
	w.wait(clock.Second)
	assert.Equal(t, w.verdicts[again], "outcomeUnknown")
}

// Parsing the text wrongly would give one request two owners, or treat the colon in an opaque id as the end of a
// home.
func TestParseID(t *testing.T) {
	const plain = "0193842f-5c00-7abc-8def-0123456789ab"
	tests := map[string]struct {
		text  string
		want  deduplicator.ID
		fails bool
	}{
		"version 7":       {text: plain, want: deduplicator.ID{Text: plain, Time: 0x0193842f5c00, Timed: true}},
		"upper case":      {text: "0193842F-5C00-7ABC-8DEF-0123456789AB", want: deduplicator.ID{Text: plain, Time: 0x0193842f5c00, Timed: true}},
		"home":            {text: "north:" + plain, want: deduplicator.ID{Text: "north:" + plain, Home: "north", Time: 0x0193842f5c00, Timed: true}},
		"opaque, colon":   {text: "order:17", want: deduplicator.ID{Text: "order:17"}},
		"version 4":       {text: "0193842f-5c00-4abc-8def-0123456789ab", want: deduplicator.ID{Text: "0193842f-5c00-4abc-8def-0123456789ab"}},
		"empty":           {fails: true},
		"space":           {text: "a b", fails: true},
		"longer than 128": {text: fmt.Sprintf("%129d", 1), fails: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := deduplicator.ParseID(test.text)
			assert.Equal(t, err != nil, test.fails)
			assert.Equal(t, got, test.want)
		})
	}
}

func BenchmarkBegin(b *testing.B) {
	for _, teams := range []int{8, 1000} {
		b.Run(fmt.Sprintf("%d teams", teams), func(b *testing.B) {
			o := deduplicator.NewOwner(deduplicator.OwnerOptions{MaxRecords: 1 << 30})
			h := deduplicator.Hold{Claim: "ids/0", Epoch: 1, FirstHolder: true}
			names := make([]identifier.Team, teams)
			for i := range names {
				names[i] = identifier.Team(fmt.Sprintf("team-%d", i))
			}
			id := newSimulation(1, 1, 1).newID(0, 0)
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				n++
				// Each team in turn begins a new id and then retries it three times.
				o.Begin(h, names[n/4%teams], deduplicator.ID{Text: id.Text, Time: id.Time, Timed: true}, 1,
					deduplicator.Attempt{Node: "n1", Number: uint64(n / 4)}, id.Time, clock.Time(n), id.Time)
			}
		})
	}
}

// A request that was permitted but never sent must not block its id: the caller's retry has to run.
func TestAbandonedIDRunsAgain(t *testing.T) {
	w := newSimulation(1, 2, 10)
	id := w.newID(0, 0)
	first := w.call(w.nodes[0], id, 1)
	w.wait(clock.Second)
	assert.Equal(t, w.verdicts[first], "permit")
	w.performEffects(w.nodes[0], w.nodes[0].asker.Abandon(first, w.now))
	w.wait(clock.Second)
	again := w.call(w.nodes[1], id, 1)
	w.wait(clock.Second)
	assert.Equal(t, w.verdicts[again], "permit")
}

// An attempt is delayed, and the caller's retry elsewhere is refused as not run because there is no room. When there
// is room again the first attempt arrives, and running it would make that refusal untrue.
func TestDelayedAttemptIsRefusedAfterNotRun(t *testing.T) {
	w := newSimulation(1, 1, 1)
	o := w.nodes[0].owner
	begin := func(id deduplicator.ID, attempt uint64, asked clock.Wall) deduplicator.Judgement {
		h := deduplicator.Hold{Claim: "ids/0", Epoch: 1, FirstHolder: true}
		a := deduplicator.Attempt{Node: "n1", Number: attempt}
		return o.Begin(h, "team", id, 1, a, asked, w.now, w.wall(w.nodes[0]))
	}
	asked := w.wall(w.nodes[0])
	old := w.newID(-window+2*clock.Second, 0)
	id := w.newID(0, 0)
	assert.Equal(t, begin(old, 1, asked).Verdict, deduplicator.Run)
	w.now += 1000
	refused := begin(id, 3, w.wall(w.nodes[0]))
	assert.Assert(t, refused.Verdict == deduplicator.Full && refused.NotRun)
	w.now += 2000
	delayed := begin(id, 2, asked)
	assert.Assert(t, delayed.Verdict == deduplicator.Full && !delayed.NotRun)
	assert.Equal(t, begin(id, 4, w.wall(w.nodes[0])).Verdict, deduplicator.Run)
}

// An id's record is dropped as expired, and then the owner's clock is set back a little. The id seems valid again,
// and running it would run the request a second time.
func TestClockSetBackKeepsIDExpired(t *testing.T) {
	w := newSimulation(1, 1, 10)
	o := w.nodes[0].owner
	id := w.newID(0, 0)
	begin := func(attempt uint64, wall clock.Wall) deduplicator.Verdict {
		h := deduplicator.Hold{Claim: "ids/0", Epoch: 1, FirstHolder: true}
		a := deduplicator.Attempt{Node: "n1", Number: attempt}
		return o.Begin(h, "team", id, 1, a, wall, w.now, wall).Verdict
	}
	assert.Equal(t, begin(1, id.Time), deduplicator.Run)
	o.Tick(w.now, id.Time.Add(window+100))
	assert.Equal(t, o.Records(), 0)
	assert.Equal(t, begin(2, id.Time.Add(window-150)), deduplicator.Expired)
}
