package fleet

import "pinevane.example/pinevane/coordination/residency"

// AllowedRegions are the regions in which the requests of a route or a tenant may be served.
type AllowedRegions = residency.AllowedRegions

// Residency is every list of regions that binds one request.
type Residency = residency.Residency

// ResidencyOf is what a route and a tenant bind a request to; either may be nil.
func ResidencyOf(route *Route, tenant *Tenant) Residency {
	var bound Residency
	if route != nil {
		bound = bound.With(route.AllowedRegions)
	}
	if tenant != nil {
		bound = bound.With(tenant.AllowedRegions)
	}
	return bound
}
