package clock

// The monotonic clock stands still while a VM is suspended. A node that was suspended for a minute would treat data that
// is a minute old as fresh, and accept a key that was withdrawn in the meantime. The boot-time clock includes the time of
// a suspension, so the age of data is measured with it.
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
		// Without this clock no data can be proved fresh: Never is later than the expiry of any data.
		return Never
	}
	return Time(t.Nano() / nanosPerMilli)
}

const nanosPerMilli = 1_000_000
