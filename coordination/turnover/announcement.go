package turnover

import "time"

// Times of an announcement.
const (
	// MinNotice is how long before its change a member announces it: everyone must
	// have heard by then, so that nothing is sent that would wait for its end.
	MinNotice = 250 * time.Millisecond
	// MaxNotice is after how long a member changes over though requests that were
	// sent before still wait at it.
	MaxNotice = time.Second
)

// Announcement is a member's notice that it is about to change over. The zero value
// is none.
type Announcement struct {
	since time.Time
}

// Active reports whether the change is announced.
func (a *Announcement) Active() bool { return !a.since.IsZero() }

// Withdraw takes the announcement back.
func (a *Announcement) Withdraw() { a.since = time.Time{} }

// Ready reports whether the member may change over now, and announces the change
// when that has not been done. Waiting is how many requests have not begun at the
// member.
func (a *Announcement) Ready(now time.Time, waiting int) bool {
	if !a.Active() {
		a.since = now
		return false
	}
	told := now.Sub(a.since)
	return told >= MaxNotice || (told >= MinNotice && waiting == 0)
}
