// Package waiting waits for a duration or the end of a context, whichever is first.
package waiting

import (
	"context"
	"time"
)

// For waits for a duration and reports whether it passed before the context ended. It returns at
// once if the duration is zero or less.
func For(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
