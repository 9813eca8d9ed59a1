package appender

// The platform's log is the only store that the product has, and the platform is not ours: everything that the
// product asks of it stands in this one interface, so that another log needs one more implementation and no
// other change. The types are this package's own, since others may import it.
//
// Example: Append gives offset 17; Read(ctx, 17, 100, 0) returns that record first, and Next 18 to read on from.

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
	// Time is when the log took the record in.
	Time Millis
	Data []byte
}

// Batch is the answer to one read.
type Batch struct {
	// Records are in the order of their offsets.
	Records []Record
	// Earliest is the oldest offset that the log still keeps, or End when it keeps none.
	Earliest Offset
	// Next is the offset to read on from.
	Next Offset
	// End is the offset that the log will give to its next record; a reader whose Next is End has everything.
	End Offset
}

// Log is what the product needs of the platform's log.
type Log interface {
	// Append adds a record and returns its offset; after an Unavailable error it may have taken effect.
	Append(ctx context.Context, data []byte) (Offset, error)
	// Read returns up to limit records at and after from, waiting up to wait while there are none;
	// from zero means from the earliest record that is kept.
	Read(ctx context.Context, from Offset, limit int, wait time.Duration) (Batch, error)
}
