package turnover

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A server without weights fetches the older version when it can serve with it much sooner, and for
// long enough.
func TestShouldFetchOlder(t *testing.T) {
	flowing := Transfer{Pieces: 100, Missing: 100, Unsourced: 0, SinceProgress: 50 * time.Millisecond, CopyTime: 2600 * time.Millisecond, OriginTime: 4300 * time.Millisecond}
	stalled := flowing
	stalled.Missing, stalled.Unsourced, stalled.SinceProgress = 90, 90, stallTime+1
	slowOrigin := flowing
	slowOrigin.Unsourced, slowOrigin.OriginTime = 90, 9*time.Second
	justAnnounced := flowing
	justAnnounced.Unsourced = 100
	done := stalled
	done.Missing = 0
	for _, test := range []struct {
		name             string
		newest           Transfer
		inForceRemaining time.Duration
		want             bool
	}{
		{"peers hold the newest", flowing, 10 * time.Second, false},
		{"the newest has just been announced", justAnnounced, 10 * time.Second, false},
		{"the transfer has stalled", stalled, 10 * time.Second, true},
		{"the transfer has stalled, and the older version is about to expire", stalled, 4 * time.Second, false},
		{"the origin takes far longer than the link", slowOrigin, 12 * time.Second, true},
		{"the newest is complete", done, 10 * time.Second, false},
		{"no manifest arrives for a while", Transfer{Missing: 1, SinceProgress: stallTime + 1, CopyTime: time.Second}, 10 * time.Second, true},
	} {
		assert.Equal(t, test.want, ShouldFetchOlder(test.newest, test.inForceRemaining, 500*time.Millisecond), test.name)
	}
}

// A version whose transfer is under way when a newer one is announced is completed as long as the
// newest does not arrive in time, and the older version may serve for long enough.
func TestShouldKeepOlder(t *testing.T) {
	const activation = 300 * time.Millisecond
	copyOf := func(missing, unsourced int, sinceProgress time.Duration) Transfer {
		return Transfer{Pieces: 64, Missing: missing, Unsourced: unsourced, SinceProgress: sinceProgress, CopyTime: 2200 * time.Millisecond, OriginTime: 1700 * time.Millisecond}
	}
	older := copyOf(12, 0, 50*time.Millisecond)
	nothing, arriving, stalled := copyOf(64, 64, 0), copyOf(60, 50, 50*time.Millisecond), copyOf(60, 60, stallTime+1)
	flowing, slow := copyOf(60, 0, 50*time.Millisecond), arriving
	slow.OriginTime = 9 * time.Second
	for _, test := range []struct {
		name                string
		newest              Transfer
		older               Transfer
		inForceRemaining    time.Duration
		lastSwitchRemaining time.Duration
		want                bool
	}{
		{"nothing of the newest has arrived yet", nothing, older, 8 * time.Second, 3 * time.Second, true},
		{"the newest arrives in time", flowing, older, 8 * time.Second, 3 * time.Second, false},
		{"the newest arrives in time, unless the origin fails", arriving, older, 8 * time.Second, 3 * time.Second, true},
		{"the newest arrives too late", flowing, older, 8 * time.Second, time.Second, true},
		{"the newest has stalled", stalled, older, 8 * time.Second, 3 * time.Second, true},
		{"the server serves nothing, and the newest arrives about as soon", arriving, older, 8 * time.Second, 0, false},
		{"the server serves nothing, and the origin is slow", slow, older, 8 * time.Second, 0, true},
		{"the newest is complete", copyOf(0, 0, 0), older, 8 * time.Second, -time.Second, false},
		{"the older one is about to expire", nothing, older, 3 * time.Second, 3 * time.Second, false},
		{"both have stalled", stalled, copyOf(12, 12, stallTime+1), 8 * time.Second, 3 * time.Second, false},
		{"only the older one has stalled", nothing, copyOf(12, 12, stallTime+1), 8 * time.Second, 3 * time.Second, false},
		{"all of the older one is missing, too", nothing, copyOf(64, 0, 0), 4500 * time.Millisecond, 3 * time.Second, false},
	} {
		assert.Equal(t, test.want, ShouldKeepOlder(test.newest, test.older, test.inForceRemaining, activation, test.lastSwitchRemaining), test.name)
	}
}
