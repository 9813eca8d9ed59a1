package clock

// A process notices that its VM was suspended only by comparing the two clocks: the boot clock moved on and the
// monotonic one did not.
//
// Example: the boot clock is 5000 ahead at one look and 8000 at the next: suspended for 3000.

// Suspension finds out for how long the VM was suspended; the zero value is ready to use.
type Suspension struct {
	offset Duration
	known bool
}

// minSuspension is the difference from which a suspension is told: the two clocks are not read at the same instant,
// and a busy processor may put some tens of milliseconds between them.
const minSuspension = 300 * Millisecond

// Since returns for how long the VM was suspended since the last call, 0 for not at all.
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
