package watcher

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// fakeTopic is a topic in memory that can drop its history, leave requests unanswered or refuse them.
type fakeTopic struct {
	mu      sync.Mutex
	records []Record
	first   identifier.Offset
	refuse  bool
	silent  bool
	reads   int
	waits   []clock.Duration
	// most is the largest number of records in an answer, 0 for no bound; hang is how many reads get no answer.
	most, hang int
	// relayed is whether another node relays the topic; readsOfKnown counts the reads of records that were read before.
	relayed      bool
	readsOfKnown int
	// snapshots counts the reads of the newest records; beforeSnapshot, if set, runs before each.
	snapshots      int
	beforeSnapshot func()
}

func (f *fakeTopic) add(key, value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.records = append(f.records, Record{Key: key, Value: []byte(value), Offset: identifier.Offset(len(f.records))})
}

// createAgain empties the topic, so that offsets begin at 0, and adds a record of a key with each value.
func (f *fakeTopic) createAgain(key string, values ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.records, f.first = nil, 0
	for i, value := range values {
		f.records = append(f.records, Record{Key: key, Value: []byte(value), Offset: identifier.Offset(i)})
	}
}

func (f *fakeTopic) countReads() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads
}

// dropBefore drops the history before an offset.
func (f *fakeTopic) dropBefore(offset identifier.Offset) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.first = offset
}

func (f *fakeTopic) simulateFault(ctx context.Context) error {
	f.mu.Lock()
	silent, refuse := f.silent, f.refuse
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	if refuse {
		return RefusedError{Status: 503}
	}
	return nil
}

func (f *fakeTopic) Newest(ctx context.Context) (Batch, error) {
	if err := f.simulateFault(ctx); err != nil {
		return Batch{}, err
	}
	if f.beforeSnapshot != nil {
		f.beforeSnapshot()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshots++
	newest := map[string]Record{}
	for _, r := range f.records {
		newest[r.Key] = r
	}
	b := Batch{End: identifier.Offset(len(f.records))}
	for _, r := range newest {
		b.Records = append(b.Records, r)
	}
	return b, nil
}

func (f *fakeTopic) Read(ctx context.Context, from identifier.Offset, wait clock.Duration) (Batch, error) {
	f.mu.Lock()
	f.reads++
	if from < identifier.Offset(len(f.records)) {
		f.readsOfKnown++
	}
	f.waits = append(f.waits, wait)
	hangs := f.hang > 0
	if hangs {
		f.hang--
	}
	f.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return Batch{}, ctx.Err()
	}
	end := time.Now().Add(wait.Std())
	for {
		if ctx.Err() != nil {
			return Batch{}, ctx.Err()
		}
		if err := f.simulateFault(ctx); err != nil {
			return Batch{}, err
		}
		f.mu.Lock()
		if from < f.first {
			f.mu.Unlock()
			return Batch{}, DroppedError{First: f.first}
		}
		length := identifier.Offset(len(f.records))
		if from < length || time.Now().After(end) {
			b := Batch{End: length, First: f.first, Relayed: f.relayed}
			if from < length {
				b.Records = append(b.Records, f.records[from:]...)
			}
			if f.most > 0 && len(b.Records) > f.most {
				b.Records = b.Records[:f.most]
			}
			f.mu.Unlock()
			return b, nil
		}
		f.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
}

func (f *fakeTopic) Write(context.Context, string, []byte) error { return nil }

type updateRecorder struct {
	mu             sync.Mutex
	values         map[string]string
	updates        []Update
	lost, regained int
}

func (s *updateRecorder) record(u Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updates = append(s.updates, u)
	for _, r := range u.Records {
		s.values[r.Key] = string(r.Value)
	}
}

func (s *updateRecorder) value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[key]
}

// restarts returns the updates that say that the topic was created again.
func (s *updateRecorder) restarts() (all []Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.updates {
		if u.Restarted {
			all = append(all, u)
		}
	}
	return all
}

