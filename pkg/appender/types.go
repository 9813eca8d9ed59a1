package appender

// The platform's log is the product's only store, and the platform is operated by others. This interface contains
// everything that the product needs of it, so that another log needs one more implementation and no other change. The
// package defines its own types, because it may be imported from outside this project.
//
// Example: Append returns offset 17; Read(ctx, 17, 1, 0) returns that record, and Next 18 as the offset to continue from.

import (
	"context"
	"time"
)

// Offset is the position of a record on the log; the first record ever has offset 1, and offsets only rise.
type Offset int64

// Millis is a moment on the log's wall clock, in milliseconds since the Unix epoch.
type Millis int64

// Record is one entry of the log.
type Record struct {
	Offset Offset
	// Time is when the log appended the record.
	Time Millis
	Data []byte
}

// Batch is the answer to one read.
type Batch struct {
	// Records are in ascending order of offset.
	Records []Record
	// Earliest is the oldest offset that the log still keeps, or End when it keeps none.
	Earliest Offset
	// Next is the offset to continue reading from.
	Next Offset
	// End is the offset that the log will assign to its next record; a reader whose Next equals End has read all records.
	End Offset
}

// Log is the set of operations that the product needs of the platform's log.
type Log interface {
	// Append adds a record and returns its offset; after an Unavailable error it may have taken effect.
	Append(ctx context.Context, data []byte) (Offset, error)
	// Read returns up to limit records at and after from, waiting up to wait while there are none;
	// from zero means from the earliest record that is kept.
	Read(ctx context.Context, from Offset, limit int, wait time.Duration) (Batch, error)
}
