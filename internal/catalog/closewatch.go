package catalog

import "time"

// Intervals for watching the store while servers turn cold.
const (
	// coldWatchInterval is the watch interval for coldWatchDuration after a server in use has
	// turned cold. Servers turn cold in groups, and until the records of the others arrive they are
	// sent requests that the first no longer takes. Servers rewrite their records every second, so
	// that all have reported by then.
	coldWatchInterval = 50 * time.Millisecond
	coldWatchDuration = time.Second
	// minColdWatchSpacing is the minimum time between the starts of two such periods: servers that
	// turn cold one after the other cost the store at most 8 calls per second and reader on
	// average, 20 in the first second and 5 in each of the others.
	minColdWatchSpacing = 5 * time.Second
)

// watchPacer shortens the watch interval while servers turn cold. Its zero value is ready to use.
type watchPacer struct {
	// startedAt is when the last period of short intervals started.
	startedAt time.Time
}

// recordTurnedCold records that a server in use has turned cold.
func (w *watchPacer) recordTurnedCold(now time.Time) {
	if now.Sub(w.startedAt) >= minColdWatchSpacing {
		w.startedAt = now
	}
}

// interval returns the current minimum time between the starts of two watches.
func (w *watchPacer) interval(now time.Time) time.Duration {
	if now.Sub(w.startedAt) < coldWatchDuration {
		return coldWatchInterval
	}
	return watchInterval
}
