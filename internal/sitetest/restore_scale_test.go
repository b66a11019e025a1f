package sitetest

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/emulator/site"
)

// restoreEntriesVariable names the number of entries for the measurement below, which runs only if it is set.
const restoreEntriesVariable = "PINEVANE_RESTORE_ENTRIES"

// Measures what a restore of the store costs a fleet of the given number of entries in three zones with 260
// servers: calls to the store and the time until a change is in force at the last entry.
func TestMeasureRestore(t *testing.T) {
	entries, err := strconv.Atoi(os.Getenv(restoreEntriesVariable))
	if err != nil {
		t.Skip(restoreEntriesVariable + " is not set")
	}
	const listedServers = 260
	options := DefaultOptions()
	options.Zones, options.Entries, options.ModelServers = 3, entries/3, 1
	f := Start(t, options)
	f.Site.Store.SetQuietHeartbeats(true)
	for number := range listedServers {
		f.Site.Store.Put(fmt.Sprintf("servers/listed-%d", number), map[string]any{
			"service": site.PlainService, "address": fmt.Sprintf("127.1.%d.%d:9", number/250, 1+number%250), "zone": site.ZoneName(number % 3),
			"version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": 1764720000000 + number,
		})
	}
	version := f.Site.Configure(addManyRoutes)
	f.Eventually("the configuration is applied", 20*time.Second, func() bool { return f.configurationApplied(version) })
	time.Sleep(2 * time.Second)
	for range revisionsLost {
		version = f.Site.Configure(nil)
	}
	f.Eventually("the configurations are applied", 20*time.Second, func() bool { return f.configurationApplied(version) })
	calm := f.Site.Store.Calls()
	time.Sleep(2 * time.Second)
	calm = f.Site.Store.Calls() - calm
	calls, sent := f.Site.Store.Calls(), f.sentBytes()
	f.Site.Store.Restore(2*time.Second + copyAge)
	restoredAt := time.Now()
	version = f.Site.Configure(revoke)
	f.Eventually("the change is applied", 60*time.Second, func() bool { return f.configurationApplied(version) })
	applied := time.Since(restoredAt)
	time.Sleep(2*time.Second - applied)
	soon, soonBytes := f.Site.Store.Calls()-calls, f.sentBytes()-sent
	time.Sleep(8 * time.Second)
	t.Logf("%d entries: in force everywhere after %s; calls to the store %d in 2 s of calm, %d in the 2 s after the restore, %d in the 10 s after it; sent between processes %d KB in those 2 s, %d KB in 10 s",
		entries, applied.Round(time.Millisecond), calm, soon, f.Site.Store.Calls()-calls, soonBytes/1024, (f.sentBytes()-sent)/1024)
}

// sentBytes returns the bytes that all entries have sent to other processes.
func (f *Fleet) sentBytes() int {
	total := 0.0
	for zone := range f.Site.Options.Zones {
		for index := range f.Site.Options.Entries {
			families, err := f.Process(ProcessName(catalog.RoleEntry, zone, index)).Registry.Gather()
			if err != nil {
				f.t.Fatal(err)
			}
			for _, family := range families {
				if family.GetName() != "pinevane_peer_bytes_total" {
					continue
				}
				for _, metric := range family.GetMetric() {
					for _, label := range metric.GetLabel() {
						if label.GetValue() == "out" {
							total += metric.GetCounter().GetValue()
						}
					}
				}
			}
		}
	}
	return int(total)
}
