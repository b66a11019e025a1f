package catalog

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/coordination/mirror"
	"pinevane.example/pinevane/internal/fault"
)

func startedRecord(revision uint64, startTime int64, version int) mirror.Record {
	value := fmt.Sprintf(`{"service":"m","address":"10.1.0.1:80","zone":"z","state":"ready","sequence":%d,"born":%d,"models":[{"name":"n","version":%d}]}`, revision, startTime, version)
	return mirror.Record{Key: "servers/s", Value: []byte(value), Revision: revision}
}

// A record of a server's former incarnation that the store accepts late does not replace that of
// the present one.
func TestLateRecordOfFormerIncarnationIsDropped(t *testing.T) {
	c := newTestCatalog()
	c.applyWatched([]mirror.Record{startedRecord(1, 100, 2)})
	c.applyWatched([]mirror.Record{startedRecord(2, 200, 1)})
	c.applyWatched([]mirror.Record{startedRecord(3, 100, 2)})
	served := c.View().Servers["m"][0]
	assert.EqualValues(t, 200, served.StartTime)
	assert.EqualValues(t, 1, served.Models[0].Version)
}

// A server whose clock was set back between two incarnations sends the earlier start time with each
// record.
func TestServerWithClockSetBackIsAccepted(t *testing.T) {
	c := newTestCatalog()
	c.applyWatched([]mirror.Record{startedRecord(1, 900, 2)})
	c.applyWatched([]mirror.Record{startedRecord(2, 200, 1)})
	c.applyWatched([]mirror.Record{startedRecord(3, 200, 1)})
	served := c.View().Servers["m"][0]
	assert.EqualValues(t, 200, served.StartTime)
	assert.EqualValues(t, 1, served.Models[0].Version)
}

// An unreadable record lists no server and does not affect the others.
func TestFaultyRecordRemovesOnlyItsServer(t *testing.T) {
	c := newTestCatalog()
	other := startedRecord(5, 100, 1)
	other.Key = "servers/other"
	c.applyWatched([]mirror.Record{startedRecord(4, 100, 1), other})
	assert.Len(t, c.View().Servers["m"], 2)
	faulty := startedRecord(6, 100, 1)
	faulty.Value = []byte(`{"service":7}`)
	c.applyWatched([]mirror.Record{faulty})
	assert.Len(t, c.View().Servers["m"], 1)
	assert.Equal(t, "other", c.View().Servers["m"][0].ID)
	c.applyWatched([]mirror.Record{startedRecord(7, 100, 1)})
	assert.Len(t, c.View().Servers["m"], 2)
}

// A faulty record is logged once per reason while it lasts, counted each time, and listed in the
// state dump until it is valid again.
func TestFaultyRecordIsLoggedOnce(t *testing.T) {
	c := newTestCatalog()
	faulty := func(revision uint64, value string) {
		c.applyWatched([]mirror.Record{{Key: "servers/s", Value: []byte(value), Revision: revision}})
	}
	for revision := range uint64(20) {
		faulty(revision+1, `{"service":7}`)
	}
	assert.Len(t, c.Status().FaultyRecords, 1)
	assert.EqualValues(t, 20, c.FaultyRecords()[fault.RecordUnreadable])
	faulty(30, `{"service":"m"}`)
	assert.EqualValues(t, 1, c.FaultyRecords()[fault.RecordIncomplete])
	assert.Contains(t, c.Status().FaultyRecords["servers/s"], "address")
	c.applyWatched([]mirror.Record{startedRecord(31, 100, 1)})
	assert.Empty(t, c.Status().FaultyRecords)
	assert.Len(t, c.View().Servers["m"], 1)
	faulty(32, `{`)
	c.applyWatched([]mirror.Record{{Key: "servers/s", Revision: 33, Deleted: true}})
	assert.Empty(t, c.Status().FaultyRecords)
}

// Thousands of faulty records use bounded memory and hide no valid one.
func TestManyFaultyRecordsAreBounded(t *testing.T) {
	c := newTestCatalog()
	var records []mirror.Record
	for number := range 5000 {
		records = append(records, mirror.Record{Key: fmt.Sprintf("servers/x-%d", number), Value: []byte(`{"service":7}`), Revision: uint64(number + 2)})
	}
	records = append(records, startedRecord(9000, 100, 1))
	c.applyWatched(records)
	assert.Len(t, c.faulty.reasons, maxFaultyRecords)
	assert.Len(t, c.Status().FaultyRecords, maxReportedFaulty)
	assert.Len(t, c.View().Servers["m"], 1)
}
