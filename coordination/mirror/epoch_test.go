package mirror

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// An epoch that rises by a few is taken at once, from the store or from a peer; an earlier one is not.
func TestEpochRises(t *testing.T) {
	var tracker EpochTracker
	now := time.Unix(1000, 0)
	assert.Equal(t, EpochCurrent, tracker.ObserveStore(0, now), "none is stated")
	assert.Equal(t, EpochLearned, tracker.ObservePeer(4))
	assert.Equal(t, EpochCurrent, tracker.ObserveStore(4, now))
	assert.Equal(t, EpochRaised, tracker.ObserveStore(5, now))
	assert.Equal(t, EpochStale, tracker.ObserveStore(4, now), "an answer that was under way")
	assert.Equal(t, EpochStale, tracker.ObservePeer(4), "a peer that was cut off")
	assert.Equal(t, EpochRaised, tracker.ObservePeer(7))
	assert.EqualValues(t, 7, tracker.Current())
}

// Guards against a faulty statement that shuts out what the store says later: an implausible epoch is
// believed only if the store states nothing else for a time, and never from a peer.
func TestImplausibleEpochMustBeConfirmed(t *testing.T) {
	for _, implausible := range []uint64{2, 1_000_000_000, 1 << 63} {
		tracker := EpochTracker{current: 5}
		now := time.Unix(1000, 0)
		assert.Equal(t, EpochStale, tracker.ObserveStore(implausible, now))
		assert.Equal(t, EpochStale, tracker.ObservePeer(implausible))
		assert.Equal(t, EpochCurrent, tracker.ObserveStore(5, now.Add(confirmTime)), "it was a single fault")
		assert.Equal(t, EpochStale, tracker.ObserveStore(implausible, now.Add(2*confirmTime)))
		assert.Equal(t, EpochStale, tracker.ObserveStore(implausible, now.Add(3*confirmTime-1)))
		assert.Equal(t, EpochReplaced, tracker.ObserveStore(implausible, now.Add(3*confirmTime)))
		assert.Equal(t, implausible, tracker.Current())
	}
}
