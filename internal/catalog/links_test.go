package catalog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// An entry that is new is told on every link soon, not only with the next list that is
// due anyway: entries that start together know each other within a few hops.
func TestNewEntriesAreToldSoon(t *testing.T) {
	c := &Catalog{options: Options{Self: "10.0.0.1"}, entries: map[string]*entryPeer{}, kick: make(chan struct{}, 1)}
	listed := &outLink{listedAt: time.Now().Add(-2 * newListPause)}
	assert.False(t, c.listDue(listed), "nothing is new")
	c.heardEntry("10.0.0.2", "z", 0)
	assert.True(t, c.listDue(listed))
	assert.Len(t, c.kick, 1, "it is told at once")
	listed.listedSequence = c.entriesSequence
	c.heardEntry("10.0.0.2", "z", 0)
	assert.False(t, c.listDue(listed), "it is known")
	assert.False(t, c.listDue(&outLink{listedAt: time.Now()}), "lists do not follow each other closely")
}

// A process that does not listen yet is dialled again soon, one that is away ever later.
func TestDialsAreRepeatedSoonAtFirst(t *testing.T) {
	assert.Equal(t, firstDialPause, pauseAfter(0))
	assert.Equal(t, 2*firstDialPause, pauseAfter(1))
	assert.Equal(t, dialPause, pauseAfter(3))
	assert.Equal(t, dialPause, pauseAfter(1000))
}
