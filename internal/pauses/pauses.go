// Package pauses notices when the process itself stood still.
package pauses

import (
	"context"
	"time"

	"pinevane.example/pinevane/coordination/liveness"
	"pinevane.example/pinevane/internal/logging"
)

// period is how often the clock is looked at.
const period = 500 * time.Millisecond

// Watch logs each pause of the process until the context ends.
func Watch(ctx context.Context, log *logging.Logger) {
	started := time.Now()
	detector := liveness.NewDetector(liveness.Options{})
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if _, paused := detector.Tick(time.Since(started)); paused {
				log.Log(logging.ProcessPaused)
			}
		case <-ctx.Done():
			return
		}
	}
}
