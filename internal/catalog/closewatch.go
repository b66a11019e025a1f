package catalog

import "time"

// Times of watching the store closely.
const (
	// coldWatchPace is the pace for coldNewsTime after a server in use has turned cold: servers
	// turn cold in groups, and until the others' lines are heard they are sent what the first
	// no longer takes. Servers rewrite their lines each second, so that all have told by then.
	coldWatchPace = 50 * time.Millisecond
	coldNewsTime  = time.Second
	// coldNewsPeriod is the least time between the beginnings of two such times: servers that
	// turn cold one after the other cost the store at most 8 calls a second of each reader on
	// the mean, 20 in the first second and 5 in each of the others.
	coldNewsPeriod = 5 * time.Second
)

// closeWatch decides when the store is watched closely. Its zero value does not.
type closeWatch struct {
	// began is when the store was last begun to be watched closely.
	began time.Time
}

// turnedCold notes that a server in use has turned cold.
func (w *closeWatch) turnedCold(now time.Time) {
	if now.Sub(w.began) >= coldNewsPeriod {
		w.began = now
	}
}

// pace is the least time between the beginnings of two watches now.
func (w *closeWatch) pace(now time.Time) time.Duration {
	if now.Sub(w.began) < coldNewsTime {
		return coldWatchPace
	}
	return watchPace
}
