package catalog

import (
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/coordination/incarnation"
	"pinevane.example/pinevane/coordination/mirror"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/peering"
)

// applyZoneStatuses applies status reports of a zone's agents as they occur in a fleet of 587
// machines: a third of 52 agents between two rounds of reports.
func applyZoneStatuses(c *Catalog, agents int, now time.Time) {
	for index := range agents {
		c.applyStatus(heldStatus{zone: "z", at: now, status: fleet.MachineStatus{
			Address: fmt.Sprintf("10.4.17.%d:8001", index), Reachable: true, Model: "daka510000", Version: 3, Running: index % 8, Waiting: index % 3,
			CacheUsed: 31_000 + 977*index, CacheTotal: 317_000, Pace: 1 + float64(index)/100, SwitchMilliseconds: fleet.NoSwitch, FetchingVersion: 3,
			Received: index % 5, StartTime: incarnation.StartTime(1_790_000_000_000 + 37*index),
		}})
	}
}

// The reports of a zone's agents are alike: compressed they take less than half of the bytes, and
// decode to the same reports.
func TestStatusesArePackedForCapableReaders(t *testing.T) {
	const agents = 17
	c, now := newTestCatalog(), time.Now()
	applyZoneStatuses(c, agents, now)
	plain := c.encodeBatch(batchKey{wholeZone: true}, now)
	packed := c.encodeBatch(batchKey{wholeZone: true, packed: true}, now)
	assert.Less(t, 2*len(packed), len(plain), "%d and %d bytes", len(packed), len(plain))
	var batches [2]statusBatch
	var decoded [2][]statusMessage
	for index, payload := range [][]byte{plain, packed} {
		require.NoError(t, cbor.Unmarshal(payload, &batches[index]))
		var err error
		decoded[index], err = batches[index].unpack()
		require.NoError(t, err)
		assert.Len(t, decoded[index], agents)
	}
	assert.ElementsMatch(t, decoded[0], decoded[1])
	assert.Empty(t, batches[0].Packed, "a build that reads no packed reports is sent none")
}

// Small batches are not compressed, which would make them larger; corrupt ones are an error.
func TestPackSmallAndCorruptBatches(t *testing.T) {
	few := statusBatch{Statuses: make([]statusMessage, minPackedStatuses-1)}
	same, err := few.pack()
	require.NoError(t, err)
	assert.Equal(t, few, same)
	_, err = statusBatch{Packed: []byte{1, 2, 3}}.unpack()
	assert.Error(t, err)
}

// A process that announces no protocol, of an earlier build, is sent uncompressed messages. One
// that reads compressed messages is sent the list of servers in a tenth of the bytes, and decodes
// the same from it.
func TestPackingFollowsPeerProtocol(t *testing.T) {
	const servers = 3000
	c, now := newTestCatalog(), time.Now()
	defer c.options.Hub.Close()
	applyZoneStatuses(c, 1, now)
	var records []mirror.Record
	for index := range servers {
		records = append(records, serverRecord(index, uint64(index+1)))
	}
	c.applyWatched(records)
	sizes := map[int]int{}
	for _, protocol := range []int{0, ProtocolVersion} {
		peer := &peerLink{link: linkWithProtocol(t, c, protocol), compared: true}
		key, due := c.nextBatch(peer, true, now)
		assert.True(t, due)
		assert.Equal(t, protocol == ProtocolVersion, key.packed)
		message := c.composeUpdate(peer)
		encoded, err := cbor.Marshal(message)
		require.NoError(t, err)
		sizes[protocol] = len(encoded)
		decoded, err := message.unbundle()
		require.NoError(t, err)
		assert.Len(t, decoded, servers)
	}
	assert.Less(t, 10*sizes[ProtocolVersion], sizes[0], "%v", sizes)
}

// linkWithProtocol links to another entry that announces a protocol.
func linkWithProtocol(t *testing.T, c *Catalog, protocol int) *peering.Link {
	t.Helper()
	hello := peering.Hello{ID: fmt.Sprintf("10.0.1.%d", protocol), Role: RoleEntry, Zone: "z", Protocol: protocol}
	hub := peering.NewHub(hello, logging.Nop(), peering.NewCounters(prometheus.NewRegistry()))
	other := httptest.NewServer(hub)
	t.Cleanup(other.Close)
	t.Cleanup(hub.Close)
	link, err := c.options.Hub.Link(t.Context(), other.Listener.Addr().String())
	require.NoError(t, err)
	return link
}
