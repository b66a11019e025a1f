package turnover

import "time"

// Bounds of taking an older version first.
const (
	// stallTime is how long no piece of the newest version may come until its source is
	// taken for away: many times the pace at which an origin hands them out.
	stallTime = 600 * time.Millisecond
	// worthwhileGain is how much sooner a server must serve with the older version: its
	// change-over to the newest costs it about as much again.
	worthwhileGain = 2 * time.Second
	// worthwhileService is the least time for which the older version must then serve.
	worthwhileService = 1500 * time.Millisecond
)

// SendCutoff is how long before the bound of a version entries send nothing to a server with it over
// a sound link.
const SendCutoff = time.Second

// Transfer tells how far a server is with a version.
type Transfer struct {
	// Pieces are those of one copy; Missing have not come, Unsourced of them are held by no
	// machine known.
	Pieces    int
	Missing   int
	Unsourced int
	// SinceProgress is the time since a piece came, or since the transfer began.
	SinceProgress time.Duration
	// CopyTime is that of one copy over the machine's link, OriginTime over the origin's.
	CopyTime   time.Duration
	OriginTime time.Duration
}

// left estimates the time until the last piece is here; false when nobody can tell, because
// nothing comes.
func (t Transfer) left() (time.Duration, bool) {
	if t.Pieces == 0 || (t.Missing > 0 && t.SinceProgress > stallTime) {
		return 0, false
	}
	overLink := t.CopyTime * time.Duration(t.Missing) / time.Duration(t.Pieces)
	fromOrigin := t.OriginTime * time.Duration(t.Unsourced) / time.Duration(t.Pieces)
	return max(overLink, fromOrigin), true
}

// ShouldFetchOlder decides whether a server that serves nothing first takes an older version, which
// its peers hold whole, because the newest is long in coming. Older is the time for which the
// older one may still begin requests, warm that of taking a version into service. Where half of
// the servers are replaced while the origin is away for six seconds, they serve four seconds
// after they come instead of ten: 0.03 to 0.04 of a day's worth.
func ShouldFetchOlder(newest Transfer, older, warm time.Duration) bool {
	if newest.Missing == 0 || older-newest.CopyTime-warm < worthwhileService {
		return false
	}
	left, known := newest.left()
	return !known || left-newest.CopyTime > worthwhileGain
}

// ShouldKeepOlder decides whether a server goes on with an older version that was not here whole when a
// newer one was named, beside the newest. InForce is the time for which the older one may still
// begin requests, warm that of taking a version into service, and lastTurn the time until the last
// turn at which the server may leave what it serves, 0 for one that serves nothing. The older one
// is dropped when nothing of it comes any more, when too little service is left in it, and when the
// newest has left the origin and comes in time. Where the origin ends half a second before a version
// is named that follows another by three seconds, servers go on with the other until its bound: 0.10
// of the worth of such a day at 99 servers. On two days on which the origin ends half a second after
// the naming it is worth nothing.
func ShouldKeepOlder(newest, older Transfer, inForce, warm, lastTurn time.Duration) bool {
	olderLeft, comes := older.left()
	if !comes || newest.Missing == 0 || inForce-olderLeft-warm-SendCutoff < worthwhileService {
		return false
	}
	newestLeft, comes := newest.left()
	switch {
	case newest.Missing == newest.Pieces || !comes:
		return true
	case lastTurn <= 0:
		return newestLeft-olderLeft > worthwhileGain
	}
	// As long as the newest has not left the origin, when it comes is a guess.
	return newest.Unsourced > 0 || newestLeft > lastTurn
}
