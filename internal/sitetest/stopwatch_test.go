package sitetest

import (
	"sync/atomic"
	"testing"
	"time"
)

// Parameters of a stopwatch.
const (
	// stopwatchPeriod is how often a stopwatch looks at the clock, stopwatchStep the most that it counts at a time.
	stopwatchPeriod = time.Millisecond
	stopwatchStep   = 4 * time.Millisecond
)

// stopwatch measures time in which this process runs. While the machine gives it no processor, it stands still, as all
// emulated processes and the test itself do.
type stopwatch struct {
	elapsed atomic.Int64
	stalled atomic.Int64
}

// startStopwatch returns a stopwatch that runs until the end of the test.
func startStopwatch(t *testing.T) *stopwatch {
	s, done := &stopwatch{}, make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		ticker := time.NewTicker(stopwatchPeriod)
		defer ticker.Stop()
		for last := time.Now(); ; {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			now := time.Now()
			passed := now.Sub(last)
			s.elapsed.Add(int64(min(passed, stopwatchStep)))
			s.stalled.Add(int64(passed - min(passed, stopwatchStep)))
			last = now
		}
	}()
	return s
}

// read returns the time in which the process has run, and the time in which it has not.
func (s *stopwatch) read() (elapsed, stalled time.Duration) {
	return time.Duration(s.elapsed.Load()), time.Duration(s.stalled.Load())
}
