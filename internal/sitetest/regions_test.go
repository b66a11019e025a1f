package sitetest

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/emulator/site"
	"pinevane.example/pinevane/internal/explain"
)

// Names of the emulated site's routes.
var routeNames = []string{"stream", "once", "safe"}

// restrictRoutes allows requests of every route in the given regions only.
func restrictRoutes(regions ...string) func(map[string]any) {
	return func(configuration map[string]any) {
		for _, route := range routeNames {
			site.AllowRouteRegions(configuration, route, regions...)
		}
	}
}

// restrictTenant allows requests of the tenant in the given regions only.
func restrictTenant(regions ...string) func(map[string]any) {
	return func(configuration map[string]any) { site.AllowTenantRegions(configuration, site.Tenant, regions...) }
}

// threeRegionOptions returns a fleet of three zones, each in its own region.
func threeRegionOptions() site.Options {
	options := DefaultOptions()
	options.Zones, options.Entries, options.PlainServers = 3, 1, 2
	return options
}

// configure publishes a configuration and waits until every entry has applied it.
func (f *Fleet) configure(changes ...func(map[string]any)) uint64 {
	f.t.Helper()
	version := f.Site.Configure(func(configuration map[string]any) {
		for _, change := range changes {
			change(configuration)
		}
	})
	f.Eventually("the configuration is applied", 3*time.Second, func() bool { return f.configurationApplied(version) })
	return version
}

// startMixedTraffic sends streams and plain requests of both kinds through the entries of all zones.
func startMixedTraffic(f *Fleet) (stop func() []outcome) {
	zones := f.Site.Options.Zones
	return startTraffic(8*time.Millisecond, func(ctx context.Context, number int) outcome {
		result := outcome{id: fmt.Sprintf("mixed-%d", number), startedAt: time.Now()}
		switch number % 3 {
		case 0:
			result.answer, result.err = f.Call(ctx, number%zones, 0, http.MethodPost, site.OncePrefix, result.id, nil, "save")
		case 1:
			result.answer, result.err = f.Call(ctx, number%zones, 0, http.MethodGet, site.SafePrefix, result.id, nil, "")
		default:
			result.answer, result.err = f.Stream(ctx, number/3%zones, 0, result.id, 8)
		}
		result.duration = time.Since(result.startedAt)
		return result
	})
}

// arrivalsOutside lists the requests that reached servers outside the given regions.
func arrivalsOutside(f *Fleet, regions ...string) []site.Arrival {
	return slices.DeleteFunc(f.Site.Requests.Arrivals(), func(arrival site.Arrival) bool { return slices.Contains(regions, arrival.Region) })
}

// serversOf returns the servers of both services in a zone.
func serversOf(f *Fleet, zone int) []*site.Server {
	var servers []*site.Server
	for _, all := range []map[string]*site.Server{f.Site.Models, f.Site.Plain} {
		for _, server := range all {
			if server.Zone() == site.ZoneName(zone) {
				servers = append(servers, server)
			}
		}
	}
	return servers
}

// injectFaults gives a zone's servers, one kind after the other, the faults that make an entry try
// another server, and stops all of them at the end.
func injectFaults(f *Fleet, t *testing.T, zone int) {
	const apart = 300 * time.Millisecond
	for _, faults := range []site.Faults{
		{Shed: 6}, {LoseAnswers: 6}, {CutAfter: 3, CutCount: 6}, {},
	} {
		for _, server := range serversOf(f, zone) {
			server.SetFaults(faults)
		}
		time.Sleep(apart)
	}
	require.NoError(t, f.Site.RestartModelStillListed(zone, 0))
	time.Sleep(apart)
	for _, server := range serversOf(f, zone) {
		server.StopHeartbeats()
		server.Crash()
	}
	time.Sleep(apart)
}

