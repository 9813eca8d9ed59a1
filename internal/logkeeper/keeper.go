package logkeeper

// The keeper holds the records and alone implements the log's rules: offsets, retention and long polls. The handler in
// handler.go only maps them to HTTP.
//
// Example: with KeepCount 2, after appends at offsets 1, 2 and 3 the earliest offset is 2.

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/pkg/appender"
)

// Options configures a Keeper.
type Options struct {
	// Wall returns the time for the records' timestamps; the default is the machine's wall clock.
	Wall func() clock.Wall
}

// Keeper is an in-memory log.
type Keeper struct {
	wall func() clock.Wall

	mu       sync.Mutex
	switches Switches
	records  []appender.Record
	next     appender.Offset
	// changed is closed and replaced whenever long polls must check the records again.
	changed chan struct{}
}

var _ appender.Log = (*Keeper)(nil)

// New returns an empty log.
func New(o Options) *Keeper {
	wall := o.Wall
	if wall == nil {
		wall = clock.New().Wall
	}
	return &Keeper{wall: wall, next: 1, changed: make(chan struct{})}
}

// Append adds a record, unless the switches make it fail.
func (k *Keeper) Append(ctx context.Context, data []byte) (appender.Offset, error) {
	const operation = "append"
	if err := k.delay(ctx); err != nil {
		return 0, appender.Unavailable{Operation: operation, Cause: err}
	}
	if len(data) > appender.MaxRecord {
		return 0, TooLargeError{Size: len(data)}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.switches.Outage {
		return 0, appender.Unavailable{Operation: operation, Cause: errOutage}
	}
	o := k.add(data)
	if k.loseAnswer() {
		return 0, appender.Unavailable{Operation: operation, Cause: errLostAnswer}
	}
	return o, nil
}

// Read returns up to limit records at and after from, waiting up to wait while there are none.
func (k *Keeper) Read(ctx context.Context, from appender.Offset, limit int, wait time.Duration) (appender.Batch, error) {
	const operation = "read"
	if err := k.delay(ctx); err != nil {
		return appender.Batch{}, appender.Unavailable{Operation: operation, Cause: err}
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		b, changed, err := k.readAvailable(from, limit)
		if err != nil || len(b.Records) > 0 {
			return b, err
		}
		select {
		case <-changed:
		case <-timeout.C:
			return b, nil
		case <-ctx.Done():
			return appender.Batch{}, appender.Unavailable{Operation: operation, Cause: ctx.Err()}
		}
	}
}

// Switches returns the current switches.
func (k *Keeper) Switches() Switches {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.switches
}

// Set replaces the switches; they also apply to reads that already wait.
func (k *Keeper) Set(s Switches) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	k.switches = s
	k.expire()
	k.wakeReaders()
}

// Forget drops every record before the given offset, to simulate a log that has lost its history.
func (k *Keeper) Forget(before appender.Offset) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	k.records = slices.DeleteFunc(k.records, func(r appender.Record) bool {
		return r.Offset < before
	})
	k.wakeReaders()
}

// Next returns the offset that the next record will get.
func (k *Keeper) Next() appender.Offset {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.next
}

func (k *Keeper) add(data []byte) appender.Offset {
	o := k.next
	k.next++
	k.records = append(k.records, appender.Record{
		Offset: o,
		Time:   appender.Millis(k.wall()),
		Data:   slices.Clone(data),
	})
	k.expire()
	k.wakeReaders()
	return o
}

func (k *Keeper) loseAnswer() bool {
	if k.switches.LostAnswers == 0 {
		return false
	}
	if k.switches.LostAnswers > 0 {
		k.switches.LostAnswers--
	}
	return true
}

func (k *Keeper) readAvailable(from appender.Offset, limit int) (appender.Batch, <-chan struct{}, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.switches.Outage {
		return appender.Batch{}, nil, appender.Unavailable{Operation: "read", Cause: errOutage}
	}
	k.expire()
	if from <= 0 {
		from = k.earliest()
	}
	b := appender.Batch{Earliest: k.earliest(), Next: from, End: k.next}
	if from < b.Earliest {
		b.Next = k.next
		return b, nil, appender.Expired{From: from, Earliest: b.Earliest}
	}
	b.Records = k.recordsFrom(from, limit)
	if n := len(b.Records); n > 0 {
		b.Next = b.Records[n-1].Offset + 1
	}
	return b, k.changed, nil
}

func (k *Keeper) recordsFrom(from appender.Offset, limit int) []appender.Record {
	if limit <= 0 || limit > appender.MaxLimit {
		limit = appender.MaxLimit
	}
	start := min(max(0, int(from-k.earliest())), len(k.records))
	end := min(start+limit, len(k.records))
	size := 0
	for i := start; i < end; i++ {
		size += len(k.records[i].Data)
		if size > appender.MaxBatchBytes && i > start {
			end = i
			break
		}
	}
	return slices.Clone(k.records[start:end])
}

func (k *Keeper) earliest() appender.Offset {
	if len(k.records) == 0 {
		return k.next
	}
	return k.records[0].Offset
}

func (k *Keeper) expire() {
	drop := 0
	if n := k.switches.KeepCount; n > 0 {
		drop = max(0, len(k.records)-n)
	}
	if age := k.switches.KeepAge; age > 0 {
		oldest := appender.Millis(k.wall().Add(-age))
		for drop < len(k.records) && k.records[drop].Time < oldest {
			drop++
		}
	}
	k.records = slices.Delete(k.records, 0, drop)
}

func (k *Keeper) wakeReaders() {
	close(k.changed)
	k.changed = make(chan struct{})
}

func (k *Keeper) delay(ctx context.Context) error {
	d := k.Switches().Delay
	if d <= 0 {
		return nil
	}
	t := time.NewTimer(d.Std())
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
