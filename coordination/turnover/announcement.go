package turnover

import "time"

// Bounds of the time between an announcement and the switch.
const (
	// MinNotice is how long before its switch a member announces it. By then every entry
	// must have received the announcement, so that no request is sent that would have to
	// wait for the end of the switch.
	MinNotice = 250 * time.Millisecond
	// MaxNotice is how long after the announcement a member switches even if requests
	// sent earlier are still queued at it.
	MaxNotice = time.Second
)

// Announcement is a member's announcement that it is about to switch versions. The zero
// value means that nothing is announced.
type Announcement struct {
	announcedAt time.Time
}

// Active reports whether the switch has been announced.
func (a *Announcement) Active() bool { return !a.announcedAt.IsZero() }

// Withdraw cancels the announcement.
func (a *Announcement) Withdraw() { a.announcedAt = time.Time{} }

// Ready reports whether the member may switch now, and announces the switch if that
// has not been done yet. Waiting is the number of requests queued at the member.
func (a *Announcement) Ready(now time.Time, waiting int) bool {
	if !a.Active() {
		a.announcedAt = now
		return false
	}
	elapsed := now.Sub(a.announcedAt)
	return elapsed >= MaxNotice || (elapsed >= MinNotice && waiting == 0)
}
