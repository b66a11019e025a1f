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
)

// Names of the stand-in's routes.
var routeNames = []string{"stream", "once", "safe"}

// restrictRoutes allows requests of every route in some regions only.
func restrictRoutes(regions ...string) func(map[string]any) {
	return func(configuration map[string]any) {
		for _, route := range routeNames {
			site.AllowRouteRegions(configuration, route, regions...)
		}
	}
}

// restrictTenant allows requests of the tenant in some regions only.
func restrictTenant(regions ...string) func(map[string]any) {
	return func(configuration map[string]any) { site.AllowTenantRegions(configuration, site.Tenant, regions...) }
}

// threeRegions is a fleet of three zones, each in a region of its own.
func threeRegions() site.Options {
	options := DefaultOptions()
	options.Zones, options.Entries, options.PlainServers = 3, 1, 2
	return options
}

// configure publishes a configuration and waits until every entry has it.
func (f *Fleet) configure(changes ...func(map[string]any)) uint64 {
	f.t.Helper()
	version := f.Site.Configure(func(configuration map[string]any) {
		for _, change := range changes {
			change(configuration)
		}
	})
	f.Eventually("the configuration is in force", 3*time.Second, func() bool { return f.inForce(version) })
	return version
}

// mixedTraffic sends streams and plain requests of both kinds to the entries of all zones.
func mixedTraffic(f *Fleet) (stop func() []outcome) {
	zones := f.Site.Options.Zones
	return traffic(8*time.Millisecond, func(ctx context.Context, number int) outcome {
		one := outcome{id: fmt.Sprintf("mixed-%d", number), begun: time.Now()}
		switch number % 3 {
		case 0:
			one.answer, one.err = f.Call(ctx, number%zones, 0, http.MethodPost, site.OncePrefix, one.id, nil, "save")
		case 1:
			one.answer, one.err = f.Call(ctx, number%zones, 0, http.MethodGet, site.SafePrefix, one.id, nil, "")
		default:
			one.answer, one.err = f.Stream(ctx, number/3%zones, 0, one.id, 8)
		}
		one.took = time.Since(one.begun)
		return one
	})
}

// arrivalsOutside lists what came to servers of other regions than some.
func arrivalsOutside(f *Fleet, regions ...string) []site.Arrival {
	return slices.DeleteFunc(f.Site.Ledger.Arrivals(), func(one site.Arrival) bool { return slices.Contains(regions, one.Region) })
}

// serversOf returns the servers of a zone, of both services.
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

// troubleIn gives a zone's servers, one kind after the other, the faults that make an entry
// look for another server, and takes all of them away in the end.
func troubleIn(f *Fleet, t *testing.T, zone int) {
	const apart = 300 * time.Millisecond
	for _, faults := range []site.Faults{
		{Shed: 6}, {LoseAnswers: 6}, {CutAfter: 3, CutCount: 6}, {},
	} {
		for _, server := range serversOf(f, zone) {
			server.SetFaults(faults)
		}
		time.Sleep(apart)
	}
	require.NoError(t, f.Site.RestartModelUnnoticed(zone, 0))
	time.Sleep(apart)
	for _, server := range serversOf(f, zone) {
		server.Lapse()
		server.Crash()
	}
	time.Sleep(apart)
}

// HOME: whatever happens to the servers of the regions in which requests of a route or a
// tenant are allowed, none comes to a server of another region, and they are served while
// there is a sound server.
func TestRequestsStayInTheirAllowedRegions(t *testing.T) {
	const home = 1
	for name, changes := range map[string][]func(map[string]any){
		"route":  {restrictRoutes(site.RegionName(home))},
		"tenant": {restrictTenant(site.RegionName(home))},
		"both":   {restrictRoutes(site.RegionName(0), site.RegionName(home)), restrictTenant(site.RegionName(home), site.RegionName(2))},
	} {
		t.Run(name, func(t *testing.T) {
			f := Start(t, threeRegions())
			f.configure(changes...)
			stop := mixedTraffic(f)
			time.Sleep(500 * time.Millisecond)
			calmUntil := time.Now().Add(-100 * time.Millisecond)
			troubleIn(f, t, home)
			outcomes := stop()
			outside := arrivalsOutside(f, site.RegionName(home))
			assert.Empty(t, outside[:min(3, len(outside))], "%d requests came to servers of other regions", len(outside))
			served, calm := 0, 0
			for _, one := range outcomes {
				if one.begun.Before(calmUntil) {
					calm++
					if one.served(time.Second) {
						served++
					}
				}
			}
			assert.NotZero(t, calm)
			assert.Equal(t, calm, served, "requests served before the trouble")
		})
	}
}
