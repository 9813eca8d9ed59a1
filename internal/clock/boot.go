package clock

// The monotonic clock stands still while a VM is suspended. A node that was frozen for a minute would take what it
// knew a minute ago for fresh, and go on serving a key that was withdrawn meanwhile. The boot-time clock counts the
// suspended time as well, so whatever proves freshness is judged by it.
//
// Example: after a suspension of 60 s, Clock.Now has moved by 0 and Boot.Now by 60000.

import (
	"golang.org/x/sys/unix"
)

// Boot reads the time since boot, suspended time included.
type Boot struct{}

// Now returns the boot time in milliseconds.
func (Boot) Now() Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Without this clock nothing can be proved fresh: Never is later than any proof.
		return Never
	}
	return Time(t.Nano() / nanosPerMilli)
}

const nanosPerMilli = 1_000_000
