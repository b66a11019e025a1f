package catalog

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/coordination/mirror"
	"pinevane.example/pinevane/coordination/monotonic"
	"pinevane.example/pinevane/internal/compression"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
)

// scriptedStore answers every listing and every watch with the same answer.
type scriptedStore struct {
	listing  fleet.Listing
	watch    fleet.Listing
	watchErr error
}

func (s *scriptedStore) List(context.Context, string) (fleet.Listing, error) {
	listing := s.listing
	listing.Records = slices.Clone(listing.Records)
	return listing, nil
}

func (s *scriptedStore) Watch(context.Context, string, uint64, time.Duration) (fleet.Listing, error) {
	return s.watch, s.watchErr
}

func numberedConfiguration(revision, version uint64, key string) mirror.Record {
	value := fmt.Sprintf(`{"version":%d,"routes":[],"services":[{"name":"m"}],"tenants":[{"name":"t","apiKeys":[%q]}]}`, version, key)
	return mirror.Record{Key: "op/config", Value: []byte(value), Revision: revision}
}

func evacuationOfZone(revision uint64) mirror.Record {
	return mirror.Record{Key: "op/evacuate/z", Value: []byte(`{}`), Revision: revision}
}

// newReader returns a catalog that has read a store of epoch 1, and its position.
func newReader(t *testing.T, revision uint64, records ...mirror.Record) (*Catalog, *scriptedStore, *watchPosition) {
	t.Helper()
	c := newTestCatalog()
	store := &scriptedStore{listing: fleet.Listing{Records: records, Revision: revision, Epoch: 1}}
	c.options.Store = store
	position := &watchPosition{}
	c.readStore(t.Context(), position, watchWait)
	require.Equal(t, monotonic.Version{Epoch: 1, Revision: revision}, position.version)
	return c, store, position
}

// restoreTo has the store answer from epoch 2, where watches from the held position get 410, and has the reader
// learn it and list.
func restoreTo(t *testing.T, c *Catalog, store *scriptedStore, position *watchPosition, revision uint64, records ...mirror.Record) {
	t.Helper()
	store.listing = fleet.Listing{Records: records, Revision: revision, Epoch: 2}
	store.watchErr = &fault.HistoryCompacted{After: position.version.Revision, Epoch: 2}
	c.readStore(t.Context(), position, watchWait)
	c.advancePosition(position)
	require.Zero(t, position.version, "everything is to be listed")
	c.readStore(t.Context(), position, watchWait)
	c.advancePosition(position)
	require.Equal(t, monotonic.Version{Epoch: 2, Revision: revision}, position.version)
}

func keyKnown(c *Catalog, key string) bool {
	_, known := c.View().Configuration.TenantOf(key)
	return known
}

// CONFIG: guards against a configuration that goes back to that of the store's copy, or is not replaced by what
// the operator writes again: by its version, and with the same version by what was written last.
func TestConfigurationStaysInForceAfterRestore(t *testing.T) {
	c, store, position := newReader(t, 39, numberedConfiguration(39, 28, "revoked-before"))
	restoreTo(t, c, store, position, 20, numberedConfiguration(12, 20, "of-the-copy"))
	assert.EqualValues(t, 28, c.View().Configuration.Version)
	assert.True(t, keyKnown(c, "revoked-before"))
	store.watchErr, store.watch = nil, fleet.Listing{Records: []mirror.Record{numberedConfiguration(21, 28, "written-again")}, Revision: 21, Epoch: 2}
	c.readStore(t.Context(), position, watchWait)
	assert.True(t, keyKnown(c, "written-again"))
	assert.False(t, keyKnown(c, "revoked-before"))
}

// CONFIG: guards against a watch that is served from a position of the former epoch, because the store has
// given out that revision again: what it answers does not continue what is held.
func TestWatchServedInALaterEpochIsNotContinued(t *testing.T) {
	c, store, position := newReader(t, 39, numberedConfiguration(39, 28, "a"))
	store.watch = fleet.Listing{Records: []mirror.Record{numberedConfiguration(40, 30, "b")}, Revision: 40, Epoch: 2}
	c.readStore(t.Context(), position, watchWait)
	c.advancePosition(position)
	assert.Zero(t, position.version, "everything is listed instead")
	assert.Zero(t, c.Status().CompleteRevision)
}

