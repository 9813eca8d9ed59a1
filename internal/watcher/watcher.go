package watcher

// A watcher keeps one long poll open, for as long as its user allows with Wait. Each answer proves that the topic held
// no other records at the time when the read was sent. Whether a withdrawn key may still be accepted depends on
// that time and not on the time of arrival, since an answer may be in transit for any length of time.
//
// Example: a read sent at 1000 that returns empty at 2500 proves where the topic ended at 1000, not at 2500.

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Update is the content of one answer of the store.
type Update struct {
	Records []Record
	// Next is the offset from which the topic is read next.
	Next identifier.Offset
	// AsOf is the boot time at which the request was sent.
	AsOf clock.Time
	// Complete is set if no record up to AsOf is missing.
	Complete bool
	// Snapshot is set if Records holds the newest record of every key; a key without a record has none.
	Snapshot bool
	// Restarted is set if the topic was created again: offsets that were known before mean nothing any more.
	Restarted bool
	// From is the node that relayed the records, empty for the store.
	From identifier.Node
}

// Options configures a Watcher; Topic, Wait, Now, OnUpdate, OnLost and OnRegained are required.
type Options struct {
	Topic Topic
	// Wait returns how long the next read may stay open on the store.
	Wait func() clock.Duration
	// Need reports whether the topic has to be followed at present; nil means always. Records missed in the meantime
	// are read once Need holds again.
	Need func() bool
	// Backoff returns the bounds of the wait between failed attempts; nil means DefaultBackoff.
	Backoff func() Backoff
	// Slack is how long after the end of Wait an answer may arrive before the read counts as failed.
	Slack clock.Duration
	// FirstSlack is the same for a read after one that succeeded; if it fails without an answer, it is repeated at once with
	// Slack. A connection that has gone silent is then noticed sooner than a slow store. 0 means Slack, without that repetition.
	FirstSlack clock.Duration
	// VerifyEvery is the longest time without a check that the topic is still the same one, 0 for no checks. Without them a topic
	// that was created again and holds as many records as before is taken for the same.
	VerifyEvery clock.Duration
	// PauseAfterRecords is the pause after an answer of the store that had records. It lets one read collect several
	// records: when a whole fleet starts, they arrive one by one.
	PauseAfterRecords clock.Duration
	// Now returns the boot time.
	Now func() clock.Time
	// OnUpdate is called with each update, from one goroutine.
	OnUpdate func(Update)
	// OnLost and OnRegained are called when the store stops answering and when it answers again.
	OnLost     func(error)
	OnRegained func()
}

// Backoff sets the wait after the first failed attempt, the longest wait, and the factor between successive waits, a
// plain number in spite of its type.
type Backoff struct {
	First, Max clock.Duration
	Factor     clock.Duration
}

// DefaultBackoff is short enough that a recovered store is read within half a second, and long enough that a fleet does
// not overload a busy store.
var DefaultBackoff = Backoff{First: 60 * clock.Millisecond, Max: 500 * clock.Millisecond, Factor: 2}

const (
	// needCheckInterval is the time between two checks whether the topic has to be followed again: a fifth of the time
	// (1.5 s) after which a node that gets no reports from other nodes has to follow the store itself.
	needCheckInterval = 300 * clock.Millisecond
)

// Watcher follows one topic.
type Watcher struct {
	options       Options
	next          identifier.Offset
	positionKnown bool
	failing       bool
	// hadRecords is set if the last answer had records and came from the store itself, and after each read of the newest
	// records.
	hadRecords bool
	retryWait  clock.Duration
	// last is the newest record that was read, if lastKnown is set. restarted is set when another topic has taken its place, and
	// verifiedAt is when that was last checked.
	last       Record
	lastKnown  bool
	restarted  bool
	verifiedAt clock.Time
	// first is the oldest offset that the topic kept when it was last verified.
	first identifier.Offset

	mu sync.Mutex
	// interrupt ends the current read, which may stay open for readWait; nil while there is none.
	interrupt context.CancelFunc
	readWait  clock.Duration
	// retry ends the wait after a failed attempt; nil while there is none.
	retry context.CancelFunc
	// interrupted is set if the last read was interrupted.
	interrupted bool
}

