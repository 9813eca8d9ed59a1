package watcher

// A watcher keeps one waiting read open, as long as whoever needs its proofs allows. Each answer proves that the topic held nothing else at the moment when the
// read was sent, which is what a withdrawn key is judged by: the answer may have been under way for long, the
// question cannot have been sent later than it was.
//
// Example: a read sent at 1000 that comes back empty at 2500 proves the topic's end as of 1000, not of 2500.

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Update is what one answer of the store told.
type Update struct {
	Records []Record
	// Next is the offset from which the topic is read next.
	Next identifier.Offset
	// AsOf is the boot time at which the question was sent.
	AsOf clock.Time
	// Complete tells that no record up to AsOf is missing.
	Complete bool
	// Snapshot tells that the records are the newest of all keys, and that a key without one has none.
	Snapshot bool
}

// Options set a watcher up; Topic, Now and Took are required.
type Options struct {
	Topic Topic
	// Wait returns how long the next read may stay open on the store.
	Wait func() clock.Duration
	// Need tells whether the topic has to be followed at the moment; nil for always. What is missed meanwhile is read when
	// it has to be again.
	Need func() bool
	// Backoff bounds the wait between failed tries; nil for DefaultBackoff.
	Backoff func() Backoff
	// Slack is how much later than Wait an answer may come before the connection is taken for dead.
	Slack clock.Duration
	// Rest is how long after an answer of the store with news the next read is sent: when a whole fleet starts, news come one
	// by one.
	Rest clock.Duration
	// Now reads the boot time.
	Now func() clock.Time
	// OnUpdate is called with each update, from one goroutine.
	OnUpdate func(Update)
	// OnLost and Regained are called when the store stops and starts to answer.
	OnLost     func(error)
	OnRegained func()
}

// Backoff is the wait after the first failed try, the longest one, and how many times as long each is as the one before.
type Backoff struct {
	First, Max clock.Duration
	Factor      clock.Duration
}

// DefaultBackoff is short enough that a store which is back is read within half a second, and long enough that a fleet does
// not press a store that is busy.
var DefaultBackoff = Backoff{First: 60 * clock.Millisecond, Max: 500 * clock.Millisecond, Factor: 2}

const (
	// needCheckInterval is the time between two looks whether a topic has to be followed again: a fifth of what a node takes to notice
	// that it must.
	needCheckInterval = 300 * clock.Millisecond
)

// Watcher follows one topic.
type Watcher struct {
	options Options
	next    identifier.Offset
	positionKnown   bool
	failing bool
	// hadRecords tells that the last answer had records and came from the store.
	hadRecords  bool
	pause clock.Duration

	mu sync.Mutex
	// interrupt ends the read under way, which may stay open for waiting; nil while there is none.
	interrupt context.CancelFunc
	waiting   clock.Duration
	// retry ends the wait after a failed try; nil while there is none.
	retry context.CancelFunc
	// interrupted tells that the last read was interrupted.
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
		err := w.step(ctx)
		if ctx.Err() != nil {
			return
		}
		w.reportState(err)
		switch {
		case err != nil:
			w.waitToRetry(ctx, w.backOff())
		case w.hadRecords:
			clock.Sleep(ctx, w.options.Rest.Std())
		}
	}
}

// waitToRetry waits after a failed try, unless Retry ends it.
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

// Retry ends the wait after a failed try, because the next one may succeed.
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
	w.pause = 0
	w.options.OnRegained()
}

func (w *Watcher) backOff() clock.Duration {
	b := DefaultBackoff
	if w.options.Backoff != nil {
		b = w.options.Backoff()
	}
	w.pause = min(b.Max, max(b.First, b.Factor*w.pause))
	return w.pause/2 + clock.Duration(rand.Int64N(int64(w.pause)/2+1))
}

func (w *Watcher) step(ctx context.Context) error {
	sentAt := w.options.Now()
	w.hadRecords = false
	if !w.positionKnown {
		return w.readNewest(ctx, sentAt)
	}
	wait := w.options.Wait()
	if w.failing || w.interrupted {
		// A read that waits can't tell a silent store from one with no news, so after a failure ask for an answer
		// at once; and whoever interrupts a read is in a hurry.
		wait = 0
	}
	w.interrupted = false
	limited, cancel := context.WithTimeout(ctx, (wait + w.options.Slack).Std())
	defer cancel()
	w.beginRead(cancel, wait)
	b, err := w.options.Topic.Read(limited, w.next, wait)
	if w.endRead() {
		w.interrupted = true
		return nil
	}
	var dropped DroppedError
	if errors.As(err, &dropped) {
		w.positionKnown = false
		return w.readNewest(ctx, w.options.Now())
	}
	if err != nil {
		return err
	}
	if b.End < w.next && !b.Relayed {
		// The topic has been made anew; what was read no longer says where to go on.
		w.positionKnown = false
		return nil
	}
	if n := len(b.Records); n > 0 {
		w.next = b.Records[n-1].Offset + 1
		w.hadRecords = !b.Relayed
	}
	w.options.OnUpdate(Update{Records: b.Records, Next: w.next, AsOf: sentAt, Complete: w.next >= b.End && !b.Relayed})
	return nil
}

func (w *Watcher) beginRead(interrupt context.CancelFunc, wait clock.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.interrupt, w.waiting = interrupt, wait
}

// endRead tells whether the read was interrupted.
func (w *Watcher) endRead() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	interrupted := w.interrupt == nil
	w.interrupt = nil
	return interrupted
}

// Interrupt ends a read that may stay open for longer than a time, so that the next one begins at once.
func (w *Watcher) Interrupt(longerThan clock.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.interrupt == nil || w.waiting <= longerThan {
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
	w.next = b.End
	w.positionKnown = true
	w.hadRecords = true
	w.options.OnUpdate(Update{Records: b.Records, Next: w.next, AsOf: sentAt, Complete: true, Snapshot: true})
	return nil
}
