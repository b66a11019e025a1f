// Package pauses detects pauses of the process itself.
package pauses

import (
	"context"
	"time"

	"pinevane.example/pinevane/coordination/liveness"
	"pinevane.example/pinevane/internal/logging"
)

// checkPeriod is the period at which the clock is checked.
const checkPeriod = 500 * time.Millisecond

// Watch logs the pauses of the process until the context ends.
func Watch(ctx context.Context, log *logging.Logger) {
	started := time.Now()
	detector := liveness.NewDetector(liveness.Options{})
	ticker := time.NewTicker(checkPeriod)
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
