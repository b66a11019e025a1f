package turnover

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// An empty server takes the older version where that serves much sooner, and for long enough.
func TestWhenAnEmptyServerTakesTheOlderVersion(t *testing.T) {
	flowing := Transfer{Pieces: 100, Missing: 100, Unsourced: 0, Quiet: 50 * time.Millisecond, CopyTime: 2600 * time.Millisecond, OriginTime: 4300 * time.Millisecond}
	away := flowing
	away.Missing, away.Unsourced, away.Quiet = 90, 90, stallTime+1
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
		{"no manifest for a while", Transfer{Missing: 1, Quiet: stallTime + 1, CopyTime: time.Second}, 10 * time.Second, true},
	} {
		assert.Equal(t, one.want, TakesOlder(one.newest, one.older, 500*time.Millisecond), one.name)
	}
}
