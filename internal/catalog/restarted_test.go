package catalog

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/coordination/mirror"
	"pinevane.example/pinevane/internal/fault"
)

func bornRecord(revision uint64, born int64, version int) mirror.Record {
	value := fmt.Sprintf(`{"service":"m","address":"10.1.0.1:80","zone":"z","state":"ready","sequence":%d,"born":%d,"models":[{"name":"n","version":%d}]}`, revision, born, version)
	return mirror.Record{Key: "servers/s", Value: []byte(value), Revision: revision}
}

// A line of a server's former incarnation that the store takes late does not displace that of its present one.
func TestLateLineOfAFormerIncarnationIsDropped(t *testing.T) {
	c := newTestCatalog()
	c.takeWatched([]mirror.Record{bornRecord(1, 100, 2)})
	c.takeWatched([]mirror.Record{bornRecord(2, 200, 1)})
	c.takeWatched([]mirror.Record{bornRecord(3, 100, 2)})
	served := c.View().Servers["m"][0]
	assert.EqualValues(t, 200, served.Born)
	assert.EqualValues(t, 1, served.Models[0].Version)
}

// A server whose clock was set back between its lives tells the earlier birth with each line.
func TestServerWhoseClockWasSetBackIsKnown(t *testing.T) {
	c := newTestCatalog()
	c.takeWatched([]mirror.Record{bornRecord(1, 900, 2)})
	c.takeWatched([]mirror.Record{bornRecord(2, 200, 1)})
	c.takeWatched([]mirror.Record{bornRecord(3, 200, 1)})
	served := c.View().Servers["m"][0]
	assert.EqualValues(t, 200, served.Born)
	assert.EqualValues(t, 1, served.Models[0].Version)
}

// A line that can't be read names no server, and the others hold.
func TestFaultyLineNamesNoServer(t *testing.T) {
	c := newTestCatalog()
	other := bornRecord(5, 100, 1)
	other.Key = "servers/other"
	c.takeWatched([]mirror.Record{bornRecord(4, 100, 1), other})
	assert.Len(t, c.View().Servers["m"], 2)
	faulty := bornRecord(6, 100, 1)
	faulty.Value = []byte(`{"service":7}`)
	c.takeWatched([]mirror.Record{faulty})
	assert.Len(t, c.View().Servers["m"], 1)
	assert.Equal(t, "other", c.View().Servers["m"][0].ID)
	c.takeWatched([]mirror.Record{bornRecord(7, 100, 1)})
	assert.Len(t, c.View().Servers["m"], 2)
}

// A faulty record is logged once for each reason while it lasts, counted each time, and named in the
// dump until it is sound again.
func TestFaultyRecordIsToldOnce(t *testing.T) {
	c := newTestCatalog()
	faulty := func(revision uint64, value string) {
		c.takeWatched([]mirror.Record{{Key: "servers/s", Value: []byte(value), Revision: revision}})
	}
	for revision := range uint64(20) {
		faulty(revision+1, `{"service":7}`)
	}
	assert.Len(t, c.Status().FaultyRecords, 1)
	assert.EqualValues(t, 20, c.FaultyRecords()[fault.RecordUnreadable])
	faulty(30, `{"service":"m"}`)
	assert.EqualValues(t, 1, c.FaultyRecords()[fault.RecordIncomplete])
	assert.Contains(t, c.Status().FaultyRecords["servers/s"], "address")
	c.takeWatched([]mirror.Record{bornRecord(31, 100, 1)})
	assert.Empty(t, c.Status().FaultyRecords)
	assert.Len(t, c.View().Servers["m"], 1)
	faulty(32, `{`)
	c.takeWatched([]mirror.Record{{Key: "servers/s", Revision: 33, Deleted: true}})
	assert.Empty(t, c.Status().FaultyRecords)
}

// Thousands of faulty records cost bounded memory and hide no sound one.
func TestManyFaultyRecordsAreBounded(t *testing.T) {
	c := newTestCatalog()
	var records []mirror.Record
	for number := range 5000 {
		records = append(records, mirror.Record{Key: fmt.Sprintf("servers/x-%d", number), Value: []byte(`{"service":7}`), Revision: uint64(number + 2)})
	}
	records = append(records, bornRecord(9000, 100, 1))
	c.takeWatched(records)
	assert.Len(t, c.faulty.reasons, mostFaulty)
	assert.Len(t, c.Status().FaultyRecords, mostToldFaulty)
	assert.Len(t, c.View().Servers["m"], 1)
}
