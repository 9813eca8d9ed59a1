package logkeeper

// The switches make the stand-in fail in the ways in which the platform's log is known to fail, one at a time or
// together, while the product runs against it.
//
// Example: with Switches{LostAnswers: 1} the next append takes effect and is answered with an error.

import (
	"errors"
	"fmt"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/pkg/appender"
)

// AllAnswers is the value of LostAnswers that loses the answer of every append.
const AllAnswers = -1

// Switches are the faults and the retention of the log; the zero value has no faults and keeps all records.
type Switches struct {
	// Outage refuses every append and read.
	Outage bool
	// Delay is the time before each request is processed.
	Delay clock.Duration
	// LostAnswers is how many of the next appends take effect but are answered with an error.
	LostAnswers int
	// KeepCount is how many records are kept; zero keeps all.
	KeepCount int
	// KeepAge is how long a record is kept; zero keeps records indefinitely.
	KeepAge clock.Duration
}

// Errors that the switches cause.
var (
	errOutage     = errors.New("outage")
	errLostAnswer = errors.New("the answer was lost")
)

// TooLargeError reports a record that exceeds the log's size limit.
type TooLargeError struct {
	Size int
}

// Error names the size and the limit.
func (e TooLargeError) Error() string {
	return fmt.Sprintf("record of %d bytes: at most %d", e.Size, appender.MaxRecord)
}