func watch(t *testing.T, f *fakeTopic) *updateRecorder {
	t.Helper()
	return watchWith(t, f, func(*Options) {})
}

// watchWith watches a topic with changed options.
func watchWith(t *testing.T, f *fakeTopic, change func(o *Options)) *updateRecorder {
	t.Helper()
	s := &updateRecorder{values: map[string]string{}}
	o := Options{
		Topic: f, Wait: func() clock.Duration { return 30 }, Slack: 60, Now: clock.New().Now, OnUpdate: s.record,
		OnLost:     func(error) { s.mu.Lock(); s.lost++; s.mu.Unlock() },
		OnRegained: func() { s.mu.Lock(); s.regained++; s.mu.Unlock() },
	}
	change(&o)
	w := New(o)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { w.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return s
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 500 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("condition not met within 2.5 s: %s", what)
}

func TestFollowsNewRecords(t *testing.T) {
	f := &fakeTopic{}
	f.add("config", "1")
	s := watch(t, f)
	eventually(t, "first value", func() bool { return s.value("config") == "1" })
	f.add("config", "2")
	f.add("other", "x")
	eventually(t, "second value", func() bool { return s.value("config") == "2" && s.value("other") == "x" })
}

// The store drops its history while a node waits for the next record. A node that requested only the records after its
// last one would never get another configuration.
func TestDroppedHistoryIsReplacedBySnapshot(t *testing.T) {
	f := &fakeTopic{}
	f.add("config", "1")
	s := watch(t, f)
	eventually(t, "first value", func() bool { return s.value("config") == "1" })
	f.mu.Lock()
	f.refuse = true
	f.mu.Unlock()
	for _, v := range []string{"2", "3", "4"} {
		f.add("config", v)
	}
	f.mu.Lock()
	f.first, f.refuse = 3, false
	f.mu.Unlock()
	eventually(t, "newest value", func() bool { return s.value("config") == "4" })
}

// The store accepts connections and does not answer. A node that only waited would not notice its recovery; it retries,
// and requests an immediate answer.
func TestSilentStoreIsRetriedWithoutWait(t *testing.T) {
	f := &fakeTopic{}
	f.add("config", "1")
	s := watch(t, f)
	eventually(t, "first value", func() bool { return s.value("config") == "1" })
	f.mu.Lock()
	f.silent = true
	f.mu.Unlock()
	eventually(t, "the loss is reported", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.lost == 1 })
	f.add("config", "2")
	f.mu.Lock()
	f.silent = false
	f.mu.Unlock()
	eventually(t, "value after the store answers again", func() bool { return s.value("config") == "2" })
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Equal(t, s.regained, 1)
	f.mu.Lock()
	defer f.mu.Unlock()
	zero := 0
	for _, w := range f.waits {
		if w == 0 {
			zero++
		}
	}
	assert.Assert(t, zero >= 1)
}

// An empty answer to a long poll proves nothing about the time at which it arrived: a key may have been withdrawn
// just after the store checked for records. With the arrival as AsOf, a withdrawn key would remain valid for the length
// of the wait.
func TestProofIsAsOfRequestTime(t *testing.T) {
	f := &fakeTopic{}
	f.add("config", "1")
	s := watch(t, f)
	eventually(t, "three updates", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return len(s.updates) >= 4 })
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := 2; i < len(s.updates); i++ {
		apart := s.updates[i].AsOf.Sub(s.updates[i-1].AsOf)
		assert.Assert(t, apart >= 25, "requests %d ms apart, expected at least 25 ms: each waits 30 ms", apart)
		assert.Assert(t, s.updates[i].Complete)
	}
}

