package watcher

// The store is reached through this narrow interface, so that a test can lose answers, drop history and stay silent
// without a server.
//
// Example: for a topic whose offsets 0 to 4 were dropped, Read from 3 gives a DroppedError{First: 5}.

import (
	"context"
	"fmt"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Record is one record of a keyed topic; without a Value the key was dropped.
type Record struct {
	Key    string
	Value  []byte
	Offset identifier.Offset
}

// Batch is what a read found, and where the topic ended then.
type Batch struct {
	Records []Record
	End     identifier.Offset
	// Relayed tells that another node passed the records on, which proves nothing about the topic's end.
	Relayed bool
}

// Topic is a keyed topic of the store.
type Topic interface {
	// Newest returns the newest record of each key.
	Newest(ctx context.Context) (Batch, error)
	// Read returns records from an offset on; with none it waits up to the given time for one.
	Read(ctx context.Context, from identifier.Offset, wait clock.Duration) (Batch, error)
	// Write appends a record; a nil value drops the key.
	Write(ctx context.Context, key string, value []byte) error
}

// DroppedError tells that the asked records are no longer kept.
type DroppedError struct {
	First identifier.Offset
}

// Error names the oldest offset that is kept.
func (e DroppedError) Error() string {
	return fmt.Sprintf("records before offset %d are no longer kept", e.First)
}

// RefusedError is an answer of the store that did nothing.
type RefusedError struct {
	Status int
}

// Error names the status.
func (e RefusedError) Error() string {
	return fmt.Sprintf("store refused with status %d", e.Status)
}
