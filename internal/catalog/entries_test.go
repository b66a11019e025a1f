package catalog

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// catalogWithEntries returns the catalog of an entry that has just received heartbeats of a number
// of others.
func catalogWithEntries(entries int) *Catalog {
	c := newTestCatalog()
	for index := range entries {
		c.recordEntry(fmt.Sprintf("10.1.%d.%d", index/250, index%250), entryHeartbeat{Zone: fmt.Sprintf("zone-%d", index%5), Capacity: 3})
	}
	c.overlay.Advance(time.Now())
	return c
}

// updateBytes returns the size of an update with its entries.
func updateBytes(t *testing.T, c *Catalog, peer *peerLink) int {
	now := time.Now()
	message := c.composeUpdate(peer)
	c.addEntries(&message, peer, now, func() *roster { return rosterOf(c.overlay.Roster(now)) })
	encoded, err := cbor.Marshal(message)
	require.NoError(t, err)
	return len(encoded)
}

// The updates between processes that know the same entries do not grow with the fleet: they carry
// one age per zone in place of a list.
func TestUpdatesDoNotGrowWithTheFleet(t *testing.T) {
	sizes := map[int]int{}
	for _, entries := range []int{30, 327, 1200} {
		c := catalogWithEntries(entries)
		sizes[entries] = updateBytes(t, c, &peerLink{rosterDigest: c.overlay.Digest()})
	}
	assert.LessOrEqual(t, sizes[1200], sizes[30]+16, "bytes at 30 and 1,200 entries: %v", sizes)
}

// A process that knows other entries, or that sends no roster because its build has none, is sent
// the complete list.
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

// Links of similar bandwidth are in one class, those of much higher bandwidth in a higher one.
func TestCapacityClass(t *testing.T) {
	const megabit = 1e6 / 8
	assert.Zero(t, capacityClass(0))
	assert.Zero(t, capacityClass(40*megabit), "an ordinary link ranks like an unknown one")
	assert.Equal(t, capacityClass(200*megabit), capacityClass(250*megabit))
	assert.Less(t, capacityClass(40*megabit), capacityClass(200*megabit))
	assert.Less(t, capacityClass(200*megabit), capacityClass(1000*megabit))
}
