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

// Restrict reports whether the list rules out any region.
func (a AllowedRegions) Restrict() bool { return len(a) > 0 }

// Allow reports whether requests may be served in a region. The empty name stands for a
// server whose region is not known: only an empty list allows it.
func (a AllowedRegions) Allow(region string) bool {
	return !a.Restrict() || (region != "" && slices.Contains(a, region))
}

// Residency is every list of regions that binds one request: its route's and its tenant's,
// under each configuration that it falls under. A region must be in all of them.
type Residency []AllowedRegions

// With adds a list, unless it restricts nothing.
func (r Residency) With(regions AllowedRegions) Residency {
	if !regions.Restrict() {
		return r
	}
	return append(r, regions)
}

// And joins what two configurations bind a request to.
func (r Residency) And(other Residency) Residency {
	return append(slices.Clip(r), other...)
}

// Restrict reports whether any region is ruled out.
func (r Residency) Restrict() bool { return len(r) > 0 }

// Allow reports whether the request may be served in a region.
func (r Residency) Allow(region string) bool {
	for _, regions := range r {
		if !regions.Allow(region) {
			return false
		}
	}
	return true
}

// AnyOf reports whether the request may be served in a region of some zones.
func (r Residency) AnyOf(regionsOfZones map[string]string) bool {
	if !r.Restrict() {
		return true
	}
	for _, region := range regionsOfZones {
		if r.Allow(region) {
			return true
		}
	}
	return false
}

// Regions lists the names that every list has: none, when the lists contradict each other.
func (r Residency) Regions() []string {
	if !r.Restrict() {
		return nil
	}
	common := []string{}
	for _, region := range r[0] {
		if r.Allow(region) && !slices.Contains(common, region) {
			common = append(common, region)
		}
	}
	return common
}
