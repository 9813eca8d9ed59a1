// Waiting has to end when what it is for has ended. A bare time.Sleep in a program that was asked to stop holds up the stop,
// and its callers with it; these two give up with the context.
//
// Example: if !clock.Sleep(ctx, time.Second) { return ctx.Err() }

package clock

import (
	"context"
	"time"
)

// Sleep waits for d and tells whether it could; it could not if ctx ended first.
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