// A node relies on another node's proofs of freshness and keeps one long read open; then the other node stops. The open
// read would prove nothing before its end, so it is interrupted, and the next one is answered at once.
func TestInterruptedReadIsFollowedByShortRead(t *testing.T) {
	f := &fakeTopic{}
	f.add("config", "1")
	s := &updateRecorder{values: map[string]string{}}
	w := New(Options{
		Topic: f, Wait: func() clock.Duration { return 20 * clock.Second }, Slack: 60, Now: clock.New().Now, OnUpdate: s.record,
		OnLost: func(err error) { t.Error(err) }, OnRegained: func() {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { w.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	updates := func() int { s.mu.Lock(); defer s.mu.Unlock(); return len(s.updates) }
	eventually(t, "the long read is open", func() bool { return updates() == 1 && f.countReads() == 1 })
	w.Interrupt(20 * clock.Second)
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, updates(), 1)
	w.Interrupt(clock.Second)
	eventually(t, "an immediate answer", func() bool { return updates() == 2 })
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Equal(t, f.waits[1], clock.Duration(0))
}

func TestErrors(t *testing.T) {
	var dropped DroppedError
	assert.Assert(t, errors.As(error(DroppedError{First: 3}), &dropped))
	assert.Equal(t, dropped.Error(), "records before offset 3 are no longer kept")
	assert.Equal(t, RefusedError{Status: 503}.Error(), "store refused with status 503")
}

// Nodes that receive every change from each other need not follow the topic. A node that no longer receives them must
// read all records that it missed, not only new ones: otherwise an endpoint that joined in the meantime would stay
// unknown.
func TestTopicIsFollowedOnlyWhileNeeded(t *testing.T) {
	f := &fakeTopic{}
	f.add("a", "1")
	s := &updateRecorder{values: map[string]string{}}
	var needed atomic.Bool
	w := New(Options{
		Topic: f, Wait: func() clock.Duration { return 20 }, Need: needed.Load, Slack: 200, Now: clock.Boot{}.Now,
		OnUpdate: s.record, OnLost: func(error) {}, OnRegained: func() {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.Run(ctx)
	eventually(t, "first", func() bool { return s.value("a") == "1" })
	f.add("b", "2")
	time.Sleep(2 * needCheckInterval.Std())
	assert.Equal(t, f.countReads(), 0)
	needed.Store(true)
	eventually(t, "missed", func() bool { return s.value("b") == "2" })
}

// The store is down and many nodes follow it. A failed attempt costs as much as a successful one, so nodes that need
// not be the first to notice the recovery wait longer.
func TestBackoffBoundsAttempts(t *testing.T) {
	tries := map[clock.Duration]int{}
	for _, b := range []Backoff{{First: 60, Max: 100, Factor: 2}, {First: 60, Max: 2000, Factor: 2}, {First: 100, Max: 4000, Factor: 8}} {
		f := &fakeTopic{refuse: true}
		w := New(Options{
			Topic: f, Wait: func() clock.Duration { return 20 }, Slack: 200, Now: clock.Boot{}.Now,
			Backoff:  func() Backoff { return b },
			OnUpdate: func(Update) {}, OnLost: func(error) {}, OnRegained: func() {},
		})
		for pause := clock.Duration(0); pause < 4000; tries[b.Max]++ {
			pause += w.nextRetryWait()
		}
	}
	assert.Assert(t, tries[100] >= 40 && tries[2000] <= 9 && tries[4000] <= 5, "%v", tries)
}

// A new configuration is written soon after the store's outage. A node with long waits between its attempts must not
// miss it when another node can report that the store answers.
func TestRetryEndsBackoff(t *testing.T) {
	f := &fakeTopic{}
	f.add("a", "1")
	s := &updateRecorder{values: map[string]string{}}
	w := New(Options{
		Topic: f, Wait: func() clock.Duration { return 20 }, Slack: 200, Now: clock.Boot{}.Now, OnUpdate: s.record,
		Backoff: func() Backoff { return Backoff{First: 20_000, Max: 20_000, Factor: 2} },
		OnLost:  func(error) { s.mu.Lock(); s.lost++; s.mu.Unlock() }, OnRegained: func() {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.Run(ctx)
	eventually(t, "read", func() bool { return s.value("a") == "1" })
	w.Retry()
	f.mu.Lock()
	f.refuse = true
	f.mu.Unlock()
	eventually(t, "lost", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.lost == 1 })
	f.mu.Lock()
	f.refuse = false
	f.mu.Unlock()
	f.add("a", "2")
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, s.value("a"), "1")
	w.Retry()
	eventually(t, "read again", func() bool { return s.value("a") == "2" })
}

// Guards against a topic that was created again and is taken for the continuation of the one before.
func TestTopicThatWasCreatedAgainIsMarked(t *testing.T) {
	f := &fakeTopic{}
	f.add("config", "1")
	f.add("config", "2")
	s := watch(t, f)
	eventually(t, "last value", func() bool { return s.value("config") == "2" })
	f.createAgain("config", "3")
	eventually(t, "value of the new topic", func() bool { return s.value("config") == "3" })
	restarts := s.restarts()
	assert.Equal(t, len(restarts), 1)
	assert.Assert(t, restarts[0].Snapshot && restarts[0].Complete)
}

// Guards against a reader that falls behind a burst of large records, since it pauses between the parts of one answer.
func TestPartsOfARecordBurstAreReadWithoutPause(t *testing.T) {
	f := &fakeTopic{most: 1}
	f.add("config", "0")
	s := watchWith(t, f, func(o *Options) { o.PauseAfterRecords = 200 })
	eventually(t, "first value", func() bool { return s.value("config") == "0" })
	for _, value := range []string{"1", "2", "3", "4", "5", "6"} {
		f.add("config", value)
	}
	began := time.Now()
	eventually(t, "last value", func() bool { return s.value("config") == "6" })
	assert.Assert(t, time.Since(began) < 600*time.Millisecond)
}

// Guards against a configuration that comes late since the read of it hangs on a connection that went silent.
func TestReadWithoutAnswerIsRepeatedAtOnce(t *testing.T) {
	f := &fakeTopic{}
	f.add("config", "1")
	s := watchWith(t, f, func(o *Options) {
		o.Slack, o.FirstSlack = 700, 60
		o.Backoff = func() Backoff { return Backoff{First: 2000, Max: 2000, Factor: 1} }
	})
	eventually(t, "first value", func() bool { return s.value("config") == "1" })
	f.mu.Lock()
	f.hang = 1
	f.mu.Unlock()
	time.Sleep(30 * time.Millisecond)
	f.add("config", "2")
	began := time.Now()
	eventually(t, "value after the silence", func() bool { return s.value("config") == "2" })
	assert.Assert(t, time.Since(began) < 400*time.Millisecond)
}

// Guards against a topic that was created again, holds as many records as before, and is taken for the same one.
func TestTopicOfTheSameLengthIsFoundToBeAnotherOne(t *testing.T) {
	f := &fakeTopic{}
	f.add("config", "1")
	f.add("config", "2")
	s := watchWith(t, f, func(o *Options) { o.VerifyEvery = 100 })
	eventually(t, "last value", func() bool { return s.value("config") == "2" })
	f.createAgain("config", "3", "4")
	eventually(t, "value of the new topic", func() bool { return s.value("config") == "4" })
	assert.Equal(t, len(s.restarts()), 1)
}

// Guards against calls to the store that check what has just been read: at a node's start, and while another node relays.
func TestTopicIsNotVerifiedSoonAfterItWasRead(t *testing.T) {
	for name, test := range map[string]struct {
		relayed     bool
		verifyEvery clock.Duration
		reads       int
	}{
		"from the store":    {verifyEvery: 10 * clock.Second, reads: 5},
		"from another node": {relayed: true, verifyEvery: 500, reads: 30},
	} {
		t.Run(name, func(t *testing.T) {
			f := &fakeTopic{relayed: test.relayed}
			f.add("config", "1")
			watchWith(t, f, func(o *Options) { o.VerifyEvery, o.Now = test.verifyEvery, clock.Boot{}.Now })
			eventually(t, "several reads", func() bool { return f.countReads() >= test.reads })
			f.mu.Lock()
			defer f.mu.Unlock()
			assert.Equal(t, f.readsOfKnown, 0)
		})
	}
}

// Guards against offsets of a topic that is gone, where the store's answers alone tell that another one has taken its place.
func TestTopicThatWasCreatedAgainIsFoundWithoutReadingItsLastRecord(t *testing.T) {
	for name, test := range map[string]struct {
		dropped     identifier.Offset
		createAgain func(f *fakeTopic)
	}{
		"nothing is dropped any more": {dropped: 2, createAgain: func(f *fakeTopic) { f.createAgain("config", "3", "4") }},
		"grown before it is read whole": {createAgain: func(f *fakeTopic) {
			f.beforeSnapshot = func() { f.createAgain("config", "1", "2", "3", "4") }
			f.createAgain("config", "3")
		}},
		"history dropped, an older offset": {dropped: 1, createAgain: func(f *fakeTopic) {
			f.beforeSnapshot = func() { f.createAgain("config", "4"); f.add("other", "5"); f.add("other", "6") }
			f.dropBefore(3)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			f := &fakeTopic{}
			f.add("config", "1")
			f.add("config", "2")
			var now atomic.Int64
			s := watchWith(t, f, func(o *Options) {
				o.VerifyEvery, o.Now = clock.Second, func() clock.Time { return clock.Time(now.Load()) }
			})
			eventually(t, "last value", func() bool { return s.value("config") == "2" })
			f.dropBefore(test.dropped)
			// Time for one check, and none for a later one.
			now.Store(int64(clock.Second))
			reads := f.countReads()
			eventually(t, "the check", func() bool { return f.countReads() > reads+3 })
			test.createAgain(f)
			eventually(t, "the new topic", func() bool { return s.value("config") == "4" && len(s.restarts()) > 0 })
		})
	}
}

// Guards against calls to the store that check what the answers of other calls tell: that a topic which has dropped history is still
// the same one.
func TestTopicThatHasDroppedHistoryIsVerifiedOnce(t *testing.T) {
	for name, test := range map[string]struct{ dropped identifier.Offset }{
		"in part": {1}, "as a whole": {2},
	} {
		t.Run(name, func(t *testing.T) {
			f := &fakeTopic{}
			f.add("config", "1")
			f.add("config", "2")
			f.dropBefore(test.dropped)
			var now atomic.Int64
			watchWith(t, f, func(o *Options) {
				o.VerifyEvery, o.Now = 60, func() clock.Time { return clock.Time(now.Add(30)) }
			})
			eventually(t, "several reads", func() bool { return f.countReads() > 15 })
			f.mu.Lock()
			defer f.mu.Unlock()
			assert.Assert(t, f.readsOfKnown <= 1 && f.snapshots <= 2, "%d, %d", f.readsOfKnown, f.snapshots)
		})
	}
}

// Guards against a topic that was created again, has dropped as many records as before, and is taken for the same one.
func TestTopicWithOtherHistoryIsFoundToBeAnotherOne(t *testing.T) {
	f := &fakeTopic{}
	for _, value := range []string{"1", "2", "3"} {
		f.add("config", value)
	}
	f.dropBefore(1)
	s := watchWith(t, f, func(o *Options) { o.VerifyEvery = 60 })
	eventually(t, "last value", func() bool { return s.value("config") == "3" })
	time.Sleep(150 * time.Millisecond)
	f.mu.Lock()
	for i := range f.records {
		f.records[i].Value = []byte("4")
	}
	f.first = 2
	f.mu.Unlock()
	eventually(t, "value of the new topic", func() bool { return s.value("config") == "4" })
	assert.Equal(t, len(s.restarts()), 1)
}
