package logkeeper

// The switches make the stand-in fail as the platform's log is known to fail, one at a time or together, while
// the product runs against it.
//
// Example: Switches{LostAnswers: 1} takes the next append in and answers it with an error.

import (
	"errors"
	"fmt"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/pkg/appender"
)

// AllAnswers as LostAnswers loses the answer of every append.
const AllAnswers = -1

// Switches says how the log misbehaves; the zero value is a log that works and keeps everything.
type Switches struct {
	// Outage refuses every append and read.
	Outage bool
	// Delay goes by before each answer.
	Delay clock.Duration
	// LostAnswers is how many of the next appends take effect but are answered with an error.
	LostAnswers int
	// KeepCount is how many records are kept; zero keeps all.
	KeepCount int
	// KeepAge is how long a record is kept; zero is for ever.
	KeepAge clock.Duration
}

// Errors that the switches cause.
var (
	errOutage     = errors.New("outage")
	errLostAnswer = errors.New("the answer was lost")
)

// TooLargeError reports a record over the log's limit.
type TooLargeError struct {
	Size int
}

// Error names the size and the limit.
func (e TooLargeError) Error() string {
	return fmt.Sprintf("record of %d bytes: at most %d", e.Size, appender.MaxRecord)
}
