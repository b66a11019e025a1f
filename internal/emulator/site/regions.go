package site

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// RegionName names the region of a zone; each zone is a region of its own.
func RegionName(zone int) string { return fmt.Sprintf("region-%d", zone) }

// regionsOfZones maps the name of every zone to its region's.
func (o Options) regionsOfZones() map[string]string {
	regions := map[string]string{}
	for zone := range o.Zones {
		regions[ZoneName(zone)] = RegionName(zone)
	}
	return regions
}

// allowedRegionsField is how the platform spells the regions of a route or tenant.
const allowedRegionsField = "allowedRegions"

// AllowRouteRegions sets the regions in which requests of a route may be served. Without
// any the list is empty, which is how the platform publishes a route without restriction.
func AllowRouteRegions(configuration map[string]any, route string, regions ...string) {
	allowRegions(configuration["routes"], route, regions)
}

// AllowTenantRegions sets the same for the requests of a tenant.
func AllowTenantRegions(configuration map[string]any, tenant string, regions ...string) {
	allowRegions(configuration["tenants"], tenant, regions)
}

func allowRegions(owners any, name string, regions []string) {
	listed, _ := owners.([]any)
	for _, one := range listed {
		if owner, _ := one.(map[string]any); owner["name"] == name {
			owner[allowedRegionsField] = append([]string{}, regions...)
		}
	}
}

// Arrival is a request that has come to a server, whether or not the server ran it.
type Arrival struct {
	RequestID string
	Server    string
	Service   string
	Path      string
	Zone      string
	// Region is the zone's, and empty for a zone that the fleet does not name.
	Region string
	// BodyBytes is how much of a body came with it.
	BodyBytes int
	At        time.Time
}

// Residencies are the regions in which requests under a prefix of the path are allowed.
type Residencies map[string][]string

// Outside reports whether a request has come to a region that its path's do not contain.
func (r Residencies) Outside(arrival Arrival) bool {
	for prefix, regions := range r {
		if strings.HasPrefix(arrival.Path, prefix) && !slices.Contains(regions, arrival.Region) {
			return true
		}
	}
	return false
}

// RestrictTwoRoutes publishes a configuration in which streams are allowed in the first two
// zones' regions and requests that run once in the last two's. Published before any process
// starts, it makes every arrival elsewhere a fault, whatever is disturbed.
func (s *Site) RestrictTwoRoutes() Residencies { return s.Restrict(s.Options.TwoRoutes()) }

// AllowedRegions are the regions that a configuration allows for streams, for requests that
// run once, and for everything of the tenant. Without any, a list restricts nothing.
type AllowedRegions struct {
	Streams, Once, Tenant []string
}

// TwoRoutes are the regions of RestrictTwoRoutes.
func (o Options) TwoRoutes() AllowedRegions {
	last := o.Zones - 1
	return AllowedRegions{Streams: []string{RegionName(0), RegionName(1)}, Once: []string{RegionName(last - 1), RegionName(last)}}
}

// Restrict publishes a configuration with these regions and returns where it allows requests.
func (s *Site) Restrict(allowed AllowedRegions) Residencies {
	s.Configure(func(configuration map[string]any) {
		AllowRouteRegions(configuration, streamRoute, allowed.Streams...)
		AllowRouteRegions(configuration, onceRoute, allowed.Once...)
		AllowTenantRegions(configuration, Tenant, allowed.Tenant...)
	})
	return allowed.residencies()
}

// residencies joins the regions of the routes and of the tenant, each of which binds.
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
