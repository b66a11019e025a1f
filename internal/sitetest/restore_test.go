package sitetest

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/emulator/site"
)

// Incidents: the store came back from a copy that was some seconds old. Its revisions went back and were
// given out again; changes acknowledged after that were in force seconds late or not at all, and a
// server was sent requests 3 s after it had said that it leaves.

// startBeforeRestore starts a fleet whose entries hold revisions beyond those of a copy of copyAge.
func startBeforeRestore(t *testing.T) *Fleet {
	f := Start(t, DefaultOptions())
	f.Site.Store.SetQuietHeartbeats(true)
	time.Sleep(time.Second)
	var version uint64
	for range revisionsLost {
		version = f.Site.Configure(nil)
	}
	f.Eventually("the configurations are applied", 2*time.Second, func() bool { return f.configurationApplied(version) })
	return f
}

const (
	// revisionsLost is how many changes of the configuration the store loses.
	revisionsLost = 8
	// copyAge is how old the copy is: older than those changes, younger than the fleet.
	copyAge = 600 * time.Millisecond
	// rewriteDelay is how long after the restore a change is written.
	rewriteDelay = 300 * time.Millisecond
)

// CONFIG: guards against a change that is not in force in time because the store, restored from an
// older copy, gives it a lower revision than those held.
func TestChangeAfterRestoreIsInForce(t *testing.T) {
	f := startBeforeRestore(t)
	f.Site.Store.Restore(copyAge)
	time.Sleep(rewriteDelay)
	version := f.Site.Configure(revoke)
	acknowledgedAt := time.Now()
	f.Eventually("the change is applied", time.Duration(f.Site.Options.ConfigApplyMs)*time.Millisecond, func() bool { return f.configurationApplied(version) })
	t.Logf("applied after %s", time.Since(acknowledgedAt))
}

// DRAIN: guards against requests to a server whose leave is missed because the restored store has
// given out again, before anyone reads it, the revision from which entries watch on.
func TestLeaveAfterRestoreIsKnown(t *testing.T) {
	f := startBeforeRestore(t)
	stop := f.startHarmlessTraffic(5 * time.Millisecond)
	f.Site.Store.SetDown(true)
	f.Site.Store.Restore(copyAge)
	leaving := f.Site.Models[f.Site.Options.ModelIP(0, 0)]
	leaving.Leave()
	var version uint64
	for range 2 * revisionsLost {
		version = f.Site.Configure(nil)
	}
	time.Sleep(rewriteDelay)
	f.Site.Store.SetDown(false)
	acknowledgedAt := time.Now()
	const observed = 4 * time.Second
	time.Sleep(observed)
	stop()
	assert.True(t, f.configurationApplied(version), "the last change is in force")
	drain := time.Duration(f.Site.Options.DrainMs) * time.Millisecond
	assert.Zero(t, len(f.arrivalTimes(leaving.ID(), acknowledgedAt.Add(drain))), "requests to the leaving server")
}

// A fleet whose store is restored in calm loses no server, no configuration and serves on.
func TestRestoreInCalmChangesNothing(t *testing.T) {
	f := startBeforeRestore(t)
	stop := f.startHarmlessTraffic(5 * time.Millisecond)
	restoredAt := time.Now()
	lost := f.Site.Store.Restore(copyAge)
	time.AfterFunc(rewriteDelay, func() { f.Site.Store.Rewrite(lost) })
	time.Sleep(3 * time.Second)
	outcomes := stop()
	assert.GreaterOrEqual(t, servedRatio(outcomes, restoredAt, restoredAt.Add(3*time.Second), time.Second), minServedRatio)
	for zone := range f.Site.Options.Zones {
		for index := range f.Site.Options.Entries {
			view := f.Process(ProcessName(catalog.RoleEntry, zone, index)).Catalog.View()
			assert.Len(t, view.Servers[site.ModelService], f.Site.Options.Zones*f.Site.Options.ModelServers, fmt.Sprint(zone, index))
		}
	}
	for _, result := range outcomes {
		assert.NotEqual(t, http.StatusUnauthorized, result.answer.Status)
	}
}
