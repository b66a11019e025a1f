package catalog

import "time"

// Times of watching the store closely.
const (
	// coldWatchInterval is the pace for coldNewsTime after a server in use has turned cold: servers
	// turn cold in groups, and until the others' lines are heard they are sent what the first
	// no longer takes. Servers rewrite their lines each second, so that all have told by then.
	coldWatchInterval = 50 * time.Millisecond
	coldWatchDuration = time.Second
	// minColdWatchSpacing is the least time between the beginnings of two such times: servers that
	// turn cold one after the other cost the store at most 8 calls a second of each reader on
	// the mean, 20 in the first second and 5 in each of the others.
	minColdWatchSpacing = 5 * time.Second
)

// watchPacer decides when the store is watched closely. Its zero value does not.
type watchPacer struct {
	// startedAt is when the store was last begun to be watched closely.
	startedAt time.Time
}

// recordTurnedCold notes that a server in use has turned cold.
func (w *watchPacer) recordTurnedCold(now time.Time) {
	if now.Sub(w.startedAt) >= minColdWatchSpacing {
		w.startedAt = now
	}
}

// interval is the least time between the beginnings of two watches now.
func (w *watchPacer) interval(now time.Time) time.Duration {
	if now.Sub(w.startedAt) < coldWatchDuration {
		return coldWatchInterval
	}
	return watchInterval
}