// New returns a watcher that has read nothing.
func New(o Options) *Watcher {
	return &Watcher{options: o}
}

// Run follows the topic until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if w.positionKnown && w.options.Need != nil && !w.options.Need() {
			clock.Sleep(ctx, needCheckInterval.Std())
			continue
		}
		first := !w.failing
		err := w.step(ctx)
		if ctx.Err() != nil {
			return
		}
		w.reportState(err)
		switch {
		case err != nil && first && w.options.FirstSlack > 0 && !isRefusal(err):
		case err != nil:
			w.waitToRetry(ctx, w.nextRetryWait())
		case w.hadRecords:
			clock.Sleep(ctx, w.options.PauseAfterRecords.Std())
		}
	}
}

// isRefusal reports whether the store has answered, so that a repetition on another connection would be refused as well.
func isRefusal(err error) bool {
	var refused RefusedError
	return errors.As(err, &refused)
}

// slack returns how late the answer to the next read may be.
func (w *Watcher) slack() clock.Duration {
	if w.failing || w.options.FirstSlack == 0 {
		return w.options.Slack
	}
	return w.options.FirstSlack
}

// waitToRetry waits after a failed attempt; Retry ends the wait early.
func (w *Watcher) waitToRetry(ctx context.Context, span clock.Duration) {
	limited, cancel := context.WithTimeout(ctx, span.Std())
	defer cancel()
	w.setRetry(cancel)
	<-limited.Done()
	w.setRetry(nil)
}

func (w *Watcher) setRetry(retry context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.retry = retry
}

// Retry ends the wait after a failed attempt; it is for callers that expect the next attempt to succeed.
func (w *Watcher) Retry() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.retry != nil {
		w.retry()
	}
}

func (w *Watcher) reportState(err error) {
	failing := err != nil
	if failing == w.failing {
		return
	}
	w.failing = failing
	if failing {
		w.options.OnLost(err)
		return
	}
	w.retryWait = 0
	w.options.OnRegained()
}

func (w *Watcher) nextRetryWait() clock.Duration {
	b := DefaultBackoff
	if w.options.Backoff != nil {
		b = w.options.Backoff()
	}
	w.retryWait = min(b.Max, max(b.First, b.Factor*w.retryWait))
	return w.retryWait/2 + clock.Duration(rand.Int64N(int64(w.retryWait)/2+1))
}

func (w *Watcher) step(ctx context.Context) error {
	sentAt := w.options.Now()
	w.hadRecords = false
	if !w.positionKnown {
		return w.readNewest(ctx, sentAt)
	}
	wait := w.options.Wait()
	if w.failing || w.interrupted {
		// A long poll can't distinguish a store that does not answer from one without new records, so the read after
		// a failure requests an immediate answer. So does the read after an interrupt, whose caller needs an answer soon.
		wait = 0
	}
	w.interrupted = false
	if w.verificationDue(sentAt) {
		return w.verify(ctx, sentAt)
	}
	limited, cancel := context.WithTimeout(ctx, (wait + w.slack()).Std())
	defer cancel()
	w.beginRead(cancel, wait)
	b, err := w.options.Topic.Read(limited, w.next, wait)
	if b.Relayed {
		// The node that relays checks the topic that it reads.
		w.verifiedAt = sentAt
	}
	if w.endRead() {
		w.interrupted = true
		return nil
	}
	var dropped DroppedError
	if errors.As(err, &dropped) {
		w.positionKnown, w.first = false, dropped.First
		return w.readNewest(ctx, w.options.Now())
	}
	if err != nil {
		return err
	}
	if !b.Relayed && (b.End < w.next || b.First < w.first) {
		// The topic was created again, so the position in the old topic is no longer valid.
		w.positionKnown, w.restarted = false, true
		return nil
	}
	if !b.Relayed && b.First == w.first && w.first > 0 {
		// A topic that was created again keeps its records from offset 0 on.
		w.verifiedAt = sentAt
	}
	if n := len(b.Records); n > 0 {
		w.next = b.Records[n-1].Offset + 1
		// An empty record may stand for a key that was missing at another node.
		w.last, w.lastKnown = b.Records[n-1], len(b.Records[n-1].Value) > 0
		w.hadRecords = !b.Relayed
	}
	// A pause between the parts of an answer would only make the reader later.
	w.hadRecords = w.hadRecords && w.next >= b.End
	w.options.OnUpdate(Update{
		Records: b.Records, Next: w.next, AsOf: sentAt, Complete: w.next >= b.End && !b.Relayed, From: b.From,
	})
	return nil
}

