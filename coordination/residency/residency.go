// Package residency holds the lists of regions that restrict where a request may be served. It
// does no I/O and reads no clock.
package residency

import "slices"

// AllowedRegions lists the regions in which the requests of a route or a tenant may be
// served, cached and stored. An empty list restricts nothing: the platform publishes one
// for every route and tenant whose requests may go anywhere, so it can't mean "nowhere".
// A name that is not a region of the fleet stays in the list, because dropping it could
// leave an empty list: a list of only such names allows no server at all.
type AllowedRegions []string

// Restricts reports whether the list excludes any region.
func (a AllowedRegions) Restricts() bool { return len(a) > 0 }

// Allows reports whether requests may be served in a region. The empty name stands for a
// server of unknown region, which only an empty list allows.
func (a AllowedRegions) Allows(region string) bool {
	return !a.Restricts() || (region != "" && slices.Contains(a, region))
}

// Residency holds all lists of regions that apply to one request: those of its route and its
// tenant, in each configuration that applies. A region must be in all of them.
type Residency []AllowedRegions

// With returns r with a list added, unless the list restricts nothing.
func (r Residency) With(regions AllowedRegions) Residency {
	if !regions.Restricts() {
		return r
	}
	return append(r, regions)
}

// Merge returns the restrictions of two configurations together.
func (r Residency) Merge(other Residency) Residency {
	return append(slices.Clip(r), other...)
}

// Restricts reports whether any region is excluded.
func (r Residency) Restricts() bool { return len(r) > 0 }

// Allows reports whether the request may be served in a region.
func (r Residency) Allows(region string) bool {
	for _, regions := range r {
		if !regions.Allows(region) {
			return false
		}
	}
	return true
}

// AllowsAny reports whether the request may be served in the region of any of the zones.
func (r Residency) AllowsAny(regionsOfZones map[string]string) bool {
	if !r.Restricts() {
		return true
	}
	for _, region := range regionsOfZones {
		if r.Allows(region) {
			return true
		}
	}
	return false
}

// Regions returns the names that are in every list: none when the lists contradict each other.
func (r Residency) Regions() []string {
	if !r.Restricts() {
		return nil
	}
	common := []string{}
	for _, region := range r[0] {
		if r.Allows(region) && !slices.Contains(common, region) {
			common = append(common, region)
		}
	}
	return common
}
