package mesher

// The newest record of each key by which operators give orders is kept, for those that wait for it here and to tell what is
// in force. A key that was dropped stays with an empty record, which others have to hear of as well.
//
// Example: take of a snapshot without the key of an evacuation that was known before: that key now has an empty record.

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/watcher"
)

// orders are the newest records of the operators' topic.
type orders struct {
	mu      sync.Mutex
	records map[string]watcher.Record
	changed chan struct{}
}

// mergedOrders is what was new in an update.
type mergedOrders struct {
	records []watcher.Record
	// evacuations tells that some of it asks for an evacuation or ends one.
	evacuations bool
}

// configurations returns the records of a key that hold something.
func (t mergedOrders) configurations(key string) []watcher.Record {
	return slices.DeleteFunc(slices.Clone(t.records), func(r watcher.Record) bool {
		return r.Key != key || len(r.Value) == 0
	})
}

// merge takes an update over; isOrder tells which keys are followed, and which of them ask for an evacuation.
func (o *orders) merge(u watcher.Update, isOrder func(key string) (followed, evacuation bool)) mergedOrders {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.records == nil {
		o.records = map[string]watcher.Record{}
	}
	var t mergedOrders
	for _, r := range append(u.Records, o.tombstones(u)...) {
		followed, evacuation := isOrder(r.Key)
		known, ok := o.records[r.Key]
		if !followed || ok && r.Offset <= known.Offset {
			continue
		}
		o.records[r.Key] = r
		t.records = append(t.records, r)
		t.evacuations = t.evacuations || evacuation
	}
	if len(t.records) > 0 && o.changed != nil {
		close(o.changed)
		o.changed = nil
	}
	return t
}

// tombstones returns empty records for the keys that a snapshot no longer has.
func (o *orders) tombstones(u watcher.Update) []watcher.Record {
	if !u.Snapshot {
		return nil
	}
	present := map[string]bool{}
	for _, r := range u.Records {
		present[r.Key] = true
	}
	var tombstones []watcher.Record
	for key, r := range o.records {
		if !present[key] && len(r.Value) > 0 {
			tombstones = append(tombstones, watcher.Record{Key: key, Offset: max(r.Offset+1, u.Next-1)})
		}
	}
	return tombstones
}

// all returns the newest record of each key, in the order of their offsets.
func (o *orders) all() []watcher.Record {
	records, _ := o.from(0)
	return records
}

// next returns the offset after the newest record.
func (o *orders) next() identifier.Offset {
	records := o.all()
	if len(records) == 0 {
		return 0
	}
	return records[len(records)-1].Offset + 1
}

// from returns the records of an offset and later, or a channel that is closed at the next change.
func (o *orders) from(offset identifier.Offset) ([]watcher.Record, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var records []watcher.Record
	for _, r := range o.records {
		if r.Offset >= offset {
			records = append(records, r)
		}
	}
	if len(records) > 0 {
		slices.SortFunc(records, func(a, b watcher.Record) int { return cmp.Compare(a.Offset, b.Offset) })
		return records, nil
	}
	if o.changed == nil {
		o.changed = make(chan struct{})
	}
	return nil, o.changed
}

// wait returns the records of an offset and later as soon as there is one, and none when the context ends.
func (o *orders) wait(ctx context.Context, offset identifier.Offset) []watcher.Record {
	for {
		records, changed := o.from(offset)
		if changed == nil {
			return records
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}