// An answer of a former epoch, which was under way or comes from a late copy, changes nothing.
func TestAnswerOfAFormerEpochChangesNothing(t *testing.T) {
	c, store, position := newReader(t, 39, numberedConfiguration(39, 28, "a"))
	restoreTo(t, c, store, position, 20)
	fresh := c.FreshAt()
	store.watchErr, store.watch = nil, fleet.Listing{Records: []mirror.Record{numberedConfiguration(50, 31, "b")}, Revision: 50, Epoch: 1}
	err := c.watchStore(t.Context(), position, watchWait)
	var stale *fault.StaleEpoch
	require.ErrorAs(t, err, &stale)
	assert.EqualValues(t, 28, c.View().Configuration.Version)
	assert.Equal(t, fresh, c.FreshAt())
	assert.EqualValues(t, 20, position.version.Revision)
}

// A process learns of a restore from its peers, and no copy of a former epoch, or of a process that knows no
// epochs, keeps it from reading the store.
func TestRestoreIsLearnedFromPeers(t *testing.T) {
	c, _, position := newReader(t, 39, numberedConfiguration(39, 28, "a"))
	c.mutex.Lock()
	c.freshAt = time.Now().Add(-time.Minute)
	c.mutex.Unlock()
	receiveUpdate(t, c, update{})
	assert.Greater(t, time.Since(c.FreshAt()), time.Second, "a process that knows no epochs")
	receiveUpdate(t, c, update{Epoch: 2, LargeRecords: c.heads, FreshMilliseconds: time.Minute.Milliseconds()})
	c.advancePosition(position)
	assert.Zero(t, position.version)
	receiveUpdate(t, c, update{Epoch: 1, LargeRecords: c.heads, Complete: 90, ContentDigest: c.changes.ContentDigest()})
	assert.Greater(t, time.Since(c.FreshAt()), time.Second, "a copy of the former epoch")
	assert.Zero(t, c.Status().CompleteRevision)
	receiveUpdate(t, c, update{Epoch: 2, LargeRecords: c.heads, Complete: 20, ContentDigest: c.changes.ContentDigest()})
	assert.Less(t, time.Since(c.FreshAt()), time.Second)
	c.advancePosition(position)
	assert.Equal(t, monotonic.Version{Epoch: 2, Revision: 20}, position.version, "the position follows the peer")
}

// Guards against two contents with one revision that count as one: a revision is given out again after a
// restore.
func TestRevisionGivenOutAgainIsAnotherRecord(t *testing.T) {
	c, store, position := newReader(t, 39, numberedConfiguration(39, 28, "a"), startedRecord(30, 100, 1))
	before, headsBefore := c.changes.ContentDigest(), c.heads["op/config"]
	var packs packCache
	held, _ := c.mirror.Get("op/config")
	_, err := packs.pack(held)
	require.NoError(t, err)

	again := startedRecord(30, 100, 2)
	restoreTo(t, c, store, position, 39, numberedConfiguration(39, 31, "b"), again)
	assert.NotEqual(t, before, c.changes.ContentDigest())
	assert.True(t, c.mirror.Newer(c.heads["op/config"].record("op/config"), headsBefore.record("op/config")))
	assert.True(t, keyKnown(c, "b"))
	held, _ = c.mirror.Get("op/config")
	packed, err := packs.pack(held)
	require.NoError(t, err)
	sent, err := compression.Decode[mirror.Record](packed)
	require.NoError(t, err)
	assert.Equal(t, held.Value, sent.Value)
}

// EVAC: an evacuation that the copy lacks stays in force until the operator has had the time to write
// it again; one that has ended does not begin again.
func TestEvacuationsAfterRestore(t *testing.T) {
	c, store, position := newReader(t, 39, evacuationOfZone(38))
	restoreTo(t, c, store, position, 20)
	assert.True(t, c.View().Evacuated("z"))
	c.settle(2)
	position.version = monotonic.Version{}
	c.readStore(t.Context(), position, watchWait)
	assert.False(t, c.View().Evacuated("z"), "the operator has not written it again")

	c, store, position = newReader(t, 39, evacuationOfZone(10))
	store.watch = fleet.Listing{Records: []mirror.Record{{Key: "op/evacuate/z", Revision: 40, Deleted: true}}, Revision: 40, Epoch: 1}
	c.readStore(t.Context(), position, watchWait)
	require.False(t, c.View().Evacuated("z"))
	restoreTo(t, c, store, position, 20, evacuationOfZone(10))
	assert.False(t, c.View().Evacuated("z"))
}

