package watcher

// The watcher uses the store through this small interface, so that a test can simulate lost answers, dropped history
// and a store that does not answer, without a server.
//
// Example: for a topic whose offsets 0 to 4 were dropped, Read from 3 returns a DroppedError{First: 5}.

import (
	"context"
	"fmt"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Record is one record of a keyed topic; a record without a Value deletes the key.
type Record struct {
	Key    string
	Value  []byte
	Offset identifier.Offset
}

// Batch is the result of a read: the records and the topic's end at that time.
type Batch struct {
	Records []Record
	End     identifier.Offset
	// First is the oldest offset that a read may ask for, 0 if nothing was dropped or it is not known.
	First identifier.Offset
	// Relayed is set if another node relayed the records, which is no proof of where the topic ends.
	Relayed bool
	// From is the node that relayed the records, empty for the store.
	From identifier.Node
}

// Topic is a keyed topic of the store.
type Topic interface {
	// Newest returns the newest record of each key.
	Newest(ctx context.Context) (Batch, error)
	// Read returns records from an offset on; if there are none, it waits up to the given time for one.
	Read(ctx context.Context, from identifier.Offset, wait clock.Duration) (Batch, error)
	// Write appends a record; a nil value deletes the key.
	Write(ctx context.Context, key string, value []byte) error
}

// DroppedError reports that the requested records are no longer kept.
type DroppedError struct {
	First identifier.Offset
}

// Error names the oldest offset that is kept.
func (e DroppedError) Error() string {
	return fmt.Sprintf("records before offset %d are no longer kept", e.First)
}

// RefusedError reports that the store refused a request and did not perform it.
type RefusedError struct {
	Status int
}

// Error names the status.
func (e RefusedError) Error() string {
	return fmt.Sprintf("store refused with status %d", e.Status)
}
