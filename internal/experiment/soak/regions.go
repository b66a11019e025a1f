package soak

import (
	"time"

	"pinevane.example/pinevane/internal/emulator/site"
)

// minNarrowTime is the minimum time for which allowed regions are narrowed. It is long enough for
// the configuration to be in force for some time. The fault's duration is added to it.
const minNarrowTime = 4 * time.Second

// publishRegions publishes the current allowed regions.
func (r *run) publishRegions() {
	at := time.Now()
	r.record.Restrictions = append(r.record.Restrictions, Restriction{At: at, Residencies: r.site.Restrict(r.allowed)})
}

// narrow replaces one of the lists of regions for a time and then restores it.
func (r *run) narrow(list *[]string, key string, regions []string, duration time.Duration) {
	if r.busy[key] {
		return
	}
	r.busy[key] = true
	wide := *list
	*list = regions
	r.publishRegions()
	r.schedule(duration, func() error {
		r.busy[key] = false
		*list = wide
		r.publishRegions()
		return nil
	})
}

// narrowRoute restricts the requests of a route to one of its regions.
func (r *run) narrowRoute(fault Fault) {
	list, key := &r.allowed.Streams, "regions of streams"
	if fault.Index%2 == 0 {
		list, key = &r.allowed.Once, "regions of requests that run once"
	}
	r.narrow(list, key, (*list)[fault.Count%len(*list):][:1], minNarrowTime+fault.Duration)
}

// narrowTenant restricts the tenant's requests to the middle region, which both routes share, and
// at most one other.
func (r *run) narrowTenant(fault Fault) {
	const shared = 1
	regions := []string{site.RegionName(shared)}
	if other := fault.Count % r.site.Options.Zones; other != shared {
		regions = append(regions, site.RegionName(other))
	}
	r.narrow(&r.allowed.Tenant, "regions of the tenant", regions, minNarrowTime+fault.Duration)
}