// DRAIN: a server that leaves or has ended stays so, though the copy shows it as ready; one that was
// started since, which the copy lacks, is used on.
func TestServersAfterRestore(t *testing.T) {
	serverRecord := func(id string, revision, sequence uint64, state string) mirror.Record {
		value := fmt.Sprintf(`{"service":"m","address":"10.1.0.%s:80","zone":"z","state":%q,"sequence":%d,"born":100}`, id, state, sequence)
		return mirror.Record{Key: "servers/" + id, Value: []byte(value), Revision: revision}
	}
	c, store, position := newReader(t, 39, serverRecord("1", 36, 9, "draining"), serverRecord("2", 8, 4, "ready"), serverRecord("3", 38, 1, "ready"))
	store.watch = fleet.Listing{Records: []mirror.Record{{Key: "servers/2", Revision: 40, Deleted: true}}, Revision: 40, Epoch: 1}
	c.readStore(t.Context(), position, watchWait)
	restoreTo(t, c, store, position, 20, serverRecord("1", 5, 3, "ready"), serverRecord("2", 8, 4, "ready"))
	servers := map[string]bool{}
	for _, server := range c.View().Servers["m"] {
		servers[server.ID] = server.Draining
	}
	assert.Equal(t, map[string]bool{"1": true, "3": false}, servers)
}

// VERSION: a version of weights that the copy lacks, or that is announced once more, counts from its first
// announcement.
func TestVersionCountsFromItsFirstAnnouncementAfterRestore(t *testing.T) {
	version := func(revision, number uint64) mirror.Record {
		return mirror.Record{Key: "op/version/m", Value: fmt.Appendf(nil, `{"model":"m","version":%d}`, number), Revision: revision}
	}
	c, store, position := newReader(t, 38)
	store.watch = fleet.Listing{Records: []mirror.Record{version(39, 3)}, Revision: 39, Epoch: 1}
	c.readStore(t.Context(), position, watchWait)
	newest, _ := c.View().Newest("m")
	restoreTo(t, c, store, position, 20, version(10, 2))
	held, _ := c.View().Newest("m")
	assert.Equal(t, newest, held)
	store.watchErr, store.watch = nil, fleet.Listing{Records: []mirror.Record{version(21, 3)}, Revision: 21, Epoch: 2}
	c.readStore(t.Context(), position, watchWait)
	held, _ = c.View().Newest("m")
	assert.Equal(t, newest.Since, held.Since)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	message := c.composeUpdate(&peerLink{compared: true})
	assert.Contains(t, message.AgesMilliseconds, "op/version/m", "peers that start now are sent its age")
}

// What a process that knows no epochs sends is ordered by the number that its writer gave it: it neither
// wins over what was written after a restore nor is it lost.
func TestRecordsWithoutEpochAreOrderedByTheirWriter(t *testing.T) {
	c, store, position := newReader(t, 39, numberedConfiguration(39, 28, "a"))
	restoreTo(t, c, store, position, 20, numberedConfiguration(18, 30, "b"))
	receiveUpdate(t, c, update{Records: []mirror.Record{numberedConfiguration(90, 28, "a")}})
	assert.True(t, keyKnown(c, "b"))
	receiveUpdate(t, c, update{Records: []mirror.Record{numberedConfiguration(19, 33, "c")}})
	assert.True(t, keyKnown(c, "c"))
}

// After a restore one process that reads lists everything twice: at once, and when the epoch has settled.
func TestReaderListsAgainWhenTheEpochHasSettled(t *testing.T) {
	c, store, position := newReader(t, 39, numberedConfiguration(39, 28, "a"))
	restoreTo(t, c, store, position, 20)
	c.settle(2)
	c.advancePosition(position)
	assert.NotZero(t, position.version, "not yet")
	c.mutex.Lock()
	c.restore.listAt = time.Now()
	c.mutex.Unlock()
	c.advancePosition(position)
	assert.Zero(t, position.version)
	c.readStore(t.Context(), position, watchWait)
	c.advancePosition(position)
	assert.NotZero(t, position.version, "the copy is confirmed")
	assert.True(t, c.restore.confirmed)
	store.watchErr, store.watch = nil, fleet.Listing{Records: []mirror.Record{numberedConfiguration(21, 29, "b")}, Revision: 21, Epoch: 2}
	c.readStore(t.Context(), position, watchWait)
	assert.True(t, keyKnown(c, "b"), "a change after that is in force, though its revision is lower than the one kept")
}
