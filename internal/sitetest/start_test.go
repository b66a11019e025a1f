package sitetest

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/internal/catalog"
)

// When all entries of a fleet are killed at once and restarted, they get the state from the seeds,
// which read the store at once.
//
// Observed: after such a restart, callers were refused for 0.5 to 0.6 s by entries that ran and knew
// of no server, and their retries were late. Cause: all entries, including the seeds, waited for others
// to send them the state of the store: the seeds' settings list each other but not their own address,
// by which an entry was to detect that it is a seed. Evidence: they all read the store themselves 0.5 s
// after their start.
func TestFleetIsReadySoonAfterAllEntriesWereKilled(t *testing.T) {
	f := Start(t, DefaultOptions())
	options := f.Site.Options
	for zone := range options.Zones {
		for index := range options.Entries {
			f.Kill(ProcessName(catalog.RoleEntry, zone, index))
		}
	}
	running := startStopwatch(t)
	for zone := range options.Zones {
		for index := range options.Entries {
			f.StartEntry(zone, index)
		}
	}
	f.WaitReady()
	elapsed, stalled := running.read()
	t.Logf("all entries are ready and have reports of all agents %s after their start, without %s in which the process got no processor", elapsed, stalled)
	assert.Less(t, elapsed, 400*time.Millisecond)
}
