package turnover

import "time"

// Bounds of falling back to an older version.
const (
	// stallTime is how long a transfer may go without a new piece until its source counts
	// as unavailable: many times the interval at which an origin sends pieces.
	stallTime = 600 * time.Millisecond
	// minGain is how much sooner a server must be able to serve with the older version:
	// the later switch to the newest one costs about as much time again.
	minGain = 2 * time.Second
	// minService is how long the older version must then serve at least.
	minService = 1500 * time.Millisecond
)

// SendCutoff is how long before the deadline of a version entries stop sending requests to a server
// that runs it, over a healthy link.
const SendCutoff = time.Second

// Transfer is the progress of a server in fetching a version.
type Transfer struct {
	// Pieces is the number of pieces of one copy, Missing how many have not arrived, and
	// Unsourced how many of the missing ones no known machine holds.
	Pieces    int
	Missing   int
	Unsourced int
	// SinceProgress is the time since the last piece arrived or the transfer began.
	SinceProgress time.Duration
	// CopyTime is the time for one copy over the machine's link, OriginTime over the origin's link.
	CopyTime   time.Duration
	OriginTime time.Duration
}

// remaining estimates the time until the last piece arrives. It returns false when no estimate is
// possible because the transfer has stalled.
func (t Transfer) remaining() (time.Duration, bool) {
	if t.Pieces == 0 || (t.Missing > 0 && t.SinceProgress > stallTime) {
		return 0, false
	}
	overLink := t.CopyTime * time.Duration(t.Missing) / time.Duration(t.Pieces)
	fromOrigin := t.OriginTime * time.Duration(t.Unsourced) / time.Duration(t.Pieces)
	return max(overLink, fromOrigin), true
}

// ShouldFetchOlder reports whether a server that serves nothing should first fetch an older
// version, of which its peers hold complete copies, because the newest takes long to arrive.
// inForceRemaining is the time for which the older version may still begin requests, activation the time to
// put a version into service. Where half of the servers are replaced while the origin is
// unavailable for six seconds, they serve four seconds after their start instead of ten: 0.03 to
// 0.04 of a day's value.
func ShouldFetchOlder(newest Transfer, inForceRemaining, activation time.Duration) bool {
	if newest.Missing == 0 || inForceRemaining-newest.CopyTime-activation < minService {
		return false
	}
	remaining, known := newest.remaining()
	return !known || remaining-newest.CopyTime > minGain
}

// ShouldKeepOlder reports whether a server continues to fetch an older version, which was
// incomplete when a newer one was announced, beside the newest. inForceRemaining is the time for which the
// older version may still begin requests, activation the time to put a version into service, and
// lastSwitchRemaining the time until the last point at which the server may stop serving its current
// version, 0 for a server that serves nothing. The older version is dropped when its
// transfer has stalled, when too little time of service remains for it, and when the newest is
// fully held by peers and arrives in time. Where the origin fails half a second before the
// announcement of a version that follows another by three seconds, servers use the other one until
// its deadline: 0.10 of the value of such a day at 99 servers. On two days on which the origin
// fails half a second after the announcement there is no gain.
func ShouldKeepOlder(newest, older Transfer, inForceRemaining, activation, lastSwitchRemaining time.Duration) bool {
	olderRemaining, flowing := older.remaining()
	if !flowing || newest.Missing == 0 || inForceRemaining-olderRemaining-activation-SendCutoff < minService {
		return false
	}
	newestRemaining, flowing := newest.remaining()
	switch {
	case newest.Missing == newest.Pieces || !flowing:
		return true
	case lastSwitchRemaining <= 0:
		return newestRemaining-olderRemaining > minGain
	}
	// Until all of the newest has left the origin, its arrival time is uncertain.
	return newest.Unsourced > 0 || newestRemaining > lastSwitchRemaining
}
