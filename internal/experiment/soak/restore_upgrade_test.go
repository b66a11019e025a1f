package soak

import (
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/emulator/site"
	"pinevane.example/pinevane/internal/launch"
)

// buildBeforeRestores is the commit of the last build that knows nothing of the store's epochs.
const buildBeforeRestores = "ad81d0f"

// CONFIG: guards against processes of this build that believe those of a former one, to which the store's
// revisions only rise, when the store comes back from a copy while an upgrade is under way: the first
// entries of all zones, which read the store, are of the former build.
func TestRestoreDuringAnUpgrade(t *testing.T) {
	former, present := buildBinary(t, buildBeforeRestores), buildBinary(t, "")
	fleet, err := launch.NewSiteFleet(former, "", siteOptions())
	require.NoError(t, err)
	defer fleet.Close()
	formerGroup, presentGroup := fleet.Group, launch.NewGroup(present, "")
	defer presentGroup.Stop()
	defer formerGroup.Stop()
	r := newRun(Options{Executable: former, Output: io.Discard, Seed: 1, Kinds: Kinds}, fleet)
	require.NoError(t, fleet.StartAll(readyTimeout))
	fleet.Group = presentGroup
	replaced := map[string]bool{}
	for zone := range r.site.Options.Zones {
		name := launch.SiteProcessName(site.RoleEntry, zone, 1)
		replaced[name] = true
		require.NoError(t, formerGroup.Signal(name, syscall.SIGTERM))
		require.True(t, formerGroup.WaitExit(name, stopTimeout), name)
		require.NoError(t, fleet.Restart(site.RoleEntry, zone, 1))
	}
	require.NoError(t, fleet.WaitReady(readyTimeout))

	const copyAge = 700 * time.Millisecond
	r.restoreStore(Fault{Kind: StoreRestored, Duration: copyAge, Index: 1}, r.site.Models[r.site.Options.ModelIP(0, 1)], 0)
	require.NoError(t, r.runTimeline())
	probes := 0
	for _, probe := range r.record.RouteProbes {
		if replaced[probe.Entry] {
			probes++
			assert.Equal(t, http.StatusOK, probe.Status, "%s, %s after the route was published", probe.Entry, probe.At.Sub(probe.Published))
		} else if probe.Status != http.StatusOK {
			t.Logf("%s of the former build answers %d", probe.Entry, probe.Status)
		}
	}
	assert.Equal(t, probeRounds*r.site.Options.Zones, probes)
}
