package monotonic

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func revision(number uint64) Version { return Version{Epoch: 1, Revision: number} }

func full(version Version, documents ...Document) Update {
	return Update{Version: version, Changed: documents}
}

func TestNeverRevertsToAnOlderVersion(t *testing.T) {
	feed := NewFeed()
	assert.Equal(t, Applied, feed.Apply(full(revision(5), Document{Key: "a", Data: []byte("5")})))
	assert.Equal(t, Stale, feed.Apply(full(revision(4), Document{Key: "a", Data: []byte("4")})))
	assert.Equal(t, Stale, feed.Apply(full(revision(5))))
	assert.Equal(t, "5", string(feed.Documents()["a"]))
}

func TestRestartedServiceContinuesWithAHigherEpoch(t *testing.T) {
	feed := NewFeed()
	feed.Apply(full(revision(900)))
	assert.Equal(t, Applied, feed.Apply(full(Version{Epoch: 2, Revision: 1})))
}

func TestWithoutOrderingItReverts(t *testing.T) {
	feed := NewFeed()
	feed.DisableOrdering()
	feed.Apply(full(revision(5)))
	assert.Equal(t, Applied, feed.Apply(full(revision(4))))
}

func TestDeltaFromAnotherBaseIsAGap(t *testing.T) {
	feed := NewFeed()
	feed.Apply(full(revision(1)))
	assert.Equal(t, Gap, feed.Apply(Update{Base: revision(2), Version: revision(3)}))
	assert.Equal(t, revision(1), feed.Version())
}

// A follower that applies any subset of updates, late, twice and out of order,
// never reverts to an older version, and equals the source once it has caught up.
func TestFollowersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, follower := NewFeed(), NewFeed()
		source.Apply(full(revision(1)))
		var inFlight []Update
		next := uint64(1)
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				next++
				update := Update{Base: source.Version(), Version: revision(next)}
				key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
				if rapid.Bool().Draw(t, "remove") {
					update.Removed = []string{key}
				} else {
					update.Changed = []Document{{Key: key, Data: []byte{byte(next)}}}
				}
				source.Apply(update)
			},
			"send": func(*rapid.T) {
				if update, newer := source.Since(follower.Version()); newer {
					inFlight = append(inFlight, update)
				}
			},
			"receive": func(t *rapid.T) {
				if len(inFlight) == 0 {
					t.Skip("nothing is in flight")
				}
				before := follower.Version()
				follower.Apply(rapid.SampledFrom(inFlight).Draw(t, "update"))
				if follower.Version().Compare(before) < 0 {
					t.Fatalf("went from %s back to %s", before, follower.Version())
				}
			},
		})
		if update, newer := source.Since(follower.Version()); newer {
			assert.Equal(t, Applied, follower.Apply(update))
		}
		assert.Equal(t, source.Version(), follower.Version())
		assert.Equal(t, source.Documents(), follower.Documents())
	})
}

func TestHistoryIsBounded(t *testing.T) {
	feed := NewFeed()
	feed.Apply(full(revision(1)))
	for number := uint64(2); number < 5*HistoryLimit; number++ {
		feed.Apply(Update{Base: revision(number - 1), Version: revision(number), Changed: []Document{{Key: "a", Data: []byte{byte(number)}}}})
	}
	assert.Len(t, feed.history, HistoryLimit)
	delta, _ := feed.Since(revision(5*HistoryLimit - 3))
	assert.False(t, delta.Base.IsZero())
	complete, _ := feed.Since(revision(1))
	assert.True(t, complete.Base.IsZero())
}
