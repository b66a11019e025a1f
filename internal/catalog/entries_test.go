package catalog

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// catalogWithEntries is the catalog of an entry that has just heard of a number of others.
func catalogWithEntries(entries int) *Catalog {
	c := newTestCatalog()
	for index := range entries {
		c.recordEntry(fmt.Sprintf("10.1.%d.%d", index/250, index%250), entryHeartbeat{Zone: fmt.Sprintf("zone-%d", index%5), Capacity: 3})
	}
	c.overlay.Advance(time.Now())
	return c
}

// updateBytes is the size of an update with what is told of entries.
func updateBytes(t *testing.T, c *Catalog, peer *peerLink) int {
	now := time.Now()
	message := c.composeUpdate(peer)
	c.addEntries(&message, peer, now, func() *roster { return rosterOf(c.overlay.Roster(now)) })
	encoded, err := cbor.Marshal(message)
	require.NoError(t, err)
	return len(encoded)
}

// What entries that know the same tell each other of the others does not grow with the fleet: one age a
// zone in place of a list.
func TestUpdatesDoNotGrowWithTheFleet(t *testing.T) {
	sizes := map[int]int{}
	for _, entries := range []int{30, 327, 1200} {
		c := catalogWithEntries(entries)
		sizes[entries] = updateBytes(t, c, &peerLink{rosterDigest: c.overlay.Digest()})
	}
	assert.LessOrEqual(t, sizes[1200], sizes[30]+16, "bytes at 30 and 1,200 entries: %v", sizes)
}

// Who knows other entries, or tells no roster because it is of a build without, is sent the list, and
// hears of all from it.
func TestEntryListIsSentOnRosterMismatch(t *testing.T) {
	c := catalogWithEntries(40)
	for name, peer := range map[string]*peerLink{"others": {rosterDigest: 1}, "no roster": {}} {
		now := time.Now()
		message := c.composeUpdate(peer)
		c.addEntries(&message, peer, now, func() *roster { return rosterOf(c.overlay.Roster(now)) })
		assert.Len(t, message.Entries, 40, name)
		assert.Equal(t, entryHeartbeat{Zone: "zone-1", Capacity: 3, AgeMilliseconds: message.Entries["10.1.0.1"].AgeMilliseconds}, message.Entries["10.1.0.1"], name)
		assert.Empty(t, message.Roster.AgesMilliseconds, name)
	}
}

// Links of about the same rate are of one class, those of a much larger one of a higher.
func TestCapacityClass(t *testing.T) {
	const megabit = 1e6 / 8
	assert.Zero(t, capacityClass(0))
	assert.Zero(t, capacityClass(40*megabit), "an ordinary link ranks like one that is not told")
	assert.Equal(t, capacityClass(200*megabit), capacityClass(250*megabit))
	assert.Less(t, capacityClass(40*megabit), capacityClass(200*megabit))
	assert.Less(t, capacityClass(200*megabit), capacityClass(1000*megabit))
}
