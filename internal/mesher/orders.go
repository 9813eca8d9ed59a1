package mesher

// Operators' orders are the records of the operators' topic that nodes follow: the configuration and evacuations. The newest
// record of each key is kept, to determine what is in force and to answer nodes that wait for it here. A key that was dropped
// keeps an empty record as a tombstone, which other nodes must receive as well.
//
// Example: merge of a snapshot without the key of an evacuation that was known before: that key now has an empty record.

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

// mergedOrders are the records of an update that were new.
type mergedOrders struct {
	records []watcher.Record
	// evacuations reports whether one of the records begins or ends an evacuation.
	evacuations bool
}

// configurations returns the records of a key that are not empty.
func (t mergedOrders) configurations(key string) []watcher.Record {
	return slices.DeleteFunc(slices.Clone(t.records), func(r watcher.Record) bool {
		return r.Key != key || len(r.Value) == 0
	})
}

// merge adds the records of an update that are newer than the known ones; isOrder reports whether a key is followed, and
// whether it evacuates a failure domain.
func (o *orders) merge(u watcher.Update, isOrder func(key string) (followed, evacuation bool)) mergedOrders {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.records == nil {
		o.records = map[string]watcher.Record{}
	}
	var t mergedOrders
	if u.Restarted {
		// The offsets known so far belong to a topic that is gone; compared with them, the new records would look old.
		t.evacuations = len(o.records) > 0
		clear(o.records)
	}
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
	if (len(t.records) > 0 || u.Restarted) && o.changed != nil {
		close(o.changed)
		o.changed = nil
	}
	return t
}

// tombstones returns empty records for the known keys that are missing from a snapshot.
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

// all returns the newest record of each key, sorted by offset.
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

// from returns the records at or after an offset, or if there is none, a channel that is closed at the next change.
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

// wait returns the records at or after an offset as soon as there is one, and none if the context ends first.
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
