package agent

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/fault"
)

// With a very short window, the timer's callback runs before time.AfterFunc has returned, as on a
// machine under load. Without the mutex it reads the timer field while that is being set, which the
// race detector reports.
func TestStallDetectorWithShortWindow(t *testing.T) {
	for range 200 {
		ctx, cancel := context.WithCancelCause(t.Context())
		detector := newStallDetector("source", time.Nanosecond, cancel)
		<-ctx.Done()
		detector.stop()
		var stalled *fault.Stalled
		require.ErrorAs(t, context.Cause(ctx), &stalled)
	}
}
