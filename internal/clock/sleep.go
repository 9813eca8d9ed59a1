// A wait must end when the work that it belongs to is cancelled. A plain time.Sleep would delay the stop of a program,
// and all who wait for that stop; these two functions return early when the context ends.
//
// Example: if !clock.Sleep(ctx, time.Second) { return ctx.Err() }

package clock

import (
	"context"
	"time"
)

// Sleep waits for d and reports true, or false if ctx ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// SleepUntil waits until the given moment, as Sleep does.
func SleepUntil(ctx context.Context, at time.Time) bool {
	return Sleep(ctx, time.Until(at))
}
