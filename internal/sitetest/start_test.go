package sitetest

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/internal/catalog"
)

// Seen: after all entries of a fleet were killed, callers were turned away for 0.5 to 0.6 s by
// entries that ran and knew of no server, and came back as late ones. Cause: all entries waited to
// be told by others what the store holds, the seeds among them: the seeds' settings list each other
// and not their own address, by which an entry was to know that it is one. Proof: they all read the
// store for themselves 0.5 s after their start.
//
// A fleet of which all entries are killed at once is told by its seeds, which read at once.
func TestFleetIsReadySoonAfterAllEntriesWereKilled(t *testing.T) {
	f := Start(t, DefaultOptions())
	options := f.Site.Options
	for zone := range options.Zones {
		for index := range options.Entries {
			f.Kill(ProcessName(catalog.RoleEntry, zone, index))
		}
	}
	began := time.Now()
	for zone := range options.Zones {
		for index := range options.Entries {
			f.StartEntry(zone, index)
		}
	}
	f.WaitReady()
	took := time.Since(began)
	t.Logf("all entries are ready and hear all agents %s after their start", took)
	assert.Less(t, took, 400*time.Millisecond)
}
