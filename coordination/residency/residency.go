// Package residency holds the lists of regions that bind where a request may be served. It
// does no I/O and reads no clock.
package residency

import "slices"

// AllowedRegions are the regions in which the requests of a route or a tenant may be
// served, cached and stored. An empty list restricts nothing: the platform publishes one
// for every route and tenant whose requests may go anywhere, so that it can't stand for
// "nowhere". A name that is no region of the fleet stays in the list: a list of only such
// names allows no server at all, because dropping it would leave an empty one.
type AllowedRegions []string

// Restricts reports whether the list rules out any region.
func (a AllowedRegions) Restricts() bool { return len(a) > 0 }

// Allows reports whether requests may be served in a region. The empty name stands for a
// server whose region is not known: only an empty list allows it.
func (a AllowedRegions) Allows(region string) bool {
	return !a.Restricts() || (region != "" && slices.Contains(a, region))
}

// Residency is every list of regions that binds one request: its route's and its tenant's,
// under each configuration that it falls under. A region must be in all of them.
type Residency []AllowedRegions

// With adds a list, unless it restricts nothing.
func (r Residency) With(regions AllowedRegions) Residency {
	if !regions.Restricts() {
		return r
	}
	return append(r, regions)
}

// Merge joins what two configurations bind a request to.
func (r Residency) Merge(other Residency) Residency {
	return append(slices.Clip(r), other...)
}

// Restricts reports whether any region is ruled out.
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

// AllowsAny reports whether the request may be served in a region of some zones.
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

// Regions lists the names that every list has: none, when the lists contradict each other.
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
