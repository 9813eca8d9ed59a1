// Reducers never read a clock: each event carries the time at which its process received it. That makes a run
// reproducible from its events, and lets a test pause a process for an hour without waiting.
//
// The expiry of a lease must be measured with a clock that no time server can set back, so Time counts from the start
// of the process. Only data that leaves the process and outlives it (records, UUIDv7 ids) has Wall time.
//
// Example: a lease acquired at Time(1000) for Duration(5000) has expired at Time(6000).

package clock

import (
	"sync/atomic"
	"time"
)

// Time is a moment on the monotonic clock of one process, in milliseconds since the process started.
type Time int64

// Wall is a moment on the wall clock, in milliseconds since the Unix epoch.
type Wall int64

// Duration is a span of time in milliseconds.
type Duration int64

// Units of Duration for settings and defaults.
const (
	Millisecond Duration = 1
	Second      Duration = 1000
	Minute      Duration = 60 * Second
	Hour        Duration = 60 * Minute
)

// Never is later than every moment that a process can reach.
const Never Time = 1<<63 - 1

// Add returns the moment d after t.
func (t Time) Add(d Duration) Time {
	return t + Time(d)
}

// Sub returns the span from u to t.
func (t Time) Sub(u Time) Duration {
	return Duration(t - u)
}

// Add returns the moment d after w.
func (w Wall) Add(d Duration) Wall {
	return w + Wall(d)
}

// Sub returns the span from u to w.
func (w Wall) Sub(u Wall) Duration {
	return Duration(w - u)
}

// Std returns d as the standard library's type.
func (d Duration) Std() time.Duration {
	return time.Duration(d) * time.Millisecond
}

// FromStd returns d in whole milliseconds, rounded towards zero.
func FromStd(d time.Duration) Duration {
	return Duration(d.Milliseconds())
}

// Clock reads the time; create one with New, the zero value is not usable.
type Clock struct {
	start time.Time
	// shift is added to every monotonic reading; tests use it to simulate a pause that is longer than the process's
	// leases.
	shift atomic.Int64
}

// New returns a clock that starts now.
func New() *Clock {
	return &Clock{start: time.Now()}
}

// Now returns the monotonic time.
func (c *Clock) Now() Time {
	return Time(time.Since(c.start).Milliseconds() + c.shift.Load())
}

// Wall returns the wall-clock time.
func (c *Clock) Wall() Wall {
	return Wall(time.Now().UnixMilli())
}

// Skip moves the monotonic clock forward by d, as a pause of the process would.
func (c *Clock) Skip(d Duration) {
	c.shift.Add(int64(d))
}
