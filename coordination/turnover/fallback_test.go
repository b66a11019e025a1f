package turnover

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// An empty server takes the older version where that serves much sooner, and for long enough.
func TestWhenAnEmptyServerTakesTheOlderVersion(t *testing.T) {
	flowing := Transfer{Pieces: 100, Missing: 100, Unsourced: 0, SinceProgress: 50 * time.Millisecond, CopyTime: 2600 * time.Millisecond, OriginTime: 4300 * time.Millisecond}
	away := flowing
	away.Missing, away.Unsourced, away.SinceProgress = 90, 90, stallTime+1
	slowOrigin := flowing
	slowOrigin.Unsourced, slowOrigin.OriginTime = 90, 9*time.Second
	justNamed := flowing
	justNamed.Unsourced = 100
	done := away
	done.Missing = 0
	for _, one := range []struct {
		name   string
		newest Transfer
		older  time.Duration
		want   bool
	}{
		{"peers hold the newest", flowing, 10 * time.Second, false},
		{"the newest has just been named", justNamed, 10 * time.Second, false},
		{"nothing comes any more", away, 10 * time.Second, true},
		{"nothing comes, and the older one is about to end", away, 4 * time.Second, false},
		{"the origin needs far longer than the link", slowOrigin, 12 * time.Second, true},
		{"the newest is here", done, 10 * time.Second, false},
		{"no manifest for a while", Transfer{Missing: 1, SinceProgress: stallTime + 1, CopyTime: time.Second}, 10 * time.Second, true},
	} {
		assert.Equal(t, one.want, ShouldFetchOlder(one.newest, one.older, 500*time.Millisecond), one.name)
	}
}

// A version that is on its way when a newer one is named is completed as long as the newest does
// not come in time, and enough service is left in it.
func TestWhenAVersionOnItsWayIsCompleted(t *testing.T) {
	const warm = 300 * time.Millisecond
	copyOf := func(missing, unsourced int, quiet time.Duration) Transfer {
		return Transfer{Pieces: 64, Missing: missing, Unsourced: unsourced, SinceProgress: quiet, CopyTime: 2200 * time.Millisecond, OriginTime: 1700 * time.Millisecond}
	}
	older := copyOf(12, 0, 50*time.Millisecond)
	nothing, coming, stalled := copyOf(64, 64, 0), copyOf(60, 50, 50*time.Millisecond), copyOf(60, 60, stallTime+1)
	flowing, slow := copyOf(60, 0, 50*time.Millisecond), coming
	slow.OriginTime = 9 * time.Second
	for _, one := range []struct {
		name     string
		newest   Transfer
		older    Transfer
		inForce  time.Duration
		lastTurn time.Duration
		want     bool
	}{
		{"nothing of the newest has come yet", nothing, older, 8 * time.Second, 3 * time.Second, true},
		{"the newest comes in time", flowing, older, 8 * time.Second, 3 * time.Second, false},
		{"the newest comes in time, unless the origin ends", coming, older, 8 * time.Second, 3 * time.Second, true},
		{"the newest comes too late", flowing, older, 8 * time.Second, time.Second, true},
		{"the newest has stopped", stalled, older, 8 * time.Second, 3 * time.Second, true},
		{"the server serves nothing, and the newest comes about as soon", coming, older, 8 * time.Second, 0, false},
		{"the server serves nothing, and the origin is slow", slow, older, 8 * time.Second, 0, true},
		{"the newest is here", copyOf(0, 0, 0), older, 8 * time.Second, -time.Second, false},
		{"the older one is about to end", nothing, older, 3 * time.Second, 3 * time.Second, false},
		{"both have stopped", stalled, copyOf(12, 12, stallTime+1), 8 * time.Second, 3 * time.Second, false},
		{"only the older one has stopped", nothing, copyOf(12, 12, stallTime+1), 8 * time.Second, 3 * time.Second, false},
		{"a whole copy of the older one is missing, too", nothing, copyOf(64, 0, 0), 4500 * time.Millisecond, 3 * time.Second, false},
	} {
		assert.Equal(t, one.want, ShouldKeepOlder(one.newest, one.older, one.inForce, warm, one.lastTurn), one.name)
	}
}
