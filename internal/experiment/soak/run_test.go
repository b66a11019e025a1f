package soak

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/emulator/site"
	"pinevane.example/pinevane/internal/launch"
)

// A fleet that serves too few requests after the last fault has not recovered, nor has one that
// receives none.
func TestMissingRecoveryIsFound(t *testing.T) {
	since := time.Now()
	served := Attempt{Sent: since.Add(time.Second), Status: 200, Correct: true}
	refused := Attempt{Sent: since.Add(time.Second), Status: 503}
	earlier := Attempt{Sent: since.Add(-time.Second), Status: 503}
	for _, test := range []struct {
		refused, found int
	}{{0, 0}, {1, 0}, {2, 1}} {
		r := &run{callers: &callers{attempts: []Attempt{earlier}}}
		for range 20 {
			r.callers.recordAttempt(served)
		}
		for range test.refused {
			r.callers.recordAttempt(refused)
		}
		r.checkRecovery(since)
		require.Len(t, r.violations, test.found)
	}
	r := &run{callers: &callers{attempts: []Attempt{earlier}}}
	r.checkRecovery(since)
	require.Len(t, r.violations, 1)
	assert.Equal(t, RecoveryInTime, r.violations[0].Guarantee)
}

// A process that exited without a fault is reported and restarted; one that a fault killed is not.
func TestExitedProcessIsFound(t *testing.T) {
	const exitsImmediately = "/bin/true"
	fleet, err := launch.NewSiteFleet(exitsImmediately, "", siteOptions())
	require.NoError(t, err)
	defer fleet.Close()
	options := fleet.Site.Options
	for zone := range options.Zones {
		for index := range options.Entries {
			require.NoError(t, fleet.Start(site.RoleEntry, zone, index))
		}
		for index := range options.ModelServers {
			require.NoError(t, fleet.Start(site.RoleAgent, zone, index))
		}
	}
	killed := launch.SiteProcessName(site.RoleAgent, 1, 2)
	r := &run{options: Options{Output: io.Discard}, fleet: fleet, site: fleet.Site, busy: map[string]bool{killed: true}}
	expected := options.Zones*(options.Entries+options.ModelServers) - 1
	assert.Eventually(t, func() bool {
		r.violations = nil
		require.NoError(t, r.checkProcesses())
		return len(r.violations) == expected
	}, 10*time.Second, 50*time.Millisecond)
	for _, found := range r.violations {
		assert.Equal(t, NoUnexpectedExit, found.Guarantee)
		assert.NotContains(t, found.Detail, killed)
	}
}
