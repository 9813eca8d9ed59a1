package clock

// A process can detect a suspension of its VM only by comparing two clocks: the boot-time clock advances during the
// suspension and the monotonic clock does not.
//
// Example: the boot-time clock is 5000 ahead at one reading and 8000 at the next: the VM was suspended for 3000.

// Suspension measures how long the VM was suspended; the zero value is ready to use.
type Suspension struct {
	offset Duration
	known  bool
}

// minSuspension is the smallest difference that is reported as a suspension: the two clocks are not read at the same
// instant, and on a busy processor some tens of milliseconds may pass between the readings.
const minSuspension = 300 * Millisecond

// Since returns how long the VM was suspended since the last call, or 0 on the first call and without a suspension.
func (s *Suspension) Since(now, boot Time) Duration {
	offset := boot.Sub(now)
	gap := offset - s.offset
	if s.known && gap < minSuspension {
		return 0
	}
	known := s.known
	s.offset, s.known = offset, true
	if !known {
		return 0
	}
	return gap
}
