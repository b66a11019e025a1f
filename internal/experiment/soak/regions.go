package soak

import (
	"time"

	"pinevane.example/pinevane/internal/emulator/site"
)

// minNarrowTime is the least that narrower regions hold: so long that the configuration is in
// force for a while, and what was drawn comes on top of it.
const minNarrowTime = 4 * time.Second

// publishRegions publishes the allowed regions as they now are.
func (r *run) publishRegions() {
	at := time.Now()
	r.record.Restrictions = append(r.record.Restrictions, Restriction{At: at, Residencies: r.site.Restrict(r.allowed)})
}

// narrow sets one of the lists of regions for a time and then back to a wider one.
func (r *run) narrow(list *[]string, key string, regions []string, lasts time.Duration) {
	if r.busy[key] {
		return
	}
	r.busy[key] = true
	wide := *list
	*list = regions
	r.publishRegions()
	r.schedule(lasts, func() error {
		r.busy[key] = false
		*list = wide
		r.publishRegions()
		return nil
	})
}

// narrowRoute allows requests of a route in one of its regions only.
func (r *run) narrowRoute(fault Fault) {
	list, key := &r.allowed.Streams, "regions of streams"
	if fault.Index%2 == 0 {
		list, key = &r.allowed.Once, "regions of requests that run once"
	}
	r.narrow(list, key, (*list)[fault.Count%len(*list):][:1], minNarrowTime+fault.Duration)
}

// narrowTenant allows requests of the tenant in all regions but one. The middle one, which both
// routes share, is among them.
func (r *run) narrowTenant(fault Fault) {
	const shared = 1
	regions := []string{site.RegionName(shared)}
	if other := fault.Count % r.site.Options.Zones; other != shared {
		regions = append(regions, site.RegionName(other))
	}
	r.narrow(&r.allowed.Tenant, "regions of the tenant", regions, minNarrowTime+fault.Duration)
}
