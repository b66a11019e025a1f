package agent

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/fault"
)

// A guard whose window is over at once, as on a machine that has no time to spare, looks at its timer
// while it is still being made. The race detector shows that.
func TestStallGuardOfAShortWindow(t *testing.T) {
	for range 200 {
		ctx, cancel := context.WithCancelCause(t.Context())
		guard := newStallGuard("source", time.Nanosecond, cancel)
		<-ctx.Done()
		guard.stop()
		var stalled *fault.Stalled
		require.ErrorAs(t, context.Cause(ctx), &stalled)
	}
}