// verificationDue reports whether the last record has to be looked at: not while the next read waits at another node.
func (w *Watcher) verificationDue(now clock.Time) bool {
	if w.options.VerifyEvery == 0 || !w.lastKnown || w.failing || now.Sub(w.verifiedAt) < w.options.VerifyEvery {
		return false
	}
	relayed, ok := w.options.Topic.(interface{ IsRelayed() bool })
	return !ok || !relayed.IsRelayed()
}

// verify reads the last record again; one that is not the same belongs to a topic that was created again. If that record is no
// longer kept, the newest records are compared.
func (w *Watcher) verify(ctx context.Context, now clock.Time) error {
	limited, cancel := context.WithTimeout(ctx, w.slack().Std())
	defer cancel()
	b, err := w.options.Topic.Read(limited, w.last.Offset, 0)
	var dropped DroppedError
	switch {
	case errors.As(err, &dropped):
		w.positionKnown, w.first = false, dropped.First
	case err != nil:
		return err
	case b.Relayed:
	case len(b.Records) == 0 || !w.last.equal(b.Records[0]):
		w.positionKnown, w.restarted = false, true
	default:
		w.first = b.First
	}
	w.verifiedAt = now
	return nil
}

// lacksLast reports whether the newest records can't be those of the topic that the last record was read from.
func (w *Watcher) lacksLast(b Batch) bool {
	if !w.lastKnown {
		return false
	}
	for _, r := range b.Records {
		if r.Key == w.last.Key {
			return r.Offset < w.last.Offset || !w.last.equal(r) && r.Offset == w.last.Offset
		}
	}
	// Deleting the key would have appended a record.
	return b.End <= w.last.Offset+1
}

// equal reports whether two records of the same offset are the same.
func (r Record) equal(other Record) bool {
	return r.Key == other.Key && bytes.Equal(r.Value, other.Value)
}

func (w *Watcher) beginRead(interrupt context.CancelFunc, wait clock.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.interrupt, w.readWait = interrupt, wait
}

// endRead marks the read as ended and reports whether it was interrupted.
func (w *Watcher) endRead() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	interrupted := w.interrupt == nil
	w.interrupt = nil
	return interrupted
}

// Interrupt ends the current read if it may stay open for longer than the given time, so that the next read starts at
// once.
func (w *Watcher) Interrupt(longerThan clock.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.interrupt == nil || w.readWait <= longerThan {
		return
	}
	w.interrupt()
	w.interrupt = nil
}

func (w *Watcher) readNewest(ctx context.Context, sentAt clock.Time) error {
	limited, cancel := context.WithTimeout(ctx, (2 * w.options.Slack).Std())
	defer cancel()
	b, err := w.options.Topic.Newest(limited)
	if err != nil {
		return err
	}
	restarted := w.restarted || b.End < w.next || w.lacksLast(b)
	if restarted {
		w.first = 0
	}
	w.next, w.restarted, w.lastKnown = b.End, false, len(b.Records) > 0
	w.verifiedAt = sentAt
	if w.lastKnown {
		w.last = slices.MaxFunc(b.Records, func(a, b Record) int { return cmp.Compare(a.Offset, b.Offset) })
	}
	w.positionKnown = true
	w.hadRecords = true
	w.options.OnUpdate(Update{
		Records: b.Records, Next: w.next, AsOf: sentAt, Complete: true, Snapshot: true, Restarted: restarted,
	})
	return nil
}
