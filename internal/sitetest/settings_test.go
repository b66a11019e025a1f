package sitetest

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/emulator/site"
)

// waitLogged waits for an event that contains a text; lines are written shortly after their event.
func (f *Fleet) waitLogged(number, with string) {
	f.t.Helper()
	f.Eventually(number+" with "+with+" is logged", time.Second, func() bool { return countEvents(f, number, with) > 0 })
}

// statusOf returns the status of one repeatable request to the first entry.
func statusOf(t *testing.T, f *Fleet, id string) int {
	t.Helper()
	answer, err := f.Call(context.Background(), 0, 0, http.MethodGet, site.SafePrefix, id, nil, "")
	require.NoError(t, err)
	return answer.Status
}

// A reload of the settings changes the zones and regions of a running entry: a zone that has moved to
// another region is no longer allowed by a route, and one that has moved to an allowed region is.
func TestReloadAppliesRegions(t *testing.T) {
	const home = 1
	f := Start(t, threeRegionOptions())
	f.configure(restrictRoutes(site.RegionName(home)))
	require.Equal(t, http.StatusOK, statusOf(t, f, "before"))
	f.Reload(0, 0, f.Site.ChangedSettings(site.RoleEntry, 0, 0, func(settings map[string]any) {
		zones := settings["zones"].(map[string]any)
		zones[site.ZoneName(home)], zones[site.ZoneName(2)] = "elsewhere", site.RegionName(home)
	}))
	for number := range 8 {
		require.Equal(t, http.StatusOK, statusOf(t, f, "after-"+strconv.Itoa(number)))
	}
	for _, arrival := range f.Site.Requests.Arrivals() {
		want := site.ZoneName(2)
		if arrival.RequestID == "before" {
			want = site.ZoneName(home)
		}
		assert.Equal(t, want, arrival.Zone, arrival.RequestID)
	}
	f.waitLogged("PV1006", `"zones_changed":["hall-1","hall-2"]`)
}

// A settings file that is unreadable or has an invalid field changes nothing on reload. The log names
// the fault, and the entry keeps its previous settings.
func TestReloadOfInvalidSettingsChangesNothing(t *testing.T) {
	f := Start(t, DefaultOptions())
	before := f.Process(ProcessName(site.RoleEntry, 0, 0)).Settings()
	for fault, data := range map[string][]byte{
		"settings file": []byte(`{"nodeName": "entry`),
		"bounds.drainMs": f.Site.ChangedSettings(site.RoleEntry, 0, 0, func(settings map[string]any) {
			settings["bounds"].(map[string]any)["drainMs"] = 0
		}),
		"settings field zones": f.Site.ChangedSettings(site.RoleEntry, 0, 0, func(settings map[string]any) { settings["zones"] = "none" }),
	} {
		f.Reload(0, 0, data)
		assert.Equal(t, before, f.Process(ProcessName(site.RoleEntry, 0, 0)).Settings(), fault)
		f.waitLogged("PV1007", fault)
		assert.Equal(t, http.StatusOK, statusOf(t, f, "served-"+strconv.Itoa(len(data))), fault)
	}
	assert.Zero(t, countEvents(f, "PV1006", ""))
}

// Fields that a running process cannot change keep their values on reload and are logged; the others
// apply.
func TestReloadLogsFieldsThatNeedRestart(t *testing.T) {
	f := Start(t, DefaultOptions())
	f.Reload(0, 0, f.Site.ChangedSettings(site.RoleEntry, 0, 0, func(settings map[string]any) {
		settings["ip"], settings["internalPorts"] = "127.0.0.9", []int{7900, 7915}
		settings["bounds"].(map[string]any)["drainMs"] = 2500
	}))
	after := f.Process(ProcessName(site.RoleEntry, 0, 0)).Settings()
	assert.NotEqual(t, "127.0.0.9", after.IP)
	assert.EqualValues(t, 2500, after.Bounds.Drain.Milliseconds())
	f.waitLogged("PV1011", `"fields":["ip","internal ports"]`)
	assert.Equal(t, http.StatusOK, statusOf(t, f, "served"))
}

// Zones and bounds may change while requests run; no request fails because of it.
func TestReloadUnderLoad(t *testing.T) {
	f := Start(t, DefaultOptions())
	stop := startMixedTraffic(f)
	for round := range 20 {
		f.Reload(0, 0, f.Site.ChangedSettings(site.RoleEntry, 0, 0, func(settings map[string]any) {
			settings["zones"].(map[string]any)["hall-added"] = site.RegionName(round % 2)
			settings["bounds"].(map[string]any)["budgetSlack"] = 40 + round
		}))
	}
	served := 0
	outcomes := stop()
	for _, result := range outcomes {
		if result.err == nil && result.answer.Status == http.StatusOK {
			served++
		}
	}
	assert.NotZero(t, served)
	assert.Equal(t, len(outcomes), served)
}
