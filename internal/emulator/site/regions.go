package site

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// RegionName returns the name of a zone's region; each zone is its own region.
func RegionName(zone int) string { return fmt.Sprintf("region-%d", zone) }

// regionsOfZones maps zone names to region names.
func (o Options) regionsOfZones() map[string]string {
	regions := map[string]string{}
	for zone := range o.Zones {
		regions[ZoneName(zone)] = RegionName(zone)
	}
	return regions
}

// allowedRegionsField is the configuration field with the allowed regions of a route or tenant.
const allowedRegionsField = "allowedRegions"

// AllowRouteRegions sets the regions in which a route's requests may be served. Without regions it
// sets an empty list, as the platform does for an unrestricted route.
func AllowRouteRegions(configuration map[string]any, route string, regions ...string) {
	allowRegions(configuration["routes"], route, regions)
}

// AllowTenantRegions sets the regions in which a tenant's requests may be served.
func AllowTenantRegions(configuration map[string]any, tenant string, regions ...string) {
	allowRegions(configuration["tenants"], tenant, regions)
}

func allowRegions(owners any, name string, regions []string) {
	entries, _ := owners.([]any)
	for _, entry := range entries {
		if owner, _ := entry.(map[string]any); owner["name"] == name {
			owner[allowedRegionsField] = append([]string{}, regions...)
		}
	}
}

// Arrival is a request that reached a server, whether or not it was executed.
type Arrival struct {
	RequestID string
	Server    string
	Service   string
	Path      string
	Zone      string
	// Region is the zone's region, empty for a zone that is not configured.
	Region string
	// BodyBytes is the number of body bytes received.
	BodyBytes int
	At        time.Time
}

// Residencies maps path prefixes to the regions in which their requests may be served.
type Residencies map[string][]string

// Outside reports whether a request arrived in a region that its path does not allow.
func (r Residencies) Outside(arrival Arrival) bool {
	for prefix, regions := range r {
		if strings.HasPrefix(arrival.Path, prefix) && !slices.Contains(regions, arrival.Region) {
			return true
		}
	}
	return false
}

// RestrictTwoRoutes publishes a configuration that allows streams in the regions of the first two
// zones and non-idempotent requests in those of the last two. It is published before any process
// starts, so that an arrival elsewhere is a violation whatever faults are injected.
func (s *Site) RestrictTwoRoutes() Residencies { return s.Restrict(s.Options.TwoRoutes()) }

// AllowedRegions are the allowed regions of the stream route, of the non-idempotent route, and of
// the tenant. An empty list allows every region.
type AllowedRegions struct {
	Streams, Once, Tenant []string
}

// TwoRoutes returns the regions that RestrictTwoRoutes allows.
func (o Options) TwoRoutes() AllowedRegions {
	last := o.Zones - 1
	return AllowedRegions{Streams: []string{RegionName(0), RegionName(1)}, Once: []string{RegionName(last - 1), RegionName(last)}}
}

// Restrict publishes a configuration with the allowed regions and returns the resulting
// residencies.
func (s *Site) Restrict(allowed AllowedRegions) Residencies {
	s.Configure(func(configuration map[string]any) {
		AllowRouteRegions(configuration, streamRoute, allowed.Streams...)
		AllowRouteRegions(configuration, onceRoute, allowed.Once...)
		AllowTenantRegions(configuration, Tenant, allowed.Tenant...)
	})
	return allowed.residencies()
}

// residencies returns the regions that both the route and the tenant allow.
func (a AllowedRegions) residencies() Residencies {
	joined := Residencies{}
	for prefix, regions := range map[string][]string{StreamPrefix: a.Streams, OncePrefix: a.Once, SafePrefix: nil} {
		switch {
		case len(regions) == 0 && len(a.Tenant) == 0:
		case len(regions) == 0:
			joined[prefix] = a.Tenant
		case len(a.Tenant) == 0:
			joined[prefix] = regions
		default:
			joined[prefix] = slices.DeleteFunc(slices.Clone(regions), func(region string) bool { return !slices.Contains(a.Tenant, region) })
		}
	}
	return joined
}

// Zone returns the name of the server's zone.
func (s *Server) Zone() string { return s.options.Zone }