// HOME: whatever happens to the servers in the allowed regions of a route or a tenant, no request
// reaches a server of another region, and requests are served while there is a healthy server.
func TestRequestsStayInTheirAllowedRegions(t *testing.T) {
	const home = 1
	for name, changes := range map[string][]func(map[string]any){
		"route":  {restrictRoutes(site.RegionName(home))},
		"tenant": {restrictTenant(site.RegionName(home))},
		"both":   {restrictRoutes(site.RegionName(0), site.RegionName(home)), restrictTenant(site.RegionName(home), site.RegionName(2))},
	} {
		t.Run(name, func(t *testing.T) {
			f := Start(t, threeRegionOptions())
			f.configure(changes...)
			stop := startMixedTraffic(f)
			time.Sleep(500 * time.Millisecond)
			baselineUntil := time.Now().Add(-100 * time.Millisecond)
			injectFaults(f, t, home)
			outcomes := stop()
			outside := arrivalsOutside(f, site.RegionName(home))
			assert.Empty(t, outside[:min(3, len(outside))], "%d requests reached servers of other regions", len(outside))
			served, baseline := 0, 0
			for _, result := range outcomes {
				if result.startedAt.Before(baselineUntil) {
					baseline++
					if result.served(time.Second) {
						served++
					}
				}
			}
			assert.NotZero(t, baseline)
			assert.Equal(t, baseline, served, "requests served before the faults")
		})
	}
}

// removeServers stops every server of a zone and removes it from the list of servers.
func removeServers(f *Fleet, zone int) {
	for _, server := range serversOf(f, zone) {
		server.StopHeartbeats()
		server.Crash()
	}
	f.Eventually("the entry has removed the servers", 3*time.Second, func() bool {
		for _, listed := range f.Process(ProcessName(site.RoleEntry, 0, 0)).Catalog.View().Servers {
			for _, server := range listed {
				if server.Zone == site.ZoneName(zone) {
					return false
				}
			}
		}
		return true
	})
}

// HOME, REFUSED: without a server in the allowed regions, requests of every kind are refused at once
// as not-run, with a Retry-After. The metrics and the explanation of the request name the regions
// as the cause.
func TestRequestIsRefusedWithoutServerInAllowedRegions(t *testing.T) {
	const home = 1
	f := Start(t, threeRegionOptions())
	f.configure(restrictTenant(site.RegionName(home)))
	removeServers(f, home)
	calls := map[string]func(id string) (Answer, error){
		"stream": func(id string) (Answer, error) { return f.Stream(t.Context(), 0, 0, id, 5) },
		"once": func(id string) (Answer, error) {
			return f.Call(t.Context(), 0, 0, http.MethodPost, site.OncePrefix, id, nil, "save")
		},
		"safe": func(id string) (Answer, error) {
			return f.Call(t.Context(), 0, 0, http.MethodGet, site.SafePrefix, id, nil, "")
		},
	}
	for kind, call := range calls {
		startedAt := time.Now()
		answer, err := call("nowhere-" + kind)
		require.NoError(t, err)
		assert.Equal(t, http.StatusServiceUnavailable, answer.Status, kind)
		assert.NotEmpty(t, answer.Header.Get("Retry-After"), kind)
		assert.Less(t, time.Since(startedAt), 500*time.Millisecond, kind)
		assert.Contains(t, answer.Body, `"reason":"data-residency","execution":"not-run"`, kind)
		lines, explanation := explainRequest(f, t, "nowhere-"+kind, "PV4104")
		const want = `; only servers in the regions ["region-1"] were allowed, and others would have taken it`
		assert.Contains(t, explanation.Cause, "refused, and certain not to have run: no server was chosen", kind)
		assert.Contains(t, explanation.Cause, want, kind)
		assert.NotContains(t, explain.Explain(withoutEvent(lines, "PV4109"), "nowhere-"+kind).Cause, want, kind)
	}
	assert.Empty(t, f.Site.Requests.Arrivals())
	assert.Equal(t, len(calls), refusalCount(f, t, "data-residency"))
	f.configure(restrictTenant())
	answer, err := calls["safe"]("anywhere")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, answer.Status, "the restriction is lifted")
}

// refusalCount reads from an entry's metrics how many requests it has refused for a reason.
func refusalCount(f *Fleet, t *testing.T, reason string) int {
	t.Helper()
	families, err := f.Process(ProcessName(site.RoleEntry, 0, 0)).Registry.Gather()
	require.NoError(t, err)
	count := 0.0
	for _, family := range families {
		if family.GetName() != "pinevane_refusals_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			for _, label := range metric.GetLabel() {
				if label.GetValue() == reason {
					count += metric.GetCounter().GetValue()
				}
			}
		}
	}
	return int(count)
}

