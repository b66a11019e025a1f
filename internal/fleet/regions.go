package fleet

import "pinevane.example/pinevane/coordination/residency"

// AllowedRegions is the list of regions in which the requests of a route or a tenant may be served.
type AllowedRegions = residency.AllowedRegions

// Residency is all the lists of regions that restrict one request.
type Residency = residency.Residency

// ResidencyOf returns the region restrictions of a route and a tenant; either may be nil.
func ResidencyOf(route *Route, tenant *Tenant) Residency {
	var restrictions Residency
	if route != nil {
		restrictions = restrictions.With(route.AllowedRegions)
	}
	if tenant != nil {
		restrictions = restrictions.With(tenant.AllowedRegions)
	}
	return restrictions
}