// Regions of a route and a tenant that have none in common allow no server, and the explanation of
// the request says so.
func TestDisjointRegionsAllowNoServer(t *testing.T) {
	f := Start(t, threeRegionOptions())
	f.configure(restrictRoutes(site.RegionName(0)), restrictTenant(site.RegionName(1)))
	answer, err := f.Call(t.Context(), 0, 0, http.MethodGet, site.SafePrefix, "apart", nil, "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, answer.Status)
	assert.Equal(t, "5", answer.Header.Get("Retry-After"), "only a configuration change helps")
	_, explanation := explainRequest(f, t, "apart", "PV4104")
	assert.Contains(t, explanation.Cause, "the allowed regions of the route and the tenant have none in common")
	assert.Empty(t, f.Site.Requests.Arrivals())
}

// HOME: a stream that is open when the regions change keeps running where it is. When it breaks it
// is resumed only in a region that both the configuration that admitted it and the newest one
// allow.
func TestBrokenStreamResumesOnlyInAllowedRegions(t *testing.T) {
	for name, test := range map[string]struct {
		admitted, newest []string
		want             string
	}{
		"narrowed": {nil, []string{site.RegionName(2)}, site.RegionName(2)},
		"widened":  {[]string{site.RegionName(0)}, nil, site.RegionName(0)},
		"moved":    {[]string{site.RegionName(0)}, []string{site.RegionName(2)}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			options := threeRegionOptions()
			options.EventTime = 60 * time.Millisecond
			f := Start(t, options)
			f.configure(restrictTenant(test.admitted...))
			const id, events = "moving", 40
			done := make(chan Answer, 1)
			go func() {
				answer, err := f.Stream(context.Background(), 0, 0, id, events)
				assert.NoError(t, err)
				done <- answer
			}()
			f.Eventually("the stream runs", time.Second, func() bool { return len(runsOf(f, id)) == 1 })
			f.configure(restrictTenant(test.newest...))
			serving := runsOf(f, id)[0].Server
			for _, server := range f.Site.Models {
				if server.ID() == serving {
					server.Crash()
				}
			}
			answer := <-done
			arrivals := slices.DeleteFunc(f.Site.Requests.Arrivals(), func(arrival site.Arrival) bool { return arrival.RequestID != id })
			if test.want == "" {
				assert.False(t, answer.Complete)
				assert.Len(t, arrivals, 1)
				return
			}
			assert.True(t, answer.Complete)
			assert.Equal(t, consecutive(events), answer.Events)
			if assert.Len(t, arrivals, 2) {
				assert.Equal(t, test.want, arrivals[1].Region)
			}
		})
	}
}

// Region names that no zone has allow no server and are logged with the configuration that contains
// them; the rest of that configuration applies.
func TestUnknownRegionsAllowNoServer(t *testing.T) {
	f := Start(t, threeRegionOptions())
	version := f.configure(func(configuration map[string]any) {
		site.AllowRouteRegions(configuration, "once", "region-9")
		site.AllowRouteRegions(configuration, "safe", "region-9", site.RegionName(2), site.RegionName(2))
		site.AllowRouteRegions(configuration, "stream")
	})
	answer, err := f.Call(t.Context(), 0, 0, http.MethodPost, site.OncePrefix, "unknown", nil, "save")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, answer.Status)
	for number := range 12 {
		answer, err = f.Call(t.Context(), number%3, 0, http.MethodGet, site.SafePrefix, fmt.Sprintf("partly-%d", number), nil, "")
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, answer.Status)
	}
	assert.Empty(t, arrivalsOutside(f, site.RegionName(2)))
	answer, err = f.Stream(t.Context(), 0, 0, "free", 3)
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, answer.Status, "an empty list restricts nothing")
	entries := f.Site.Options.Zones * f.Site.Options.Entries
	ofVersion := fmt.Sprintf(`"configuration":%d`, version)
	f.Eventually("each entry has logged the faults", time.Second, func() bool { return countEvents(f, "PV2008", ofVersion) == 3*entries })
	assert.Equal(t, entries, countEvents(f, "PV2008", `"fault":"no zone has the region","region":"region-9","owners":["route once","route safe"]`))
	assert.Equal(t, entries, countEvents(f, "PV2008", `"fault":"the region is named twice","region":"region-2"`))
	assert.Equal(t, entries, countEvents(f, "PV2008", `"fault":"no zone has any of the regions"`))
}
